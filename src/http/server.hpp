// HTTP/1.1 server: accepts connections of clients, parses requests, writes responses, detects disconnects.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/callback_guard.hpp"
#include "common/memory_account.hpp"
#include "http/message.hpp"

namespace cairnjunction {

using ExchangeId = std::uint64_t;  // identifies a request and its response; never reused

struct ClientRequest {
  ExchangeId exchange = 0;
  HttpRequest message;
  // Arrival of the last byte; the client timeout starts here.
  std::chrono::steady_clock::time_point receivedAt;
  boost::asio::ip::address client;  // unspecified unless recordClientAddresses() was called
  MemoryCharge memory;              // for the message
};

// Why a request was rejected by the server itself, before it was handed over.
enum class RequestError {
  malformed,      // 400
  tooSlow,        // 408
  tooLarge,       // 413
  tooManyFields,  // 431
  outOfMemory     // 503
};
inline constexpr std::array<std::string_view, 5> kRequestErrorNames{"malformed", "too_slow", "too_large",
                                                                    "too_many_fields", "out_of_memory"};

// Why a connection was closed.
enum class HttpCloseReason {
  answered,        // after the last response
  clientClosed,    // by the client, with no request pending
  clientLeft,      // by the client, while a response was due
  requestLate,     // the client did not send the first byte, the head or more of the body in time
  idle,            // the longest time of an idle connection was over
  responseUnread,  // the client did not read its response in time
  capacity,        // for new connections
  outOfMemory,     // the memory share was exceeded, and this connection held most for longest
  endpointBroke,   // a streamed response ended before its end
  routed,          // by a rule of the routes
  shutdown
};
inline constexpr std::array<std::string_view, 11> kHttpCloseReasonNames{
    "answered", "client_closed", "client_left",    "request_late", "idle",    "response_unread",
    "capacity", "out_of_memory", "endpoint_broke", "routed",       "shutdown"};

// Where to listen: at an address, or on an inherited listening socket. Other processes share that socket, so
// its backlog is not lost when this process closes its descriptor.
struct ListenOptions {
  boost::asio::ip::tcp::endpoint endpoint;
  int inheritedDescriptor = -1;  // of the listening socket, owned by the server; below 0: none
};

class HttpServer {
 public:
  struct Limits {
    std::size_t connections = 640;  // maximum number of open connections
    // Maximum number of connections that have sent a request; above it the longest idle one is closed.
    std::size_t kept = 640;
    // Memory for requests, with their buffers, heads and bodies, and for responses that are not read yet.
    std::size_t bodyBytes = std::numeric_limits<std::size_t>::max();
    std::size_t responseBytes = std::numeric_limits<std::size_t>::max();
    std::uint64_t bodyMost = kBodyMost;  // of one request body, in bytes
    // Timeout for the first byte after connecting, for the complete head after its first byte, and between
    // two reads of a body. The connection of a client that exceeds it is closed.
    std::chrono::milliseconds slow{2500};
    std::chrono::milliseconds idle{15000};  // timeout of an idle keep-alive connection
    std::size_t minBodyRate = 16 << 10;     // bytes per second: minimum mean rate of a body after `slow`
    // Read throttling: pause after each 4 MiB that a client sends, and the server drops, while its request is
    // in flight. With some 10 MiB in the kernel's buffers a disconnect is detected within 0.15 s.
    std::chrono::milliseconds floodPause{50};
  };
  struct Callbacks {
    std::function<void(ClientRequest)> request;  // the receiver calls respond(), now or later
    // The client of a pending request disconnected; respond() has no effect any more.
    std::function<void(ExchangeId)> disconnected;
  };

  // Starts to listen; throws boost::system::system_error if that fails.
  // `memory`: what is held is charged to it; null: to an account of its own.
  HttpServer(boost::asio::io_context& io, const ListenOptions& listen, Limits limits, Callbacks callbacks,
             std::shared_ptr<MemoryAccount> memory = nullptr);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return acceptor_.local_endpoint(); }
  void setLimits(const Limits& limits) { limits_ = limits; }
  // Sends the response to a request. No effect if its client has disconnected.
  void respond(ExchangeId exchange, HttpResponse response);
  void drop(ExchangeId exchange);                                  // closes the connection without a response
  void recordClientAddresses() { recordClientAddresses_ = true; }  // from now on ClientRequest::client is set
  // From now on each connection is closed after its response, unless pipelined requests have arrived: then
  // after the last of them. Closes an inherited listener.
  void lastAnswers();
  void stopListening();  // accepts the backlog, then closes the listener; open connections stay
  void stopAccepting();  // stopListening(), and closes each connection once it is idle
  // After stopAccepting(): each request that is not whole now, or only in part when its turn comes, is
  // rejected.
  // Returns the number of those that were rejected now.
  std::size_t stopReading();
  std::size_t connections() const { return openCount_; }

  // Requests that were rejected and connections that were closed since construction, by reason.
  std::uint64_t rejections(RequestError error) const { return rejections_[static_cast<std::size_t>(error)]; }
  std::uint64_t closes(HttpCloseReason reason) const { return closes_[static_cast<std::size_t>(reason)]; }

  std::function<void()> onEmpty;  // called once, when no connection is left after stopAccepting()
  // Called with a log line when a connection has to give way because a memory share is exceeded.
  std::function<void(const std::string& line)> onMemoryShed;

 private:
  class Session;
  // States of a connection. Each has a queue of its sessions, ordered by the time they entered the state, so
  // that the first one times out first.
  enum class State {
    fresh,      // accepted; no byte was received
    idle,       // idle keep-alive connection
    begun,      // part of a request was received
    waiting,    // the response to a request is pending
    writing,    // a response is being written
    streaming,  // all of the response that has come from the endpoint is written; more of it is due
    lingering,  // lingering close
    closed
  };
  using Queue = std::list<std::shared_ptr<Session>>;

  void accept();
  bool acceptPending(std::size_t max);
  void acceptAll();
  void addSession(boost::asio::ip::tcp::socket socket);
  bool freeCapacity();
  void limitKeptConnections();
  bool closeOldest(State state, std::chrono::steady_clock::time_point before, bool allowPartial = false);
  template <class Held>
  std::shared_ptr<Session> heaviest(State state, std::chrono::milliseconds grace, Held heldOf);
  bool makeRequestRoom(const Session& current);
  bool shedStalledRequest();
  void scheduleResponseRoom();
  void makeResponseRoom();
  bool shedUnreadResponse(std::chrono::milliseconds unreadFor);
  void reportShed(const Session& session, std::size_t heldBytes, std::string_view what) const;
  void onSessionClosed(HttpCloseReason reason);
  void notifyEmpty();
  Queue& queue(State state) { return queues_[static_cast<std::size_t>(state)]; }
  void sweep();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const bool isInherited_;  // other processes share the listening socket
  Limits limits_;
  Callbacks callbacks_;
  boost::asio::steady_timer sweepTimer_, acceptRetry_;
  std::array<Queue, 8> queues_;
  std::size_t openCount_ = 0;  // open connections
  const std::shared_ptr<MemoryAccount> memory_;
  std::vector<char> readBuffer_;  // of all sessions, since one reads at a time
  std::array<std::uint64_t, kRequestErrorNames.size()> rejections_{};
  std::array<std::uint64_t, kHttpCloseReasonNames.size()> closes_{};
  bool responseRoomScheduled_ = false;
  std::unordered_map<ExchangeId, std::shared_ptr<Session>> awaitingResponse_;
  ExchangeId lastExchange_ = 0;
  bool closeAfterResponse_ = false;  // lastAnswers() was called
  bool closeIdle_ = false;           // stopAccepting() was called
  bool rejectPartial_ = false;       // stopReading() was called
  bool recordClientAddresses_ = false;
  CallbackGuard lifetime_;  // guards callbacks still queued in the event loop
};

}  // namespace cairnjunction

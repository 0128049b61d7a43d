// HTTP/1.1 connections of clients: accepts them, parses requests, writes responses, and detects disconnects.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>

#include "common/callback_guard.hpp"
#include "http/message.hpp"

namespace cairnjunction {

using ExchangeId = std::uint64_t;  // a request and its response; never reused

struct ClientRequest {
  ExchangeId exchange = 0;
  HttpRequest message;
  std::chrono::steady_clock::time_point came;  // last byte's arrival; the client timeout starts here
  boost::asio::ip::address client;             // its address; unspecified unless tellClients() was called
};

// Where to listen: an address, or an inherited listening socket that other processes have too, so that its
// backlog is not lost when this process closes its descriptor.
struct Listen {
  boost::asio::ip::tcp::endpoint endpoint;
  int inherited = -1;  // its descriptor, owned by the server; below 0: none
};

class HttpServer {
 public:
  struct Limits {
    std::size_t connections = 640;
    std::size_t kept = 640;              // that have sent a request; above it the longest idle one is closed
    std::size_t bodyBytes = 16 << 20;    // of all requests in flight together
    std::uint64_t bodyMost = kBodyMost;  // bytes, of one
    // Timeout for the first byte after connecting, for the complete head after its first byte, and between
    // two pieces of a body. A client that misses one is disconnected.
    std::chrono::milliseconds slow{2500};
    std::chrono::milliseconds idle{15000};  // between requests
    std::size_t leastPace = 16 << 10;  // bytes a second, least mean rate of a body once `slow` has passed
    // Read throttling: pause after each 4 MiB that a client sends, and that are dropped, while its request is
    // in flight. With some 10 MiB in the kernel's buffers a disconnect is seen within 0.15 s.
    std::chrono::milliseconds floodPause{50};
  };
  struct Callbacks {
    std::function<void(ClientRequest)> request;  // the response is given by answer(), now or later
    std::function<void(ExchangeId)> gone;        // its client disconnected; no response is needed
  };

  // Listens at once. Throws boost::system::system_error.
  HttpServer(boost::asio::io_context& io, const Listen& listen, Limits limits, Callbacks callbacks);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return acceptor_.local_endpoint(); }
  void setLimits(const Limits& limits) { limits_ = limits; }
  void answer(ExchangeId exchange, HttpAnswer answer);
  void drop(ExchangeId exchange);              // closes its connection without a response
  void tellClients() { tellClients_ = true; }  // from now on ClientRequest::client is set
  void lastAnswers();                          // from now on each response closes its connection
  void stopListening();  // accepts the backlog, then closes the listener; connections stay
  void stopAccepting();  // stopListening(), and closes connections that are or become idle
  std::size_t connections() const { return open_; }

  std::function<void()> onEmpty;  // after stopAccepting, once: the last connection is closed

 private:
  class Session;
  // Each state has a queue of its sessions, oldest first: the first one times out first.
  enum class State { fresh, idle, begun, waiting, writing, lingering, closed };
  using Queue = std::list<std::shared_ptr<Session>>;

  void accept();
  bool takeWaiting(std::size_t most);
  void takeAll();
  void admit(boost::asio::ip::tcp::socket socket);
  bool makeRoom();
  void keepRoom();
  bool closeOneOf(State state, std::chrono::steady_clock::time_point before, bool half = false);
  void ended();
  void toldEmpty();
  Queue& queue(State state) { return queues_[static_cast<std::size_t>(state)]; }
  void sweep();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const bool shared_;  // other processes have the listening socket too
  Limits limits_;
  Callbacks callbacks_;
  boost::asio::steady_timer sweeper_, again_;
  std::array<Queue, 7> queues_;
  std::size_t open_ = 0, bodies_ = 0;
  std::unordered_map<ExchangeId, std::shared_ptr<Session>> waiting_;
  ExchangeId lastExchange_ = 0;
  bool last_ = false, closing_ = false, tellClients_ = false;
  CallbackGuard lifetime_;  // guards callbacks still queued in the event loop
};

}  // namespace cairnjunction

// HTTP/1.1 connections of clients: accepts, parses, answers, and notices that a client left.
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

using ExchangeId = std::uint64_t;  // one request of a client with its answer; never used again

struct ClientRequest {
  ExchangeId exchange = 0;
  HttpRequest message;
  std::chrono::steady_clock::time_point came;  // its last byte, from which its client's time counts
  boost::asio::ip::address client;  // whose connection it is; unspecified where that is not asked for
};

// Where to listen: an address, or a listening socket that was inherited and that others hold too, so what
// waits to be accepted is not lost when this process closes it.
struct Listen {
  boost::asio::ip::tcp::endpoint endpoint;
  int inherited = -1;  // its descriptor, owned from then on; below 0: none
};

class HttpServer {
 public:
  struct Limits {
    std::size_t connections = 640;
    std::size_t kept = 640;              // that have asked something; past it the longest idle is closed
    std::size_t bodyBytes = 16 << 20;    // held of the requests under way, all together
    std::uint64_t bodyMost = kBodyMost;  // bytes, of one
    // A head must be whole so long after its first byte, the first byte be there so long after connecting,
    // and a body never stand still for so long: a client that says nothing or half a thing is owed an end.
    std::chrono::milliseconds slow{2500};
    std::chrono::milliseconds idle{15000};  // between requests
    std::size_t leastPace = 16 << 10;       // bytes a second, of a body that is slow to come
    // Behind each 4 MiB of what is sent behind a request that waits and is not kept. At some 10 MiB that the
    // system holds of a connection its client's leaving is seen within 0.15 s.
    std::chrono::milliseconds floodPause{50};
  };
  struct Callbacks {
    std::function<void(ClientRequest)> request;  // to be answered by answer(), now or later
    std::function<void(ExchangeId)> gone;        // its client left; no answer is wanted
  };

  // Listens at once. Throws boost::system::system_error.
  HttpServer(boost::asio::io_context& io, const Listen& listen, Limits limits, Callbacks callbacks);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return acceptor_.local_endpoint(); }
  void setLimits(const Limits& limits) { limits_ = limits; }
  void answer(ExchangeId exchange, HttpAnswer answer);
  void drop(ExchangeId exchange);              // closes its connection without a word
  void tellClients() { tellClients_ = true; }  // from now on requests come with ClientRequest::client
  void lastAnswers();                          // from now on every answer closes its connection
  void stopListening();  // takes what waits, then closes the listener; clients that are there stay
  void stopAccepting();  // that, and closes connections that are idle, or become so
  std::size_t connections() const { return open_; }

  std::function<void()> onEmpty;  // after stopAccepting, once: the last connection is closed

 private:
  class Session;
  // In each state sessions wait in order of their coming: the front is the first to be overdue.
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
  const bool shared_;  // the listening socket outlives our descriptor of it
  Limits limits_;
  Callbacks callbacks_;
  boost::asio::steady_timer sweeper_, again_;
  std::array<Queue, 7> queues_;
  std::size_t open_ = 0, bodies_ = 0;
  std::unordered_map<ExchangeId, std::shared_ptr<Session>> waiting_;
  ExchangeId lastExchange_ = 0;
  bool last_ = false, closing_ = false, tellClients_ = false;
  CallbackGuard lifetime_;  // of what the event loop is still to call
};

}  // namespace cairnjunction

// The clients' side: accepts, parses, answers, and notices that a client left.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <unordered_set>

#include "net/host_pool.hpp"

namespace cairnjunction {

using ExchangeId = std::uint64_t;  // one request of a client with its answer; never used again

struct ClientRequest {
  ExchangeId exchange = 0;
  HttpRequest message;
  std::chrono::steady_clock::time_point began;  // its first byte
};

class ClientServer {
 public:
  struct Limits {
    std::size_t connections = 640;
    std::chrono::milliseconds slow{5000};   // a request must be whole so long after its first byte
    std::chrono::milliseconds idle{75000};  // between requests
  };
  struct Callbacks {
    std::function<void(ClientRequest)> request;  // to be answered by answer(), now or later
    std::function<void(ExchangeId)> gone;        // its client left; no answer is wanted
  };

  // Listens at once. Throws boost::system::system_error.
  ClientServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, Limits limits,
               Callbacks callbacks);
  ~ClientServer();
  ClientServer(const ClientServer&) = delete;
  ClientServer& operator=(const ClientServer&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return acceptor_.local_endpoint(); }
  void setLimits(const Limits& limits) { limits_ = limits; }
  void answer(ExchangeId exchange, HttpResponse response);
  void lastAnswers();    // from now on every answer closes its connection
  void stopAccepting();  // takes what waits to be accepted, then closes the listener and idle connections
  std::size_t connections() const { return sessions_.size(); }

  std::function<void()> onEmpty;  // after stopAccepting: the last connection is closed

 private:
  class Session;

  void accept();
  bool takeWaiting();
  void admit(boost::asio::ip::tcp::socket socket);
  bool closeOldestIdle();
  void ended(const std::shared_ptr<Session>& session);
  void sweep();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  Limits limits_;
  Callbacks callbacks_;
  boost::asio::steady_timer sweeper_, again_;
  std::unordered_set<std::shared_ptr<Session>> sessions_;
  std::unordered_map<ExchangeId, std::shared_ptr<Session>> waiting_;
  ExchangeId lastExchange_ = 0;
  bool last_ = false;
};

}  // namespace cairnjunction

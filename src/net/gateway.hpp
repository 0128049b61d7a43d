// One gateway: feeds the Balancer with what happens on the sockets and carries out what it decides.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "net/client_server.hpp"
#include "net/config.hpp"
#include "net/discovery.hpp"
#include "net/host_pool.hpp"
#include "ochrehill/ochrehill.hpp"

namespace cairnjunction {

// A final answer leaves so long before the client gives up: for its way there and for a busy machine.
inline constexpr std::chrono::milliseconds kAnswerMargin{10};
// After a stop was asked for, connections are still accepted for so long: clients hear of it late.
inline constexpr std::chrono::milliseconds kAcceptOn{700};

class Gateway {
 public:
  struct Waits {  // shorter in tests only
    ClientServer::Limits clients;
    Discovery::Waits discovery;
  };

  // Listens and asks discovery at once. Throws boost::system::system_error if it can't listen.
  Gateway(boost::asio::io_context& io, const Config& config, Waits waits,
          std::function<void(std::string)> log);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return clients_.listening(); }
  // A new configuration: its discovery and limits hold from now on. What is under way goes on.
  void reload(const Config& config);
  std::size_t openRequests() const { return exchanges_.size(); }
  std::size_t hosts() const { return hosts_.hosts(); }
  std::size_t connections() const { return clients_.connections() + hosts_.connections(); }
  // Finishes what was taken, then closes all and calls `done`.
  void drain(std::function<void()> done);

 private:
  struct Exchange {  // a request under way
    ExchangeId client = 0;
    HttpRequest message;
    std::string name;       // the client's id of it
    std::uint32_t out = 0;  // attempts
    bool ended = false;     // answered, or its client left
  };

  ochrehill::Time now() const;
  ochrehill::Time moduleTime(std::int64_t unixMs) const;

  void received(ClientRequest request);
  boost::beast::http::status describe(const HttpRequest& message, ochrehill::Request& request) const;
  void clientGone(ExchangeId exchange);
  void told(const HostList& list, ochrehill::ListKind kind);

  void drainActions();
  void carryOut(const ochrehill::Action& action);
  void send(const ochrehill::Action& action);
  void giveUp(const ochrehill::Action& action);
  void settle(AttemptEnd end);
  void answer(Exchange& exchange, HttpResponse response);
  void wakeAt(ochrehill::Time at);

  boost::asio::io_context& io_;
  std::chrono::steady_clock::time_point start_;
  std::chrono::system_clock::time_point unixStart_;
  ochrehill::Settings settings_;
  Waits waits_;
  std::unordered_map<std::string, std::uint32_t> classOf_, tenantOf_;
  std::function<void(std::string)> log_;
  ochrehill::Balancer balancer_;
  HostPool hosts_;
  Discovery discovery_;
  std::unordered_map<ochrehill::RequestId, Exchange> exchanges_;
  std::unordered_map<ExchangeId, ochrehill::RequestId> byClient_;
  std::unordered_set<std::string> names_;   // of exchanges_
  std::vector<ochrehill::RequestId> over_;  // may be dropped once the actions are done
  std::deque<AttemptEnd> ends_;             // raised while actions are carried out
  boost::asio::steady_timer waker_, drainTimer_;
  ochrehill::Time wakeAt_{};
  ochrehill::RequestId lastRequest_ = 0;
  std::function<void()> drained_;
  bool carrying_ = false, ready_ = false, draining_ = false;
  ClientServer clients_;  // last: it may hand over requests from here on
};

}  // namespace cairnjunction

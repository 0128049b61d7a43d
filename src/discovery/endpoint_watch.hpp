// A watch on the list of endpoints: long polls one after the other on one connection.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>

#include "discovery/endpoint_list_call.hpp"
#include "discovery/list_request.hpp"
#include "discovery/one_shot_timer.hpp"
#include "discovery/retry_backoff.hpp"
#include "discovery/timeouts.hpp"

namespace cairnjunction {

// A watch may break without an error: the answer never comes, and changes since are not heard. So each long
// poll waits only briefly, and one that is unanswered past its wait is *overdue*.
//
// The watch ends with each answer; its user decides whether to go on (resume()) on the connection that the
// answer came on.
class EndpointWatch {
 public:
  using Connection = std::shared_ptr<EndpointListCall>;
  enum class State {
    off,      // no call is out
    opening,  // the first call is out: it asks for the changes so far, or for the full list
    waiting,  // a long poll is out and within its wait
    overdue   // a long poll is out and unanswered past its wait; it may still be answered
  };
  // A call of the watch has ended, and the watch is off. `connection` carried the call.
  struct Answer {
    CallKind kind;
    const Connection& connection;
    const EndpointListResult& result;
  };
  // Called from the event loop, never from within a method. Any method may be called from within.
  struct Callbacks {
    std::function<void(const Answer&)> onAnswer;
    std::function<void()> onOverdue;  // the state has just become overdue
  };

  // `timeouts` and `random` must outlive this.
  EndpointWatch(boost::asio::io_context& io, const DiscoveryTimeouts& timeouts, RandomDuration& random,
                Callbacks callbacks);
  ~EndpointWatch() { closeConnection(); }
  EndpointWatch(const EndpointWatch&) = delete;
  EndpointWatch& operator=(const EndpointWatch&) = delete;

  // Begins on a new connection, from `version` if one is known. Ends a watch that is on.
  void open(const boost::asio::ip::tcp::endpoint& server, std::optional<std::int64_t> version);
  // Goes on with a long poll from `version` on `connection`, whose call has ended; if it was closed since, on
  // a new one to `server`. Ends a watch that is on.
  void resume(Connection connection, const boost::asio::ip::tcp::endpoint& server, std::int64_t version);
  void stop();

  State state() const { return state_; }

 private:
  void send(const boost::asio::ip::tcp::endpoint& server, const ListRequest& request);
  void onCallEnded(CallKind kind, const EndpointListResult& result);
  void onOverdue();
  void closeConnection();

  boost::asio::io_context& io_;
  const DiscoveryTimeouts& timeouts_;
  RandomDuration& random_;
  Callbacks callbacks_;
  State state_ = State::off;
  Connection connection_;      // set unless the state is off
  OneShotTimer overdueTimer_;  // runs while the state is waiting
};

}  // namespace cairnjunction

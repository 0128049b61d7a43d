// A watch on the endpoint list: consecutive long polls on one connection.
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

// A watch may break without an error: no answer arrives, and later changes are missed. So each long poll
// waits only briefly, and one that is unanswered after its wait is *overdue*.
//
// The watch ends with each answer. The caller decides whether to continue it with resume(), on the connection
// that the answer arrived on.
class EndpointWatch {
 public:
  using Connection = std::shared_ptr<EndpointListCall>;
  enum class State {
    off,      // no call is pending
    opening,  // the first call is pending: it requests the changes so far, or the full list
    waiting,  // a long poll is pending and within its wait
    overdue   // a long poll is unanswered after its wait and the grace period; it may still be answered
  };
  // The result of a call, which ended the watch. `connection` carried the call.
  struct Answer {
    CallKind kind;
    const Connection& connection;
    const EndpointListResult& result;
  };
  // Called from the event loop, never from within a method. A callback may call any method.
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

  // Starts on a new connection, from `version` if one is known. Ends a running watch.
  void open(const boost::asio::ip::tcp::endpoint& server, std::optional<std::int64_t> version);
  // Sends a long poll from `version` on `connection`, whose call has ended, or on a new connection to
  // `server` if that one is null or closed. Ends a running watch.
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

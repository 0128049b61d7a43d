// A call to discovery that is repeated until it is answered.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

#include "discovery/endpoint_list_call.hpp"
#include "discovery/list_request.hpp"
#include "discovery/one_shot_timer.hpp"
#include "discovery/retry_backoff.hpp"
#include "discovery/timeouts.hpp"

namespace cairnjunction {

// Its user sends each attempt, judges the result, and has a failed one repeated after a backoff.
class RetryingCall {
 public:
  enum class State {
    idle,       // no attempt is out and none will follow
    pending,    // an attempt is out
    backingOff  // the last attempt failed; the next one follows after a pause
  };

  // `timeouts` and `random` must outlive this.
  RetryingCall(boost::asio::io_context& io, const DiscoveryTimeouts& timeouts, RandomDuration& random);
  ~RetryingCall() { closeConnection(); }
  RetryingCall(const RetryingCall&) = delete;
  RetryingCall& operator=(const RetryingCall&) = delete;

  // Sends an attempt. `ended` is called from the event loop, with the state idle; any method may be called
  // from within.
  void send(const boost::asio::ip::tcp::endpoint& server, const ListRequest& request,
            EndpointListCall::Ended ended);
  // Closes the connection of the attempt that failed, and calls `attempt` from the event loop after the
  // backoff.
  void retryAfterBackoff(std::function<void()> attempt);
  // Ends an attempt or a pause without a callback, and closes the connection. The backoff starts anew.
  void cancel();
  // Hands out the connection of the attempt that has ended; whoever takes it decides whether it stays open.
  std::shared_ptr<EndpointListCall> releaseConnection();

  State state() const { return state_; }

 private:
  void closeConnection();

  boost::asio::io_context& io_;
  const DiscoveryTimeouts& timeouts_;
  RandomDuration& random_;
  RetryBackoff backoff_;
  State state_ = State::idle;
  std::shared_ptr<EndpointListCall> connection_;  // set while pending, and until its result has been judged
  OneShotTimer retryTimer_;                       // runs while backing off
};

}  // namespace cairnjunction

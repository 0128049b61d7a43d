// A call to discovery that is retried with backoff.
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

// The caller sends each attempt, checks its result, and calls retryAfterBackoff() if it failed.
class RetryingCall {
 public:
  enum class State {
    idle,       // no attempt is pending or scheduled
    pending,    // an attempt is pending
    backingOff  // the last attempt failed; the next one follows after a delay
  };

  // `timeouts` and `random` must outlive this.
  RetryingCall(boost::asio::io_context& io, const DiscoveryTimeouts& timeouts, RandomDuration& random);
  ~RetryingCall() { closeConnection(); }
  RetryingCall(const RetryingCall&) = delete;
  RetryingCall& operator=(const RetryingCall&) = delete;

  // Sends an attempt. `onResult` is called from the event loop, after the state has become idle; it may call
  // any method.
  void send(const boost::asio::ip::tcp::endpoint& server, const ListRequest& request,
            EndpointListCall::ResultCallback onResult);
  // Closes the connection of the failed attempt, and calls `sendAttempt` from the event loop after the
  // backoff.
  void retryAfterBackoff(std::function<void()> sendAttempt);
  // Cancels a pending attempt or a backoff without calling its callback, closes the connection, and resets
  // the backoff to its initial value.
  void cancel();
  // Transfers the connection of the attempt that has ended to the caller, who decides whether to close it.
  // Null if there is none.
  std::shared_ptr<EndpointListCall> releaseConnection();

  State state() const { return state_; }

 private:
  void closeConnection();

  boost::asio::io_context& io_;
  const DiscoveryTimeouts& timeouts_;
  RandomDuration& random_;
  RetryBackoff backoff_;
  State state_ = State::idle;
  std::shared_ptr<EndpointListCall> connection_;  // set while pending, and until the result is handled
  OneShotTimer retryTimer_;                       // runs while backing off
};

}  // namespace cairnjunction

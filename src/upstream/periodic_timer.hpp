// Calls a function periodically on an event loop. Destroying the timer stops it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <utility>

#include "cairnjunction/load_balancer.hpp"
#include "common/callback_guard.hpp"

namespace cairnjunction {

class PeriodicTimer {
 public:
  // The first call is after one interval.
  PeriodicTimer(boost::asio::io_context& io, policy::Duration interval, std::function<void()> onInterval)
      : timer_(io), interval_(interval), onInterval_(std::move(onInterval)) {
    schedule();
  }
  // No call is made after this, not even one that is already due.
  void stop() {
    stopped_ = true;
    timer_.cancel();
  }

 private:
  void schedule() {
    timer_.expires_after(interval_);
    timer_.async_wait(guard_.guard([this](const boost::system::error_code& ec) {
      if (ec || stopped_) return;
      onInterval_();
      schedule();
    }));
  }

  boost::asio::steady_timer timer_;
  const policy::Duration interval_;  // from the end of one call to the next
  const std::function<void()> onInterval_;
  bool stopped_ = false;
  CallbackGuard guard_;  // of the pending wait; declared last, see CallbackGuard
};

}  // namespace cairnjunction

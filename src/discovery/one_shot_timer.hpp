// A timer that calls one callback once.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <utility>

#include "common/callback_guard.hpp"

namespace cairnjunction {

// Starting the timer replaces the previous callback. A callback that was replaced or cancelled, or whose
// timer was destroyed, is never called. A plain asio timer does not guarantee this: if it has already expired
// when it is cancelled, its handler is queued and is called without an error.
class OneShotTimer {
 public:
  using Clock = std::chrono::steady_clock;

  explicit OneShotTimer(boost::asio::io_context& io) : timer_(io) {}

  // Calls `callback` from the event loop at `time`.
  template <class Callback>
  void startAt(Clock::time_point time, Callback callback) {
    timer_.expires_at(time);
    timer_.async_wait(lifetime_.guard([this, generation = ++generation_,
                                       callback = std::move(callback)](boost::system::error_code ec) mutable {
      if (!ec && generation == generation_) callback();
    }));
  }
  // Calls `callback` from the event loop after `delay`.
  template <class Callback>
  void startAfter(Clock::duration delay, Callback callback) {
    startAt(Clock::now() + delay, std::move(callback));
  }
  void cancel() {
    ++generation_;
    timer_.cancel();
  }

 private:
  boost::asio::steady_timer timer_;
  std::uint64_t generation_ = 0;  // incremented by each start and cancel; older handlers do nothing
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction

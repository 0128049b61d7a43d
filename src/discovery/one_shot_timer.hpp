// A timer for one callback.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <utility>

#include "common/callback_guard.hpp"

namespace cairnjunction {

// start() replaces what was started before; neither that nor a callback that was cancelled is ever called. A
// plain asio timer does not promise this: if it has expired when it is cancelled, its handler is queued
// already and is called without an error.
class OneShotTimer {
 public:
  using Clock = std::chrono::steady_clock;

  explicit OneShotTimer(boost::asio::io_context& io) : timer_(io) {}

  // Calls `callback` from the event loop at that time.
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
  std::uint64_t generation_ = 0;  // of the latest start or cancel; a handler of an earlier one does nothing
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction

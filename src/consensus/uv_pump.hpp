// Runs a libuv loop within an Asio event loop, on the same thread: waits for libuv's poll descriptor and its
// next timer, and then runs the libuv loop without blocking.
#pragma once

#include <uv.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>

#include "common/callback_guard.hpp"

namespace cairnjunction::consensus {

class UvPump {
 public:
  // `afterRun` is called after each run of the libuv loop from the event loop, outside of libuv's callbacks.
  // Throws std::runtime_error.
  UvPump(boost::asio::io_context& io, std::function<void()> afterRun);
  ~UvPump();  // all handles of the libuv loop must be closed before
  UvPump(const UvPump&) = delete;
  UvPump& operator=(const UvPump&) = delete;

  uv_loop_t* loop() { return &loop_; }
  // Schedules a run of the loop. Call this after passing work to the loop from outside of its callbacks.
  void scheduleRun();
  // Runs the loop until `done` returns true or about `timeout` has passed; blocks meanwhile.
  void runUntil(const std::function<bool()>& done, std::chrono::milliseconds timeout);
  // Runs the loop until all its handles are closed; blocks until their callbacks have run.
  void runUntilClosed();

 private:
  void waitUntilReadable();
  void run();

  boost::asio::io_context& io_;
  std::function<void()> afterRun_;
  uv_loop_t loop_{};
  boost::asio::posix::stream_descriptor pollDescriptor_;  // duplicate of libuv's
  boost::asio::steady_timer timer_;                       // expires with libuv's next timer
  bool runPosted_ = false;
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::consensus

// Drives a libuv loop from an Asio event loop, on the same thread: waits on libuv's poll descriptor and for
// its next timer, and then lets it run without blocking.
#pragma once

#include <uv.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "common/callback_guard.hpp"

namespace cairnjunction::consensus {

class UvPump {
 public:
  // `after` is called after each turn of the libuv loop, outside of its callbacks. Throws std::runtime_error.
  UvPump(boost::asio::io_context& io, std::function<void()> after);
  ~UvPump();  // every handle must be closed by then
  UvPump(const UvPump&) = delete;
  UvPump& operator=(const UvPump&) = delete;

  uv_loop_t* loop() { return &loop_; }
  void touch();   // something was given to the loop from outside: it is to run soon
  void finish();  // runs the loop until all its handles are closed; blocks for their callbacks only

 private:
  void wait();
  void run();

  boost::asio::io_context& io_;
  std::function<void()> after_;
  uv_loop_t loop_;
  boost::asio::posix::stream_descriptor readable_;
  boost::asio::steady_timer timer_;
  bool touched_ = false;
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::consensus

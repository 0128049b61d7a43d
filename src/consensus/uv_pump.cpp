#include "consensus/uv_pump.hpp"

#include <unistd.h>

#include <boost/asio/post.hpp>
#include <chrono>
#include <stdexcept>
#include <string>
#include <utility>

namespace cairnjunction::consensus {
using boost::system::error_code;

UvPump::UvPump(boost::asio::io_context& io, std::function<void()> afterRun)
    : io_(io), afterRun_(std::move(afterRun)), pollDescriptor_(io), timer_(io) {
  if (const int failed = uv_loop_init(&loop_); failed != 0)
    throw std::runtime_error(std::string("libuv: ") + uv_strerror(failed));
  pollDescriptor_.assign(::dup(uv_backend_fd(&loop_)));
  waitUntilReadable();
  scheduleRun();
}

UvPump::~UvPump() {
  error_code ignored;
  pollDescriptor_.close(ignored);
  uv_loop_close(&loop_);
}

void UvPump::scheduleRun() {
  if (std::exchange(runPosted_, true)) return;
  boost::asio::post(io_, lifetime_.guard([this] { run(); }));
}

void UvPump::runUntil(const std::function<bool()>& done, std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!done() && std::chrono::steady_clock::now() < end) uv_run(&loop_, UV_RUN_ONCE);
}

void UvPump::runUntilClosed() { uv_run(&loop_, UV_RUN_DEFAULT); }

void UvPump::waitUntilReadable() {
  pollDescriptor_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                             lifetime_.guard([this](error_code ec) {
                               if (ec) return;
                               run();
                               waitUntilReadable();
                             }));
}

// Handles that are started in libuv's callbacks are registered with its poll descriptor only in the next run.
// libuv reports this with a timeout of zero, also if it has no timer.
void UvPump::run() {
  runPosted_ = false;
  uv_run(&loop_, UV_RUN_NOWAIT);
  const int nextMs = uv_backend_timeout(&loop_);  // negative: libuv has no timer
  if (nextMs == 0) {
    scheduleRun();
  } else if (nextMs > 0) {
    timer_.expires_after(std::chrono::milliseconds(nextMs));
    timer_.async_wait(lifetime_.guard([this](error_code ec) {
      if (!ec) run();
    }));
  }
  afterRun_();
}

}  // namespace cairnjunction::consensus

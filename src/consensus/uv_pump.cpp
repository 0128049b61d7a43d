// Drives a libuv loop from an Asio event loop.
#include "consensus/uv_pump.hpp"

#include <unistd.h>

#include <boost/asio/post.hpp>
#include <stdexcept>

namespace cairnjunction::consensus {
using boost::system::error_code;

UvPump::UvPump(boost::asio::io_context& io, std::function<void()> after)
    : io_(io), after_(std::move(after)), readable_(io), timer_(io) {
  if (const int failed = uv_loop_init(&loop_); failed != 0)
    throw std::runtime_error(std::string("libuv: ") + uv_strerror(failed));
  readable_.assign(::dup(uv_backend_fd(&loop_)));
  wait();
  touch();
}

UvPump::~UvPump() {
  error_code ignored;
  readable_.close(ignored);
  uv_loop_close(&loop_);
}

void UvPump::touch() {
  if (std::exchange(touched_, true)) return;
  boost::asio::post(io_, lifetime_.guard([this] { run(); }));
}

void UvPump::finish() { uv_run(&loop_, UV_RUN_DEFAULT); }

void UvPump::wait() {
  readable_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                       lifetime_.guard([this](error_code ec) {
                         if (ec) return;
                         run();
                         wait();
                       }));
}

// What libuv is given in its callbacks is registered with its poll descriptor only when it runs next; without
// a timer it tells so by a time of zero.
void UvPump::run() {
  touched_ = false;
  uv_run(&loop_, UV_RUN_NOWAIT);
  const int next = uv_backend_timeout(&loop_);
  if (next == 0) {
    touch();
  } else if (next > 0) {
    timer_.expires_after(std::chrono::milliseconds(next));
    timer_.async_wait(lifetime_.guard([this](error_code ec) {
      if (!ec) run();
    }));
  }
  after_();
}

}  // namespace cairnjunction::consensus

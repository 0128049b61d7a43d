// The periodic timer: repeated calls, stopping and destruction.
#include "upstream/periodic_timer.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <optional>

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;

TEST(PeriodicTimer, CallsRepeatedlyUntilStopped) {
  boost::asio::io_context io;
  int calls = 0;
  std::optional<PeriodicTimer> timer;
  timer.emplace(io, 1ms, [&] {
    if (++calls == 3) timer->stop();
  });
  io.run();
  EXPECT_EQ(calls, 3);
}

TEST(PeriodicTimer, CanBeDestroyedWhileAWaitIsPending) {
  boost::asio::io_context io;
  int calls = 0;
  std::optional<PeriodicTimer> timer;
  timer.emplace(io, 1ms, [&] { ++calls; });
  timer.reset();
  io.run();
  EXPECT_EQ(calls, 0);
}

}  // namespace
}  // namespace cairnjunction::testing

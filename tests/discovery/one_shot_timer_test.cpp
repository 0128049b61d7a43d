// A timer calls its callback once, and never a callback that was replaced or cancelled.
#include "discovery/one_shot_timer.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;

class OneShotTimerTest : public ::testing::Test {
 public:
  boost::asio::io_context io;
  std::unique_ptr<OneShotTimer> timer = std::make_unique<OneShotTimer>(io);
  std::vector<int> calledIds;

  std::function<void()> record(int id) {
    return [this, id] { calledIds.push_back(id); };
  }
};

TEST_F(OneShotTimerTest, CallsOnce) {
  timer->startAfter(0ms, record(1));
  EXPECT_TRUE(calledIds.empty()) << "the callback must not be called from within startAfter()";
  io.run();
  EXPECT_EQ(calledIds, std::vector<int>{1});
}

TEST_F(OneShotTimerTest, RestartReplacesTheCallback) {
  timer->startAfter(0ms, record(1));
  timer->startAfter(0ms, record(2));
  io.run();
  EXPECT_EQ(calledIds, std::vector<int>{2});
}

// Two timers have expired, so both handlers are queued when the first one runs. Its callback cancels,
// restarts or destroys the second timer, whose old callback must not be called any more.
TEST_F(OneShotTimerTest, ExpiredTimerCanBeCancelledRestartedAndDestroyed) {
  const std::vector<std::function<void()>> actions = {
      [this] { timer->cancel(); }, [this] { timer->startAfter(0ms, record(2)); }, [this] { timer.reset(); }};
  const std::vector<std::vector<int>> expected = {{}, {2}, {}};
  for (std::size_t i = 0; i < actions.size(); ++i) {
    SCOPED_TRACE(i);
    calledIds.clear();
    io.restart();
    timer = std::make_unique<OneShotTimer>(io);
    OneShotTimer first(io);
    const auto now = OneShotTimer::Clock::now();
    first.startAt(now - 2ms, actions[i]);
    timer->startAt(now - 1ms, record(1));
    io.run();
    EXPECT_EQ(calledIds, expected[i]);
  }
}

}  // namespace
}  // namespace cairnjunction::testing

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
  std::vector<int> called;

  std::function<void()> note(int id) {
    return [this, id] { called.push_back(id); };
  }
};

TEST_F(OneShotTimerTest, CallsOnce) {
  timer->startAfter(0ms, note(1));
  EXPECT_TRUE(called.empty()) << "never from within";
  io.run();
  EXPECT_EQ(called, std::vector<int>{1});
}

TEST_F(OneShotTimerTest, StartedAgainItCallsTheLastOnly) {
  timer->startAfter(0ms, note(1));
  timer->startAfter(0ms, note(2));
  io.run();
  EXPECT_EQ(called, std::vector<int>{2});
}

// Two timers are due in the same moment, so both handlers are queued when the first one runs. It cancels,
// restarts or destroys the other one, whose old callback must not be called any more.
TEST_F(OneShotTimerTest, OneThatIsDueAlreadyCanBeCancelledRestartedAndDestroyed) {
  const std::vector<std::function<void()>> actions = {
      [this] { timer->cancel(); }, [this] { timer->startAfter(0ms, note(2)); }, [this] { timer.reset(); }};
  const std::vector<std::vector<int>> expected = {{}, {2}, {}};
  for (std::size_t i = 0; i < actions.size(); ++i) {
    SCOPED_TRACE(i);
    called.clear();
    io.restart();
    timer = std::make_unique<OneShotTimer>(io);
    OneShotTimer first(io);
    const auto now = OneShotTimer::Clock::now();
    first.startAt(now - 2ms, actions[i]);
    timer->startAt(now - 1ms, note(1));
    io.run();
    EXPECT_EQ(called, expected[i]);
  }
}

}  // namespace
}  // namespace cairnjunction::testing

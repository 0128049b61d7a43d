// The range of random durations, and the growth, the maximum and the reset of the backoff.
#include "discovery/retry_backoff.hpp"

#include <gtest/gtest.h>

#include <set>

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;

TEST(RandomDurationTest, ReturnsBothBoundsAndNothingOutside) {
  RandomDuration random(1);
  std::set<std::chrono::milliseconds> drawn;
  for (int i = 0; i < 1000; ++i) drawn.insert(random.between(5ms, 8ms));
  EXPECT_EQ(drawn, (std::set<std::chrono::milliseconds>{5ms, 6ms, 7ms, 8ms}));
}

TEST(RandomDurationTest, EmptyRangeGivesTheMinimum) {
  RandomDuration random(1);
  EXPECT_EQ(random.between(7ms, 7ms), 7ms);
  EXPECT_EQ(random.between(7ms, 3ms), 7ms);
}

TEST(RetryBackoffTest, DoublesUpToTheMaximumAndStaysThere) {
  for (std::uint32_t seed = 0; seed < 50; ++seed) {
    RandomDuration random(seed);
    RetryBackoff backoff(100ms, 800ms);
    for (const auto expected : {100ms, 200ms, 400ms, 800ms, 800ms, 800ms}) {
      const auto delay = backoff.next(random);
      EXPECT_GE(delay, expected / 2);
      EXPECT_LE(delay, expected + expected / 2);
    }
  }
}

// Guards against an overflow: without a limit, a hundred doublings would exceed the range of the type.
TEST(RetryBackoffTest, StaysAtTheMaximumAfterManyFailures) {
  RandomDuration random(1);
  RetryBackoff backoff(100ms, 800ms);
  for (int i = 0; i < 100; ++i) backoff.next(random);
  EXPECT_GE(backoff.next(random), 400ms);
  EXPECT_LE(backoff.next(random), 1200ms);
}

TEST(RetryBackoffTest, ResetRestoresTheInitialBackoff) {
  RandomDuration random(1);
  RetryBackoff backoff(100ms, 800ms);
  for (int i = 0; i < 4; ++i) backoff.next(random);
  backoff.reset();
  EXPECT_LE(backoff.next(random), 150ms);
}

}  // namespace
}  // namespace cairnjunction::testing

// Tests the relative latency of endpoints with and without answers.
#include "policy/relative_latency.hpp"

#include <gtest/gtest.h>

#include "pool.hpp"

namespace cairnjunction::policy::testing {
namespace {

TEST(LatencyTracker, RelativeLatencyReflectsASlowEndpoint) {
  Pool pool(2);
  for (int i = 0; i < 100; ++i) {
    LatencyTracker::recordAnswer(pool.endpoints, pool.endpoints[0], pool.classes[0], 1, 0.1);
    LatencyTracker::recordAnswer(pool.endpoints, pool.endpoints[1], pool.classes[0], 1, 0.3);
  }
  const double fast = pool.endpoints[0].latency.relativeLatency;
  const double slow = pool.endpoints[1].latency.relativeLatency;
  EXPECT_NEAR(slow / fast, 3, 0.1);
  EXPECT_EQ(pool.endpoints[0].latency.answers, 100);
}

TEST(LatencyTracker, TimeoutCountsOnlyIfLongerThanTheTypicalLatency) {
  Pool pool(1);
  LatencyTracker::recordAnswer(pool.endpoints, pool.endpoints[0], pool.classes[0], 1, 0.1);
  LatencyTracker::recordTimeout(pool.endpoints[0], pool.classes[0], 1, 0.05);
  EXPECT_EQ(pool.endpoints[0].latency.relativeLatency, 1);
  LatencyTracker::recordTimeout(pool.endpoints[0], pool.classes[0], 1, 0.5);
  EXPECT_NEAR(pool.endpoints[0].latency.relativeLatency, 1.4, 1e-9);
}

// A high latency from a past problem keeps requests away, and without requests it would never change.
TEST(LatencyTracker, WithoutRequestsLatencyReturnsToThatOfTheMachineKind) {
  Pool pool(1);
  LatencyTracker tracker;
  pool.endpoints[0].latency.relativeLatency = 10;
  for (int i = 0; i < 200; ++i) tracker.update(pool.endpoints, pool.rates);
  EXPECT_NEAR(pool.endpoints[0].latency.relativeLatency, 1, 0.01);
  EXPECT_NEAR(tracker.medianRelativeLatency(), 1, 0.01);
}

}  // namespace
}  // namespace cairnjunction::policy::testing

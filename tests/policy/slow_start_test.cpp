// Tests the slow start fraction, and the token rate of endpoints in slow start.
#include "policy/slow_start.hpp"

#include <gtest/gtest.h>

#include "pool.hpp"

namespace cairnjunction::policy::testing {
namespace {

EndpointInfo makeEndpointStartedNow() {
  EndpointInfo info = makeHost(9);
  info.startedAt = kStart;
  return info;
}

TEST(SlowStart, CapacityFractionRisesFromTheInitialFraction) {
  Pool pool(1);
  const SlowStart slowStart(pool.settings, pool.rates);
  const Endpoint& endpoint = pool.endpoints[pool.add(makeEndpointStartedNow())];
  EXPECT_NEAR(slowStart.capacityFraction(endpoint, kStart), 0.2, 1e-9);
  EXPECT_NEAR(slowStart.capacityFraction(endpoint, kStart + seconds(5)), 0.6, 1e-9);
  EXPECT_FALSE(slowStart.isActive(endpoint, kStart + seconds(10)));
  EXPECT_EQ(slowStart.capacityFraction(endpoint, kStart + seconds(10)), 1);
  EXPECT_FALSE(slowStart.isActive(pool.endpoints[0], kStart)) << "unknown start time: long ago";
}

TEST(SlowStart, DetectedRestartOverridesTheListedStart) {
  Pool pool(1);
  const SlowStart slowStart(pool.settings, pool.rates);
  pool.endpoints[0].startedAfter = kStart;
  EXPECT_TRUE(slowStart.isActive(pool.endpoints[0], kStart + seconds(1)));
}

// 80 requests per second over two endpoints are 40 each; times 0.2 (slow start fraction), 0.45 and 3
// (collapse load factor) this makes 10.8 per second.
TEST(SlowStart, AdmitsNoMoreThanTheTokenRate) {
  Pool pool(1);
  const SlowStart slowStart(pool.settings, pool.rates);
  const EndpointId id = pool.add(makeEndpointStartedNow());
  pool.endpoints.rebuildOrder();
  Endpoint& endpoint = pool.endpoints[id];
  SlowStart::reset(endpoint, kStart, pool.random);
  int admitted = 0;
  for (int i = 0; i < 1000; ++i) {
    const Timestamp now = kStart + milliseconds(i);
    if (!slowStart.mayAdmit(endpoint, pool.endpoints, now)) continue;
    slowStart.recordSend(endpoint, now);
    ++admitted;
  }
  EXPECT_GE(admitted, 10);
  EXPECT_LE(admitted, 14) << "the fraction rises in this second";
}

TEST(SlowStart, PeakAnswerRateDecaysSlowly) {
  Pool pool(1);
  const SlowStart slowStart(pool.settings, pool.rates);
  for (int i = 0; i < 100; ++i) {
    pool.endpoints[0].latency.answers = 5;
    slowStart.update(pool.endpoints, kStart);
  }
  EXPECT_EQ(pool.endpoints[0].latency.answers, 0);
  EXPECT_NEAR(pool.endpoints.machineKinds()[0].peakAnswerRate, 50, 0.1);
  for (int i = 0; i < 100; ++i) slowStart.update(pool.endpoints, kStart);
  EXPECT_NEAR(pool.endpoints.machineKinds()[0].peakAnswerRate, 37, 1) << "after ten seconds without answers";
}

}  // namespace
}  // namespace cairnjunction::policy::testing

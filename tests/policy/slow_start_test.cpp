#include "policy/slow_start.hpp"

#include <gtest/gtest.h>

#include "pool.hpp"

namespace cairnjunction::policy::testing {
namespace {

EndpointInfo startedNow() {
  EndpointInfo info = makeHost(9);
  info.startedAt = kStart;
  return info;
}

TEST(SlowStart, CapacityRisesFromItsInitialFraction) {
  Pool pool(1);
  const SlowStart slowStart(pool.settings, pool.rates);
  const Endpoint& endpoint = pool.endpoints[pool.add(startedNow())];
  EXPECT_NEAR(slowStart.capacityFraction(endpoint, kStart), 0.2, 1e-9);
  EXPECT_NEAR(slowStart.capacityFraction(endpoint, kStart + seconds(5)), 0.6, 1e-9);
  EXPECT_FALSE(slowStart.isActive(endpoint, kStart + seconds(10)));
  EXPECT_EQ(slowStart.capacityFraction(endpoint, kStart + seconds(10)), 1);
  EXPECT_FALSE(slowStart.isActive(pool.endpoints[0], kStart)) << "no start is known: long past";
}

TEST(SlowStart, ARestartThatWasSeenCountsBeforeTheList) {
  Pool pool(1);
  const SlowStart slowStart(pool.settings, pool.rates);
  pool.endpoints[0].restartedAfter = kStart;
  EXPECT_TRUE(slowStart.isActive(pool.endpoints[0], kStart + seconds(1)));
}

// 80 requests a second over two endpoints are 40 each; 0.2 of that, 0.45 of a collapse factor of 3, make 10.8
// a second.
TEST(SlowStart, SendsNoMoreThanItsPartOfWhatEndpointsCarry) {
  Pool pool(1);
  const SlowStart slowStart(pool.settings, pool.rates);
  const EndpointId id = pool.add(startedNow());
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

TEST(SlowStart, ProvenRatesFadeSlowly) {
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

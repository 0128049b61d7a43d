// Tests which requests may be hedged, and after which delay.
#include "policy/hedging.hpp"

#include <gtest/gtest.h>

#include "pool.hpp"

namespace cairnjunction::policy::testing {
namespace {

TEST(HedgingPolicy, DelayIsAMultipleOfTheTypicalLatency) {
  Pool pool(1);
  pool.settings.hedging = true;
  const HedgingPolicy hedging(pool.settings);
  ActiveRequest& request = pool.open(0);
  EXPECT_EQ(hedging.delay(request, pool.classes[0]), std::nullopt) << "no typical latency yet";
  pool.classes[0].recordLatency(0.04, 1);
  request.costRatio = 2;
  EXPECT_EQ(hedging.delay(request, pool.classes[0]), milliseconds(200));
}

TEST(HedgingPolicy, NoDelayForUnsafeRequestsOrIfDisabled) {
  Pool pool(1);
  const HedgingPolicy hedging(pool.settings);
  pool.classes[0].recordLatency(0.04, 1);
  pool.classes[1].recordLatency(0.04, 1);
  EXPECT_EQ(hedging.delay(pool.open(0), pool.classes[0]), std::nullopt);
  pool.settings.hedging = true;
  EXPECT_EQ(hedging.delay(pool.open(1), pool.classes[1]), std::nullopt);
}

}  // namespace
}  // namespace cairnjunction::policy::testing

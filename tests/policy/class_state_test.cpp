// Tests the statistics of request classes, and which of them survive new settings.
#include "policy/class_state.hpp"

#include <gtest/gtest.h>

#include "driver.hpp"

namespace cairnjunction::policy::testing {
namespace {

TEST(ClassState, CostRatioIsRelativeToTheMeanCost) {
  ClassState state(makeClass("read", Idempotency::safe, 10));
  EXPECT_EQ(state.recordCost({}), 1) << "unknown cost";
  EXPECT_EQ(state.recordCost(milliseconds(10)), 1) << "first cost";
  EXPECT_NEAR(state.recordCost(milliseconds(20)), 2, 0.1);
  EXPECT_EQ(state.recordCost(seconds(10)), 5) << "upper bound";
}

// Clients send first requests with 1000 ms remaining, and a retry of their own with what is left of it: the
// remaining time shows how long the client has waited.
TEST(ClassState, ClientRetriesAreDetectedByTheirRemainingTime) {
  ClassState state(makeClass("read", Idempotency::safe, 10));
  for (int i = 0; i < 20; ++i) EXPECT_EQ(state.recordTimeRemaining(milliseconds(1000)), Duration{});
  EXPECT_EQ(state.recordTimeRemaining(milliseconds(600)), milliseconds(400));
  EXPECT_EQ(state.recordTimeRemaining(milliseconds(1000)), Duration{});
}

TEST(ClassState, TypicalLatencyFollowsAnswers) {
  ClassState state(makeClass("read", Idempotency::safe, 10));
  EXPECT_EQ(state.recordLatency(0.1, 1), 1) << "the first answer sets the typical latency";
  EXPECT_NEAR(state.recordLatency(0.2, 1), 2, 1e-9);
  EXPECT_GT(state.typicalLatency(), 0.1);
  EXPECT_EQ(state.recordLatency(100, 1), 20) << "upper bound";
  ClassState costly(makeClass("read", Idempotency::safe, 10));
  costly.recordLatency(0.4, 4);
  EXPECT_NEAR(costly.typicalLatency(), 0.1, 1e-9) << "scaled to the mean cost";
  EXPECT_EQ(costly.typicalDuration(4), milliseconds(400));
}

TEST(ClassTable, UnknownClassIsUnsafeWithPriorityWeightZero) {
  ClassTable classes(makeSettings().classes);
  ASSERT_EQ(classes.size(), 4U);
  EXPECT_EQ(classes.indexOf(1), 1U);
  EXPECT_EQ(classes.indexOf(3), 3U);
  EXPECT_EQ(classes.indexOf(kNone), 3U);
  EXPECT_EQ(classes[3].settings().idempotency, Idempotency::unsafe);
  EXPECT_EQ(classes[3].settings().priorityWeight, 0);
}

TEST(ClassTable, ReconfigureKeepsStatisticsByClassName) {
  ClassTable classes(makeSettings().classes);  // read, write, put
  classes[1].recordLatency(0.3, 1);
  const std::vector<std::size_t> origins = classes.reconfigure(
      {makeClass("new", Idempotency::safe, 1), makeClass("write", Idempotency::unsafe, 7)});
  EXPECT_EQ(origins, (std::vector<std::size_t>{ClassTable::kNoClass, 1, 3}));
  EXPECT_EQ(classes[0].typicalLatency(), 0);
  EXPECT_EQ(classes[1].typicalLatency(), 0.3);
  EXPECT_EQ(classes[1].settings().priorityWeight, 7);
  EXPECT_EQ(classes[2].settings().name, "unknown");
}

TEST(ClassTable, RelativeWorkIsRelativeToTheRecentTraffic) {
  ClassTable classes(makeSettings().classes);
  EXPECT_EQ(classes.relativeWork(0, 1), 1) << "before the first answer";
  classes[0].recordLatency(0.1, 1);
  classes[1].recordLatency(0.4, 1);
  for (int i = 0; i < 1000; ++i) classes.recordArrival(0, 1);
  EXPECT_NEAR(classes.relativeWork(0, 1), 1, 1e-6);
  EXPECT_NEAR(classes.relativeWork(1, 1), 4, 1e-6);
  EXPECT_NEAR(classes.meanObjective(), 0.4, 1e-6);
  classes.update();
  EXPECT_NEAR(classes.meanTypicalLatency(), 0.25, 1e-9);
}

}  // namespace
}  // namespace cairnjunction::policy::testing

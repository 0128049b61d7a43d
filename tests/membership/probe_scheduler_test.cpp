// Tests the schedule of probes: the rate limit over all endpoints, the backoff of one endpoint, and the order
// in which endpoints are chosen.
#include "membership/probe_scheduler.hpp"

#include <gtest/gtest.h>

#include <set>

namespace cairnjunction {
namespace {

using namespace std::chrono_literals;
using policy::EndpointId;
using policy::Timestamp;

constexpr Timestamp kStart{24h};

// Takes all available tokens and returns their number.
int takeAll(ProbeRateLimiter& limiter) {
  int taken = 0;
  for (; limiter.hasToken(); ++taken) limiter.takeToken();
  return taken;
}

TEST(ProbeRateLimiterTest, StartsWithOneToken) {
  ProbeRateLimiter limiter(20);
  limiter.refill(kStart);
  EXPECT_EQ(takeAll(limiter), 1);
}

TEST(ProbeRateLimiterTest, RefillAddsTokensForTheElapsedTime) {
  ProbeRateLimiter limiter(20);
  limiter.refill(kStart);
  takeAll(limiter);
  limiter.refill(kStart + 49ms);
  EXPECT_EQ(takeAll(limiter), 0);
  limiter.refill(kStart + 51ms);
  EXPECT_EQ(takeAll(limiter), 1);
  limiter.refill(kStart + 51ms);
  EXPECT_EQ(takeAll(limiter), 0) << "no time has passed";
}

TEST(ProbeRateLimiterTest, BurstAfterAPauseIsLimitedToFour) {
  ProbeRateLimiter limiter(20);
  limiter.refill(kStart);
  limiter.refill(kStart + 1h);
  EXPECT_EQ(takeAll(limiter), 4);
}

TEST(ProbeBackoffTest, DoublesWithEachFailureUpToItsMaximum) {
  const EndpointHealthSettings settings;
  const auto refused = [&](int failures) {
    return probeBackoff(settings, ConditionReason::connectionRefused, failures);
  };
  EXPECT_EQ(refused(0), 100ms);
  EXPECT_EQ(refused(1), 200ms);
  EXPECT_EQ(refused(3), 800ms);
  EXPECT_EQ(refused(4), 800ms);
  EXPECT_EQ(refused(1000), 800ms);
}

TEST(ProbeBackoffTest, BackoffAfterConnectTimeoutsIsLonger) {
  const EndpointHealthSettings settings;
  EXPECT_EQ(probeBackoff(settings, ConditionReason::connectTimeout, 0), 500ms);
  EXPECT_EQ(probeBackoff(settings, ConditionReason::connectTimeout, 2), 2s);
  EXPECT_EQ(probeBackoff(settings, ConditionReason::connectTimeout, 1000), 4s);
}

class ProbeSchedulerTest : public ::testing::Test {
 public:
  EndpointHealthSettings settings;
  ProbeScheduler scheduler{settings};
  Timestamp now = kStart;

  std::vector<EndpointId> choose(std::size_t count, const std::set<EndpointId>& due) {
    return scheduler.chooseDue(now, count, [&](EndpointId endpoint) { return due.count(endpoint) > 0; });
  }
};

TEST_F(ProbeSchedulerTest, ChoosesOnlyEndpointsThatAreDue) {
  EXPECT_TRUE(choose(3, {}).empty());
  EXPECT_EQ(choose(3, {1}), std::vector<EndpointId>{1});
  EXPECT_EQ(scheduler.probesStarted(), 1u);
}

TEST_F(ProbeSchedulerTest, NoTokenIsTakenIfNoEndpointIsDue) {
  choose(3, {});
  now += 1h;
  EXPECT_TRUE(choose(3, {}).empty());
  EXPECT_EQ(choose(10, {0, 1, 2, 3, 4, 5}).size(), 4u) << "the burst";
}

// Five endpoints are always due and the rate limit allows one at a time: each is chosen before any is chosen
// again.
TEST_F(ProbeSchedulerTest, EachCallStartsAfterTheLastChosenEndpoint) {
  std::vector<EndpointId> order;
  for (int i = 0; i < 10; ++i) {
    for (const EndpointId endpoint : choose(5, {0, 1, 2, 3, 4})) order.push_back(endpoint);
    now += 51ms;
  }
  EXPECT_EQ(order, (std::vector<EndpointId>{0, 1, 2, 3, 4, 0, 1, 2, 3, 4}));
}

// The last endpoint was chosen, and then the number of endpoints decreases, also to zero.
TEST_F(ProbeSchedulerTest, NumberOfEndpointsMayDecrease) {
  EXPECT_EQ(choose(9, {8}), std::vector<EndpointId>{8});
  now += 1s;
  EXPECT_TRUE(choose(0, {}).empty());
  EXPECT_EQ(choose(2, {0}), std::vector<EndpointId>{0});
}

}  // namespace
}  // namespace cairnjunction

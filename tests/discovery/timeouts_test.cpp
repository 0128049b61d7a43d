// The relations between the times of the client of discovery that its promises rest on.
#include "discovery/timeouts.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;

TEST(DiscoveryTimeoutsTest, AgentThatIsBackIsAskedWithinAQuarterOfASecond) {
  const DiscoveryTimeouts timeouts = DiscoveryTimeouts{}.forAgent();
  EXPECT_LE(timeouts.connect, timeouts.response);
  EXPECT_LT(timeouts.response + timeouts.retryMaxBackoff + timeouts.retryMaxBackoff / 2, 250ms);
}

// What an overdue watch misses counts as notified 6 s after the silence began, or 2 s past its wait. Until
// then a silent watch is detected, whenever it breaks, and a rejected attempt leaves time for others.
TEST(DiscoveryTimeoutsTest, SilentWatchLeavesTimeForRetries) {
  const DiscoveryTimeouts timeouts;
  const auto countsAsNotified = std::max<std::chrono::milliseconds>(6s, timeouts.watchMax + 2s);
  const auto detected = timeouts.watchMax + timeouts.watchGrace;
  EXPECT_GE(countsAsNotified - detected, 3s) << "three calls of a discovery that works through one a second";
  EXPECT_GE(countsAsNotified - detected, timeouts.response + timeouts.retryInitialBackoff * 3 / 2 + 1s)
      << "one that times out, and another";
}

TEST(DiscoveryTimeoutsTest, AgentNeverGetsLongerTimesThanDiscovery) {
  DiscoveryTimeouts timeouts;
  timeouts.connect = 20ms;
  timeouts.response = 40ms;
  timeouts.retryInitialBackoff = 10ms;
  const DiscoveryTimeouts agent = timeouts.forAgent();
  EXPECT_EQ(agent.connect, 20ms);
  EXPECT_EQ(agent.response, 40ms);
  EXPECT_EQ(agent.retryInitialBackoff, 10ms);
  EXPECT_EQ(agent.retryMaxBackoff, 10ms);
  EXPECT_EQ(agent.watchMax, timeouts.watchMax);
}

}  // namespace
}  // namespace cairnjunction::testing

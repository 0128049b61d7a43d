// The relations between the timeouts of the discovery client that its guarantees depend on.
#include "discovery/timeouts.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;

TEST(DiscoveryTimeoutsTest, RecoveredAgentGetsARequestWithin250Milliseconds) {
  const DiscoveryTimeouts timeouts = DiscoveryTimeouts{}.forAgent();
  EXPECT_LE(timeouts.connect, timeouts.response);
  EXPECT_LT(timeouts.response + timeouts.retryMaxBackoff + timeouts.retryMaxBackoff / 2, 250ms);
}

// A change that an overdue watch misses counts as notified 6 s after the watch became unresponsive, or 2 s
// after the end of its wait, whichever is later. By then an unresponsive watch is detected, whenever it
// breaks, with time left to retry after a rejected attempt.
TEST(DiscoveryTimeoutsTest, UnresponsiveWatchIsDetectedWithTimeLeftForRetries) {
  const DiscoveryTimeouts timeouts;
  const auto notifiedDeadline = std::max<std::chrono::milliseconds>(6s, timeouts.watchMax + 2s);
  const auto detectionTime = timeouts.watchMax + timeouts.watchGrace;
  EXPECT_GE(notifiedDeadline - detectionTime, 3s) << "three calls to a discovery that handles one per second";
  EXPECT_GE(notifiedDeadline - detectionTime, timeouts.response + timeouts.retryInitialBackoff * 3 / 2 + 1s)
      << "an attempt that times out, and another one";
}

TEST(DiscoveryTimeoutsTest, AgentTimeoutsAreNeverLongerThanThoseOfDiscovery) {
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

// Tests when an endpoint with attempts in flight is unresponsive.
#include "policy/responsiveness.hpp"

#include <gtest/gtest.h>

#include "pool.hpp"

namespace cairnjunction::policy::testing {
namespace {

TEST(ResponsivenessMonitor, EndpointWithoutAResponseForLongIsUnresponsive) {
  Pool pool(2);
  ActiveRequest& request = pool.open();
  pool.send(request, 0);
  ResponsivenessMonitor::recordSend(pool.endpoints[0], request.ref);
  const auto isUnresponsive = [&](Duration after) {
    ResponsivenessMonitor::update(pool.endpoints, pool.requests, 0.05, kStart + after);
    return pool.endpoints[0].responsiveness.unresponsive;
  };
  EXPECT_FALSE(isUnresponsive(milliseconds(200))) << "four times the typical latency";
  EXPECT_TRUE(isUnresponsive(milliseconds(201)));
  ResponsivenessMonitor::recordResponse(pool.endpoints[0], kStart + milliseconds(250));
  EXPECT_FALSE(isUnresponsive(milliseconds(300)));
  EXPECT_FALSE(pool.endpoints[1].responsiveness.unresponsive) << "nothing was sent to it";
}

TEST(ResponsivenessMonitor, EndedAttemptsAreIgnored) {
  Pool pool(1);
  ActiveRequest& request = pool.open();
  pool.send(request, 0);
  ResponsivenessMonitor::recordSend(pool.endpoints[0], request.ref);
  request.attempts[0].inFlight = false;
  ResponsivenessMonitor::update(pool.endpoints, pool.requests, 0.05, kStart + seconds(10));
  EXPECT_FALSE(pool.endpoints[0].responsiveness.unresponsive);
  EXPECT_TRUE(pool.endpoints[0].responsiveness.sentRequests.empty());
}

}  // namespace
}  // namespace cairnjunction::policy::testing

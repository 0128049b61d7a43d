// Tests the number of open connections, their idle timeout, and the detection of stale ones.
#include "policy/connection_age.hpp"

#include <gtest/gtest.h>

#include "pool.hpp"

namespace cairnjunction::policy::testing {
namespace {

struct ConnectionAge : ::testing::Test {
  // Sends an attempt that ends immediately; its connection was idle since the last use of the endpoint.
  ConnectionAgeTracker::SendEffect sendAndEnd(Timestamp at, Outcome outcome) {
    const ConnectionAgeTracker::SendEffect effect = tracker.recordSend(endpoint, at);
    tracker.recordOutcome(effect.idleStep, outcome);
    return effect;
  }

  Pool pool{1};
  Endpoint& endpoint = pool.endpoints[0];
  ConnectionAgeTracker tracker{pool.settings};
  Timestamp now = kStart;
};

TEST_F(ConnectionAge, NewConnectionIsOpenedIfNoneHasCapacity) {
  EXPECT_FALSE(tracker.hasCapacity(endpoint, kStart));
  EXPECT_TRUE(sendAndEnd(kStart, Outcome::served).newConnection);
  EXPECT_EQ(endpoint.connections.open, 1);
  EXPECT_FALSE(sendAndEnd(kStart, Outcome::served).newConnection);
  endpoint.inFlight = 1;
  EXPECT_TRUE(sendAndEnd(kStart, Outcome::served).newConnection);
  EXPECT_EQ(endpoint.connections.open, 2);
}

TEST_F(ConnectionAge, ReportedCountReplacesTheEstimate) {
  ConnectionAgeTracker::recordReported(endpoint, 3);
  endpoint.inFlight = 3;
  sendAndEnd(kStart, Outcome::served);
  ConnectionAgeTracker::recordClosed(endpoint);
  ConnectionAgeTracker::reset(endpoint);
  EXPECT_EQ(endpoint.connections.open, 3);
}

TEST_F(ConnectionAge, ConnectionsHaveNoCapacityAfterTheIdleTimeout) {
  pool.settings.idleTimeout = seconds(2);
  sendAndEnd(kStart, Outcome::served);
  EXPECT_TRUE(tracker.hasCapacity(endpoint, kStart + seconds(1)));
  EXPECT_FALSE(tracker.hasCapacity(endpoint, kStart + seconds(2)));
}

// A firewall drops connections after a second without traffic and notifies neither end: attempts sent on such
// a connection are lost.
TEST_F(ConnectionAge, StaleConnectionsAreClosedInsteadOfUsed) {
  sendAndEnd(now, Outcome::served);
  bool closed = false;
  for (int i = 0; i < 10 && !closed; ++i) {
    now += seconds(1);
    const ConnectionAgeTracker::SendEffect effect = tracker.recordSend(endpoint, now);
    closed = effect.closeStaleFirst;
    tracker.recordOutcome(effect.idleStep, closed ? Outcome::served : Outcome::timeout);
  }
  EXPECT_TRUE(closed);
  EXPECT_TRUE(tracker.hasFreshCapacity(endpoint, now + milliseconds(100)));
  EXPECT_FALSE(tracker.hasFreshCapacity(endpoint, now + seconds(1)));
  EXPECT_FALSE(tracker.hasFreshCapacity(endpoint, now + seconds(10))) << "longer idle times are stale too";
}

TEST(ConnectionAgeUpdate, UnusedConnectionsOutsideTheSubsetAreClosed) {
  Settings settings = makeSettings();
  settings.gatewayCount = 100;
  Pool pool(20, settings);
  ConnectionAgeTracker tracker(pool.settings);
  for (const EndpointId id : pool.endpoints.listed()) tracker.recordSend(pool.endpoints[id], kStart);
  std::vector<EndpointId> toClose;
  tracker.update(pool.endpoints, kStart + milliseconds(4999), toClose);
  EXPECT_TRUE(toClose.empty());
  tracker.update(pool.endpoints, kStart + seconds(5), toClose);
  EXPECT_EQ(toClose.size(), 20 - pool.endpoints.subsetSize());
}

}  // namespace
}  // namespace cairnjunction::policy::testing

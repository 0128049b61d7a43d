#include "policy/connection_age.hpp"

#include <gtest/gtest.h>

#include "pool.hpp"

namespace cairnjunction::policy::testing {
namespace {

struct ConnectionAge : ::testing::Test {
  // An attempt that is sent and ends at once, on a connection that lay idle as long as the endpoint.
  ConnectionAgeTracker::SendEffect use(Timestamp at, Outcome outcome) {
    const ConnectionAgeTracker::SendEffect used = tracker.recordSend(endpoint, at);
    tracker.recordOutcome(used.idleStep, outcome);
    return used;
  }

  Pool pool{1};
  Endpoint& endpoint = pool.endpoints[0];
  ConnectionAgeTracker tracker{pool.settings};
  Timestamp now = kStart;
};

TEST_F(ConnectionAge, AConnectionIsOpenedWhereNoneHasRoom) {
  EXPECT_FALSE(tracker.hasCapacity(endpoint, kStart));
  EXPECT_TRUE(use(kStart, Outcome::served).newConnection);
  EXPECT_EQ(endpoint.connections.open, 1);
  EXPECT_FALSE(use(kStart, Outcome::served).newConnection);
  endpoint.inFlight = 1;
  EXPECT_TRUE(use(kStart, Outcome::served).newConnection);
  EXPECT_EQ(endpoint.connections.open, 2);
}

TEST_F(ConnectionAge, ReportedCountsAreNotGuessedAt) {
  ConnectionAgeTracker::recordReported(endpoint, 3);
  endpoint.inFlight = 3;
  use(kStart, Outcome::served);
  ConnectionAgeTracker::recordClosed(endpoint);
  ConnectionAgeTracker::reset(endpoint);
  EXPECT_EQ(endpoint.connections.open, 3);
}

TEST_F(ConnectionAge, ConnectionsEndWithTheIdleTimeout) {
  pool.settings.idleTimeout = seconds(2);
  use(kStart, Outcome::served);
  EXPECT_TRUE(tracker.hasCapacity(endpoint, kStart + seconds(1)));
  EXPECT_FALSE(tracker.hasCapacity(endpoint, kStart + seconds(2)));
}

// A firewall drops connections after a second without traffic and tells neither end. What is sent on one is
// lost.
TEST_F(ConnectionAge, ConnectionsThatLayIdleForTooLongAreClosedInstead) {
  use(now, Outcome::served);
  bool closed = false;
  for (int i = 0; i < 10 && !closed; ++i) {
    now += seconds(1);
    const ConnectionAgeTracker::SendEffect used = tracker.recordSend(endpoint, now);
    closed = used.closeStaleFirst;
    tracker.recordOutcome(used.idleStep, closed ? Outcome::served : Outcome::timeout);
  }
  EXPECT_TRUE(closed);
  EXPECT_TRUE(tracker.hasFreshCapacity(endpoint, now + milliseconds(100)));
  EXPECT_FALSE(tracker.hasFreshCapacity(endpoint, now + seconds(1)));
  EXPECT_FALSE(tracker.hasFreshCapacity(endpoint, now + seconds(10))) << "a longer wait is no safer";
}

TEST(ConnectionAgeUpdate, ConnectionsBeyondTheSubsetAreGivenBack) {
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

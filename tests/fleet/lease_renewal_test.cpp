// Tests of the leader's responses to heartbeats.
#include "fleet/lease_renewal.hpp"

#include "coordinator_parts.hpp"

namespace cairnjunction::testing {
namespace {

class LeaseRenewalTest : public CoordinatorPartsTest {
 protected:
  fleet::LeaseRenewal renewal{settings, log, connections};
  const lease::BootTime sentAt{std::chrono::milliseconds(1234)};

  void grant(const lease::LeaseKey& key, const lease::Member& member) {
    log.propose(lease::LeaseGranted{key, member, std::chrono::seconds(3)}, [](const lease::ApplyResult&) {});
  }
};

TEST_F(LeaseRenewalTest, RespondsWithoutTheLogIfNothingIsHeld) {
  Peer& first = connect("a");
  const int before = replicated.committedCount;
  renewal.onHeartbeat(first.connection, {sentAt, {}});
  EXPECT_EQ(first.connection->lastHeartbeat, sentAt);
  ASSERT_TRUE(until([&] { return first.received.size() == 1; }));
  EXPECT_EQ(first.receivedOf<fleet::HeartbeatResponse>().at(0).members, 1u);
  EXPECT_EQ(replicated.committedCount, before);
}

TEST_F(LeaseRenewalTest, RenewsAllHeldLeasesWithOneEntry) {
  Peer& first = connect("a");
  grant(list, first.connection->member);
  grant({"probe", 1}, first.connection->member);
  const int before = replicated.committedCount;
  renewal.onHeartbeat(first.connection, {sentAt, {{list, 1, 7}, {{"probe", 1}, 1, 0}}});
  EXPECT_EQ(replicated.committedCount, before + 1);
  ASSERT_TRUE(until([&] { return first.received.size() == 1; }));
  const fleet::HeartbeatResponse response = first.receivedOf<fleet::HeartbeatResponse>().at(0);
  ASSERT_EQ(response.granted.size(), 2u);
  EXPECT_EQ(response.granted[0].key, list);
  EXPECT_EQ(response.granted[0].sequence, 7u);
  EXPECT_EQ(response.granted[0].heartbeatSentAt, sentAt);
  EXPECT_TRUE(response.lost.empty());
}

// A member reports a lease that another member holds and one of an unknown task. The response lists both as
// lost.
TEST_F(LeaseRenewalTest, ReportsLeasesThatAreNotHeldAsLost) {
  Peer& first = connect("a");
  grant(list, {"another", 5});
  renewal.onHeartbeat(first.connection, {sentAt, {{list, 1, 0}, {{"unknown", 0}, 3, 0}}});
  ASSERT_TRUE(until([&] { return first.received.size() == 2; }));
  std::vector<fleet::LostLease> lost;
  for (const auto& response : first.receivedOf<fleet::HeartbeatResponse>()) {
    EXPECT_TRUE(response.granted.empty());
    lost.insert(lost.end(), response.lost.begin(), response.lost.end());
  }
  EXPECT_EQ(lost, (std::vector<fleet::LostLease>{{{"unknown", 0}, 3}, {list, 1}}));
}

// The link ends while the renewal waits for the log. No response is sent.
TEST_F(LeaseRenewalTest, SendsNoResponseAfterTheLinkEnded) {
  Peer& first = connect("a");
  grant(list, first.connection->member);
  replicated.deferCommits = true;
  renewal.onHeartbeat(first.connection, {sentAt, {{list, 1, 0}}});
  first.connection->link->close(fleet::LinkEnd::stopped);
  EXPECT_TRUE(first.connection->ended);
  replicated.commitDeferred();
  ASSERT_TRUE(until([&] { return first.end.has_value(); }));
  EXPECT_TRUE(first.received.empty());
}

}  // namespace
}  // namespace cairnjunction::testing

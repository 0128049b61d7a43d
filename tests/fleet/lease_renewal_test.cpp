// The leader's answers to heartbeats.
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

TEST_F(LeaseRenewalTest, AMemberThatHoldsNothingIsAnsweredWithoutTheLog) {
  Peer& first = connect("a");
  const int before = replicated.proposals;
  renewal.onHeartbeat(first.connection, {sentAt, {}});
  EXPECT_EQ(first.connection->lastHeartbeat, sentAt);
  ASSERT_TRUE(until([&] { return first.received.size() == 1; }));
  EXPECT_EQ(first.all<fleet::HeartbeatResponse>().at(0).members, 1u);
  EXPECT_EQ(replicated.proposals, before);
}

TEST_F(LeaseRenewalTest, WhatIsHeldIsRenewedByOneEntry) {
  Peer& first = connect("a");
  grant(list, first.connection->member);
  grant({"probe", 1}, first.connection->member);
  const int before = replicated.proposals;
  renewal.onHeartbeat(first.connection, {sentAt, {{list, 1, 7}, {{"probe", 1}, 1, 0}}});
  EXPECT_EQ(replicated.proposals, before + 1);
  ASSERT_TRUE(until([&] { return first.received.size() == 1; }));
  const fleet::HeartbeatResponse response = first.all<fleet::HeartbeatResponse>().at(0);
  ASSERT_EQ(response.granted.size(), 2u);
  EXPECT_EQ(response.granted[0].key, list);
  EXPECT_EQ(response.granted[0].sequence, 7u);
  EXPECT_EQ(response.granted[0].askedAt, sentAt);
  EXPECT_TRUE(response.lost.empty());
}

// A member believes that it holds leases of another member, of an old epoch, and of a task that this fleet
// does not have. It is told that it has lost each.
TEST_F(LeaseRenewalTest, WhatIsNotHeldIsLost) {
  Peer& first = connect("a");
  grant(list, {"another", 5});
  renewal.onHeartbeat(first.connection, {sentAt, {{list, 1, 0}, {{"unknown", 0}, 3, 0}}});
  ASSERT_TRUE(until([&] { return first.received.size() == 2; }));
  std::vector<fleet::LostLease> lost;
  for (const auto& response : first.all<fleet::HeartbeatResponse>()) {
    EXPECT_TRUE(response.granted.empty());
    lost.insert(lost.end(), response.lost.begin(), response.lost.end());
  }
  EXPECT_EQ(lost, (std::vector<fleet::LostLease>{{{"unknown", 0}, 3}, {list, 1}}));
}

// The link ends while the renewal waits for the log. The answer is sent to nobody.
TEST_F(LeaseRenewalTest, AnEndedLinkIsNotAnswered) {
  Peer& first = connect("a");
  grant(list, first.connection->member);
  replicated.holds = true;
  renewal.onHeartbeat(first.connection, {sentAt, {{list, 1, 0}}});
  first.connection->link->close(fleet::LinkEnd::stopped);
  EXPECT_TRUE(first.connection->ended);
  replicated.commitHeld();
  ASSERT_TRUE(until([&] { return first.end.has_value(); }));
  EXPECT_TRUE(first.received.empty());
}

}  // namespace
}  // namespace cairnjunction::testing

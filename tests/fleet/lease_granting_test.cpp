// Tests of granting and rebalancing leases by the leader.
#include "fleet/lease_granting.hpp"

#include "coordinator_parts.hpp"

namespace cairnjunction::testing {
namespace {

class LeaseGrantingTest : public CoordinatorPartsTest {
 protected:
  fleet::LeaseGranting granting{io, settings, log, connections, events};

  std::size_t heldCount(const std::string& name) const {
    return log.table().countHeldBy({name, 1}, log.now());
  }
};

TEST_F(LeaseGrantingTest, GrantsAreMeasuredFromTheLastHeartbeat) {
  Peer& first = connect("a");
  granting.grantFreeLeases();
  EXPECT_EQ(heldCount("a"), 5u);
  ASSERT_TRUE(until([&] { return first.received.size() == 5; }));
  const auto responses = first.receivedOf<fleet::HeartbeatResponse>();
  ASSERT_EQ(responses.size(), 5u);
  EXPECT_EQ(responses[0].granted.at(0).epoch, 1u);
  EXPECT_EQ(responses[0].granted.at(0).heartbeatSentAt, first.connection->lastHeartbeat);
}

// A heartbeat arrives while the log entry of a grant is being written. The lease is measured from the
// heartbeat before it, because the log's time of the grant was read before the new one arrived.
TEST_F(LeaseGrantingTest, AHeartbeatDuringTheProposalDoesNotExtendTheLease) {
  Peer& first = connect("a");
  const lease::BootTime firstHeartbeat = *first.connection->lastHeartbeat;
  replicated.deferCommits = true;
  granting.grantFreeLeases();
  granting.grantFreeLeases();
  first.connection->lastHeartbeat = firstHeartbeat + std::chrono::seconds(60);
  replicated.commitDeferred();
  EXPECT_EQ(heldCount("a"), 5u);
  ASSERT_TRUE(until([&] { return first.received.size() == 5; })) << "each lease was proposed once";
  for (const auto& response : first.receivedOf<fleet::HeartbeatResponse>())
    EXPECT_EQ(response.granted.at(0).heartbeatSentAt, firstHeartbeat);
}

TEST_F(LeaseGrantingTest, GrantsNothingToIneligibleMembers) {
  connect("a").connection->eligible = false;
  connect("b").connection->joined = false;
  connect("c").connection->lastHeartbeat.reset();
  granting.grantFreeLeases();
  EXPECT_TRUE(log.table().records().empty());
  connect("d");
  replicated.leading = false;
  granting.grantFreeLeases();
  EXPECT_TRUE(log.table().records().empty()) << "this coordinator does not lead";
}

// The first member holds all leases. Leases of shards are transferred one at a time to a member that joins
// later; the lease of a task with a single shard is not.
TEST_F(LeaseGrantingTest, RebalancesLeasesToMembersWithFewer) {
  Peer& first = connect("a");
  granting.start();
  EXPECT_EQ(heldCount("a"), 5u);
  connect("b");
  ASSERT_TRUE(until([&] { return !first.receivedOf<fleet::TransferLease>().empty(); }));
  EXPECT_EQ(first.receivedOf<fleet::TransferLease>()[0].key.task, "probe");
  EXPECT_EQ(first.receivedOf<fleet::TransferLease>().size(), 1u);
  granting.stop();
}

TEST_F(LeaseGrantingTest, RequestsATransferFromTheHolder) {
  EXPECT_EQ(granting.transfer(list), fleet::TransferResult::notHeld);
  Peer& first = connect("a");
  granting.grantFreeLeases();
  EXPECT_EQ(granting.transfer(list), fleet::TransferResult::requested);
  ASSERT_TRUE(until([&] { return first.receivedOf<fleet::TransferLease>().size() == 1; }));
  EXPECT_EQ(first.receivedOf<fleet::TransferLease>()[0].key, list);
  connections.remove(first.connection);
  EXPECT_EQ(granting.transfer(list), fleet::TransferResult::holderNotConnected);
  replicated.leading = false;
  EXPECT_EQ(granting.transfer(list), fleet::TransferResult::notLeader);
}

}  // namespace
}  // namespace cairnjunction::testing

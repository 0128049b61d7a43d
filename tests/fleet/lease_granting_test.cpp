// Grants and moves of leases by the leader.
#include "fleet/lease_granting.hpp"

#include "coordinator_parts.hpp"

namespace cairnjunction::testing {
namespace {

class LeaseGrantingTest : public CoordinatorPartsTest {
 protected:
  fleet::LeaseGranting granting{io, settings, log, connections, events};

  std::size_t holds(const std::string& name) const { return log.table().held({name, 1}, log.now()); }
};

TEST_F(LeaseGrantingTest, FreeLeasesAreGrantedFromTheLastHeartbeat) {
  Peer& first = connect("a");
  granting.grantFreeLeases();
  EXPECT_EQ(holds("a"), 5u);
  ASSERT_TRUE(until([&] { return first.received.size() == 5; }));
  const auto responses = first.all<fleet::HeartbeatResponse>();
  ASSERT_EQ(responses.size(), 5u);
  EXPECT_EQ(responses[0].granted.at(0).epoch, 1u);
  EXPECT_EQ(responses[0].granted.at(0).askedAt, first.connection->lastHeartbeat);
}

// A heartbeat comes while the entry of a grant is being written. The lease counts from the one before it: the
// log's time of the grant was read before the new one came.
TEST_F(LeaseGrantingTest, AHeartbeatDuringTheProposalDoesNotExtendTheLease) {
  Peer& first = connect("a");
  const lease::BootTime asked = *first.connection->lastHeartbeat;
  replicated.holds = true;
  granting.grantFreeLeases();
  granting.grantFreeLeases();
  first.connection->lastHeartbeat = asked + std::chrono::seconds(60);
  replicated.commitHeld();
  EXPECT_EQ(holds("a"), 5u);
  ASSERT_TRUE(until([&] { return first.received.size() == 5; })) << "each lease was proposed once";
  for (const auto& response : first.all<fleet::HeartbeatResponse>())
    EXPECT_EQ(response.granted.at(0).askedAt, asked);
}

TEST_F(LeaseGrantingTest, NothingIsGrantedToWhoCantTakeIt) {
  connect("a").connection->eligible = false;
  connect("b").connection->joined = false;
  connect("c").connection->lastHeartbeat.reset();
  granting.grantFreeLeases();
  EXPECT_TRUE(log.table().holdings().empty());
  connect("d");
  replicated.leads = false;
  granting.grantFreeLeases();
  EXPECT_TRUE(log.table().holdings().empty()) << "this coordinator does not lead";
}

// One member holds all, since it came first. Shards move to one that comes later, one at a time; a task that
// is not sharded stays.
TEST_F(LeaseGrantingTest, LeasesMoveToMembersThatHoldFew) {
  Peer& first = connect("a");
  granting.start();
  EXPECT_EQ(holds("a"), 5u);
  connect("b");
  ASSERT_TRUE(until([&] { return !first.all<fleet::TransferLease>().empty(); }));
  EXPECT_EQ(first.all<fleet::TransferLease>()[0].key.task, "probe");
  EXPECT_EQ(first.all<fleet::TransferLease>().size(), 1u);
  granting.stop();
}

TEST_F(LeaseGrantingTest, ATransferIsAskedOfTheHolder) {
  EXPECT_EQ(granting.transfer(list), fleet::TransferResult::notHeld);
  Peer& first = connect("a");
  granting.grantFreeLeases();
  EXPECT_EQ(granting.transfer(list), fleet::TransferResult::requested);
  ASSERT_TRUE(until([&] { return first.all<fleet::TransferLease>().size() == 1; }));
  EXPECT_EQ(first.all<fleet::TransferLease>()[0].key, list);
  connections.remove(first.connection);
  EXPECT_EQ(granting.transfer(list), fleet::TransferResult::holderNotConnected);
  replicated.leads = false;
  EXPECT_EQ(granting.transfer(list), fleet::TransferResult::notLeader);
}

}  // namespace
}  // namespace cairnjunction::testing

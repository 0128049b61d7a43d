// Tests of the coordinator's table of connections.
#include "fleet/connection_table.hpp"

#include "coordinator_parts.hpp"

namespace cairnjunction::testing {
namespace {

using ConnectionTableTest = CoordinatorPartsTest;

TEST_F(ConnectionTableTest, FindsMembersThatHaveJoined) {
  Peer& first = connect("a");
  EXPECT_EQ(connections.findJoined({"a", 1}), first.connection);
  EXPECT_EQ(connections.findJoined({"a", 2}), nullptr) << "another process of this name";
  first.connection->joined = false;
  EXPECT_EQ(connections.findJoined({"a", 1}), nullptr);
  EXPECT_EQ(connections.findMember("a"), first.connection);
  EXPECT_TRUE(connections.joined().empty());
  EXPECT_EQ(connections.memberCount(), 1u);
}

// A member dials again before the end of its old link is noticed. The end of the old link must not remove the
// new connection.
TEST_F(ConnectionTableTest, EndOfAReplacedLinkKeepsTheNewConnection) {
  Peer& first = connect("a");
  const fleet::PeerConnectionPtr before = first.connection;
  const auto again = std::make_shared<fleet::PeerConnection>(*before);
  connections.add(again);
  connections.addMember(again);
  EXPECT_FALSE(connections.remove(before));
  EXPECT_TRUE(before->ended);
  EXPECT_EQ(connections.findMember("a"), again);
  EXPECT_TRUE(connections.remove(again));
  EXPECT_EQ(connections.findMember("a"), nullptr);
}

TEST_F(ConnectionTableTest, FinishAllSendsALastMessageToEveryMember) {
  Peer& first = connect("a");
  Peer& second = connect("b");
  connections.finishAll(fleet::NotLeader{2}, fleet::LinkEnd::notLeader);
  ASSERT_TRUE(until([&] { return first.end && second.end; }));
  EXPECT_EQ(first.receivedOf<fleet::NotLeader>().at(0).leader, 2);
  EXPECT_EQ(second.receivedOf<fleet::NotLeader>().size(), 1u);
  EXPECT_EQ(connections.memberCount(), 0u);
}

}  // namespace
}  // namespace cairnjunction::testing

// Tests of the status and lease JSON for operators. Its field names must not change.
#include "fleet/coordinator_status.hpp"

#include "coordinator_parts.hpp"

namespace cairnjunction::testing {
namespace {

using CoordinatorStatusTest = CoordinatorPartsTest;

TEST_F(CoordinatorStatusTest, FieldNamesAreStable) {
  Peer& first = connect("a");
  log.propose(lease::LeaseGranted{list, first.connection->member, std::chrono::seconds(60)},
              [](const lease::ApplyResult&) {});
  const json status = fleet::statusJson({"yard", 1, 7, 2}, log, connections);
  EXPECT_EQ(status, (json{{"fleet", "yard"},
                          {"keeper", 1},
                          {"leads", true},
                          {"leader", 1},
                          {"votes", true},
                          {"orders_passed_on", 7},
                          {"turned_away", 2},
                          {"members", json::array({{{"name", "a"},
                                                    {"zone", ""},
                                                    {"willing", true},
                                                    {"owns", 1},
                                                    {"bytes_in", 0},
                                                    {"bytes_out", 0}}})}}));
  json leases = fleet::leasesJson(log);
  ASSERT_EQ(leases.size(), 1u);
  EXPECT_GT(leases[0]["left_ms"].get<std::int64_t>(), 0);
  leases[0].erase("left_ms");
  EXPECT_EQ(leases[0], (json{{"duty", "list"}, {"shard", 0}, {"owner", "a"}, {"epoch", 1}}));
}

// Guards against a coordinator with a full disk whose status shows no problem.
TEST_F(CoordinatorStatusTest, ShowsTheReasonAndCountOfVotingPauses) {
  replicated.setPause("raft.db: database or disk is full");
  const json paused = fleet::statusJson({"yard", 1, 7, 2, 1}, log, connections);
  EXPECT_EQ(paused["paused"], "raft.db: database or disk is full");
  EXPECT_EQ(paused["pauses"], 1);
  replicated.setPause(std::nullopt);
  const json resumed = fleet::statusJson({"yard", 1, 7, 2, 1}, log, connections);
  EXPECT_FALSE(resumed.contains("paused"));
  EXPECT_EQ(resumed["pauses"], 1);
}

TEST_F(CoordinatorStatusTest, ShowsWhyALeaseHasNoHolder) {
  Peer& first = connect("a");
  const lease::Member member = first.connection->member;
  log.propose(lease::LeaseGranted{list, member, std::chrono::seconds(60)}, [](const lease::ApplyResult&) {});
  log.propose(lease::LeaseReleased{list, 1, member, true}, [](const lease::ApplyResult&) {});
  const json leases = fleet::leasesJson(log);
  EXPECT_TRUE(leases.at(0)["owner"].is_null());
  EXPECT_EQ(leases.at(0)["left_ms"], 0);
  EXPECT_EQ(leases.at(0)["why"], nameOf(lease::LeaseChangeReason::failed));
}

}  // namespace
}  // namespace cairnjunction::testing

// What the leader proposes, and the log's time.
#include "fleet/lease_log.hpp"

#include "coordinator_parts.hpp"

namespace cairnjunction::testing {
namespace {

using LeaseLogTest = CoordinatorPartsTest;

TEST_F(LeaseLogTest, AProposalIsAppliedAndItsResultHandedBack) {
  std::optional<lease::ApplyResult> result;
  log.propose(lease::MemberJoined{{"a", 1}, ""},
              [&](const lease::ApplyResult& applied) { result = applied; });
  ASSERT_TRUE(result);
  EXPECT_EQ(result->rejection, lease::RejectionReason::none);
  log.propose(lease::LeaseReleased{list, 9, {"a", 1}, false},
              [&](const lease::ApplyResult& applied) { result = applied; });
  EXPECT_NE(result->rejection, lease::RejectionReason::none);
}

// Leadership is lost while an entry waits, or there is no log yet. Nobody is told that it was applied.
TEST_F(LeaseLogTest, WithoutLeadershipNothingIsHandedBack) {
  bool called = false;
  const auto onApplied = [&](const lease::ApplyResult&) { called = true; };
  replicated.leads = false;
  log.propose(lease::MemberJoined{{"a", 1}, ""}, onApplied);
  log.detach();
  EXPECT_FALSE(log.isLeader());
  EXPECT_EQ(log.leader(), 0);
  log.propose(lease::MemberJoined{{"a", 1}, ""}, onApplied);
  EXPECT_FALSE(called);
}

// A coordinator begins to lead long after the last entry. The log's time goes on from that entry, and not
// from the machine's clock: leases are never cut short by a change of leader.
TEST_F(LeaseLogTest, TheLogsTimeGoesOnFromTheLastEntry) {
  const lease::LogTime last = log.now();
  log.propose(lease::MemberJoined{{"a", 1}, ""}, [](const lease::ApplyResult&) {});
  ASSERT_GE(log.table().now(), last);
  ASSERT_TRUE(until([&] { return log.now() - log.table().now() >= std::chrono::milliseconds(20); }));
  const lease::LogTime atEntry = log.table().now();
  log.beginLeading();
  EXPECT_LT(log.now() - atEntry, std::chrono::milliseconds(20));
  EXPECT_GE(log.now(), atEntry);
}

}  // namespace
}  // namespace cairnjunction::testing

// Tests of proposing lease changes, and of the log's time.
#include "fleet/lease_log.hpp"

#include "coordinator_parts.hpp"

namespace cairnjunction::testing {
namespace {

using LeaseLogTest = CoordinatorPartsTest;

TEST_F(LeaseLogTest, AppliesAProposalAndReturnsItsResult) {
  std::optional<lease::ApplyResult> result;
  log.propose(lease::MemberJoined{{"a", 1}, ""},
              [&](const lease::ApplyResult& applied) { result = applied; });
  ASSERT_TRUE(result);
  EXPECT_EQ(result->rejection, lease::RejectionReason::none);
  log.propose(lease::LeaseReleased{list, 9, {"a", 1}, false},
              [&](const lease::ApplyResult& applied) { result = applied; });
  EXPECT_NE(result->rejection, lease::RejectionReason::none);
}

// Without leadership or an attached log, the callback of a proposal is never called.
TEST_F(LeaseLogTest, ReturnsNoResultWithoutLeadership) {
  bool called = false;
  const auto onApplied = [&](const lease::ApplyResult&) { called = true; };
  replicated.leading = false;
  log.propose(lease::MemberJoined{{"a", 1}, ""}, onApplied);
  log.detach();
  EXPECT_FALSE(log.isLeader());
  EXPECT_EQ(log.leader(), 0);
  log.propose(lease::MemberJoined{{"a", 1}, ""}, onApplied);
  EXPECT_FALSE(called);
}

// A coordinator becomes the leader some time after the last entry. The log's time continues from that entry
// and not from the machine's clock, so a change of leader never shortens a lease.
TEST_F(LeaseLogTest, TimeContinuesFromTheLastEntry) {
  const lease::LogTime last = log.now();
  log.propose(lease::MemberJoined{{"a", 1}, ""}, [](const lease::ApplyResult&) {});
  ASSERT_GE(log.table().now(), last);
  ASSERT_TRUE(until([&] { return log.now() - log.table().now() >= std::chrono::milliseconds(20); }));
  const lease::LogTime atEntry = log.table().now();
  log.onLeadershipAcquired();
  EXPECT_LT(log.now() - atEntry, std::chrono::milliseconds(20));
  EXPECT_GE(log.now(), atEntry);
}

}  // namespace
}  // namespace cairnjunction::testing

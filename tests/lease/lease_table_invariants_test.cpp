// LeaseTableInvariants finds and names each violated invariant.
#include "lease/lease_table_invariants.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "lease_log.hpp"

namespace cairnjunction::lease::testing {
namespace {

using Violations = std::vector<std::string>;
using Corruption = std::function<void(LeaseTableState&)>;

// Member a holds list/0, and has released probe/3 as failed.
LeaseTableState validState() {
  LeaseLog log;
  log(MemberJoined{kMemberA, ""});
  log(MemberJoined{kMemberB, ""});
  log(LeaseGranted{kList, kMemberA, kLease});
  log(LeaseGranted{{"probe", 3}, kMemberA, kLease});
  log(LeaseReleased{{"probe", 3}, 1, kMemberA, true});
  return log.state();
}

// Each case corrupts a valid state in one way. The violated invariant is named, and the valid state has none.
TEST(LeaseTableInvariants, FindsEachViolationInAState) {
  EXPECT_EQ(LeaseTableInvariants::violationsIn(validState()), Violations{});
  const LeaseKey probe{"probe", 3};
  const std::vector<std::pair<Corruption, std::string>> cases{
      {[](auto& state) { state.records[kList].epoch = 0; },
       "list/0: a key that was never granted has no record"},
      {[](auto& state) { state.records[kList].expiresAt = state.records[kList].grantedAt; },
       "list/0: a lease ends after it was granted"},
      {[](auto& state) { state.records[kList].expiresAt += kMaxLeaseDuration; },
       "list/0: a lease ends within the maximum duration"},
      {[](auto& state) { state.records[kList].holder.incarnation = 0; },
       "list/0: a holder has an incarnation"},
      {[&](auto& state) { state.records[probe].expiresAt = logTime(1); },
       "probe/3: without a holder there is no lease to end"},
      {[&](auto& state) { state.records[probe].reason = LeaseChangeReason::vacant; },
       "probe/3: a lease that ended has a reason"},
      {[](auto& state) { state.members["b"] = 0; }, "member b: a member has an incarnation"},
      {[](auto& state) { state.failures.recordFailure("a", "probe", logTime(1'000'000)); },
       "failures of a at probe: a backoff ends within the maximum backoff"}};
  for (const auto& [corrupt, violation] : cases) {
    LeaseTableState state = validState();
    corrupt(state);
    EXPECT_EQ(LeaseTableInvariants::violationsIn(state), Violations{violation});
  }
}

// Each case corrupts the state after an entry in one way. The violated invariant is named, and a valid change
// has none.
TEST(LeaseTableInvariants, FindsEachViolationInAChange) {
  const LeaseTableState before = validState();
  EXPECT_EQ(LeaseTableInvariants::violationsBetween(before, before), Violations{});
  const std::vector<std::pair<Corruption, std::string>> cases{
      {[](auto& state) { state.logTime = logTime(999); }, "table: the log's time does not decrease"},
      {[](auto& state) { state.records.erase(kList); }, "list/0: a record is not erased"},
      {[](auto& state) { state.records[kList].holder = kMemberB; }, "list/0: an epoch has one holder"},
      {[](auto& state) { state.records[kList].expiresAt -= Duration(1); },
       "list/0: a renewal does not shorten a lease"},
      {[](auto& state) { state.records[kList].grantedAt += Duration(1); },
       "list/0: within an epoch the time of the grant does not change"},
      {[](auto& state) { state.records[kList].epoch = 2; },
       "list/0: a key is granted after its lease has ended or was released"},
      {[](auto& state) {
         state.records[{"probe", 3}].epoch = 2;
       },
       "probe/3: a grant has a holder"}};
  for (const auto& [corrupt, violation] : cases) {
    LeaseTableState after = before;
    corrupt(after);
    EXPECT_EQ(LeaseTableInvariants::violationsBetween(before, after), Violations{violation});
  }
}

}  // namespace
}  // namespace cairnjunction::lease::testing

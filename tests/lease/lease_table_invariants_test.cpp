// The checker of the table finds each state that breaks an invariant.
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
using Damage = std::function<void(LeaseTableState&)>;

// The list is held by a, which has released a shard of probing as failed.
LeaseTableState soundState() {
  LeaseLog log;
  log(MemberJoined{kMemberA, ""});
  log(MemberJoined{kMemberB, ""});
  log(LeaseGranted{kList, kMemberA, kLease});
  log(LeaseGranted{{"probe", 3}, kMemberA, kLease});
  log(LeaseReleased{{"probe", 3}, 1, kMemberA, true});
  return log.state();
}

// A state is damaged in one way after another.
// Each is found and named, and the sound state has none.
TEST(LeaseTableInvariants, FindsEachBrokenState) {
  EXPECT_EQ(LeaseTableInvariants::violationsIn(soundState()), Violations{});
  const LeaseKey probe{"probe", 3};
  const std::vector<std::pair<Damage, std::string>> cases{
      {[](auto& state) { state.records[kList].epoch = 0; },
       "list/0: a key that was never granted has no record"},
      {[](auto& state) { state.records[kList].expiresAt = state.records[kList].grantedAt; },
       "list/0: a lease ends after it was granted"},
      {[](auto& state) { state.records[kList].expiresAt += kLeaseMost; },
       "list/0: a lease ends within the longest duration"},
      {[](auto& state) { state.records[kList].holder.incarnation = 0; }, "list/0: a holder is a process"},
      {[&](auto& state) { state.records[probe].expiresAt = logTime(1); },
       "probe/3: without a holder there is no lease to end"},
      {[&](auto& state) { state.records[probe].reason = LeaseChangeReason::vacant; },
       "probe/3: a lease that ended has a reason"},
      {[](auto& state) { state.members["b"] = 0; }, "member b: a member has an incarnation"},
      {[](auto& state) { state.failures.recordFailure("a", "probe", logTime(1'000'000)); },
       "failures of a at probe: a backoff ends within the longest one"}};
  for (const auto& [damage, violation] : cases) {
    LeaseTableState state = soundState();
    damage(state);
    EXPECT_EQ(LeaseTableInvariants::violationsIn(state), Violations{violation});
  }
}

// From one entry to the next, a step is damaged in one way after another.
// Each is found and named, and the sound step has none.
TEST(LeaseTableInvariants, FindsEachBrokenStep) {
  const LeaseTableState before = soundState();
  EXPECT_EQ(LeaseTableInvariants::violationsBetween(before, before), Violations{});
  const std::vector<std::pair<Damage, std::string>> cases{
      {[](auto& state) { state.logTime = logTime(999); }, "table: the log's time does not go back"},
      {[](auto& state) { state.records.erase(kList); }, "list/0: a record stays"},
      {[](auto& state) { state.records[kList].holder = kMemberB; }, "list/0: an epoch has one holder"},
      {[](auto& state) { state.records[kList].expiresAt -= Duration(1); },
       "list/0: a renewal does not shorten a lease"},
      {[](auto& state) { state.records[kList].grantedAt += Duration(1); },
       "list/0: within an epoch the time of the grant stays"},
      {[](auto& state) { state.records[kList].epoch = 2; },
       "list/0: a key is granted after its lease has ended or was given back"},
      {[](auto& state) {
         state.records[{"probe", 3}].epoch = 2;
       },
       "probe/3: a grant has a holder"}};
  for (const auto& [damage, violation] : cases) {
    LeaseTableState after = before;
    damage(after);
    EXPECT_EQ(LeaseTableInvariants::violationsBetween(before, after), Violations{violation});
  }
}

}  // namespace
}  // namespace cairnjunction::lease::testing

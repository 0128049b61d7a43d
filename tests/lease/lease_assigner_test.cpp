// To which candidates free keys are granted.
#include "lease/lease_assigner.hpp"

#include <gtest/gtest.h>

#include <vector>

#include "lease_log.hpp"

namespace cairnjunction::lease::testing {
namespace {

const std::vector<TaskSpec> kProbes{{"probe", 20, kLease, "", ""}};

// Five members are connected, and twenty shards are free. Each member is granted four.
TEST(LeaseAssigner, SpreadsShardsEvenly) {
  LeaseLog log;
  const std::vector<Candidate> candidates = joinedCandidates(log, 5);
  for (const LeaseGranted& grant : assignLeases(log, kProbes, candidates, log.at)) log(grant);
  for (const Candidate& candidate : candidates) EXPECT_EQ(log.countHeldBy(candidate.member, log.at), 4U);
  EXPECT_TRUE(assignLeases(log, kProbes, candidates, log.at).empty()) << "all have a holder";
}

// Applies the proposed grants for 300 s. m0 crashes and lets each of its leases expire; the others release
// theirs at once. Returns the number of leases that were granted to m0.
int countGrantsToFailingMember(LeaseLog& log, const std::vector<TaskSpec>& specs,
                               const std::vector<Candidate>& candidates) {
  int grants = 0;
  for (int i = 0; i < 100; ++i) {
    for (const LeaseGranted& grant : assignLeases(log, specs, candidates, log.at)) {
      log(grant);
      if (grant.member.name == "m0") ++grants;
      else log(LeaseReleased{grant.key, log.find(grant.key)->epoch, grant.member});
    }
    log.at += kLease;
  }
  return grants;
}

// One of five members crashes with each lease that it is granted. Its backoff grows, but it is granted the
// lease if it is the only candidate.
TEST(LeaseAssigner, AFailingMemberBacksOffUnlessItIsTheOnlyCandidate) {
  LeaseLog log;
  const std::vector<Candidate> candidates = joinedCandidates(log, 5);
  for (const LeaseGranted& grant : assignLeases(log, kProbes, candidates, log.at)) log(grant);
  const std::vector<TaskSpec> listOnly{{"list", 1, kLease, "", ""}};
  const int failures = countGrantsToFailingMember(log, listOnly, candidates);
  EXPECT_GE(failures, 2);
  EXPECT_LE(failures, 8) << "the backoff doubles after each failure";
  EXPECT_EQ(assignLeases(log, listOnly, {candidates[0]}, log.at).size(), 1U) << "it is the only candidate";
}

// The holder of a task releases it, twenty times. The holder of the standby task is always another member,
// and is granted the task next.
TEST(LeaseAssigner, TheStandbyIsAnotherMemberAndSucceedsTheHolder) {
  LeaseLog log;
  const std::vector<Candidate> candidates = joinedCandidates(log, 4);
  const std::vector<TaskSpec> specs{{"list", 1, kLease, "list-standby", ""},
                                    {"list-standby", 1, kLease, "", "list"}};
  const LeaseKey standby{"list-standby", 0};
  for (int round = 0; round < 20; ++round) {
    for (const LeaseGranted& grant : assignLeases(log, specs, candidates, log.at)) log(grant);
    const Member holder = log.find(kList)->holder;
    const Member successor = log.find(standby)->holder;
    EXPECT_NE(holder, successor);
    log(LeaseReleased{kList, log.find(kList)->epoch, holder});
    for (const LeaseGranted& grant : assignLeases(log, specs, candidates, log.at)) log(grant);
    EXPECT_EQ(log.find(kList)->holder, successor);
    log(LeaseReleased{standby, log.find(standby)->epoch, successor});
  }
}

TEST(LeaseAssigner, GrantsNothingWithoutACandidate) {
  const LeaseLog log;
  EXPECT_TRUE(assignLeases(log, {{"list", 1, kLease, "", ""}}, {}, log.at).empty());
}

}  // namespace
}  // namespace cairnjunction::lease::testing

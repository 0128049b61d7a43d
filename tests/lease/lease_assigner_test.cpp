// Who is granted what is free.
#include "lease/lease_assigner.hpp"

#include <gtest/gtest.h>

#include <vector>

#include "lease_log.hpp"

namespace cairnjunction::lease::testing {
namespace {

const std::vector<TaskSpec> kProbes{{"probe", 20, kLease, "", ""}};

// Five members are connected, and twenty shards are free.
// Each is granted four, and then none is left.
TEST(LeaseAssigner, SpreadsTasksEvenly) {
  LeaseLog log;
  const std::vector<Candidate> candidates = joinedCandidates(log, 5);
  for (const LeaseGranted& grant : assignLeases(log, kProbes, candidates, log.at)) log(grant);
  for (const Candidate& candidate : candidates) EXPECT_EQ(log.held(candidate.member, log.at), 4U);
  EXPECT_TRUE(assignLeases(log, kProbes, candidates, log.at).empty()) << "all have a holder";
}

// Grants what is due, for 300 s: m0 dies with each lease that it is granted, the others release theirs at
// once. How often m0 was granted one.
int grantsToFailing(LeaseLog& log, const std::vector<TaskSpec>& specs,
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

// One of five members dies with each lease that it is granted.
// It is granted one ever later, but gets it where nobody else is left.
TEST(LeaseAssigner, BacksOffFromWhoFails) {
  LeaseLog log;
  const std::vector<Candidate> candidates = joinedCandidates(log, 5);
  for (const LeaseGranted& grant : assignLeases(log, kProbes, candidates, log.at)) log(grant);
  const std::vector<TaskSpec> listOnly{{"list", 1, kLease, "", ""}};
  const int failures = grantsToFailing(log, listOnly, candidates);
  EXPECT_GE(failures, 2);
  EXPECT_LE(failures, 8) << "with twice as long a backoff after each";
  EXPECT_EQ(assignLeases(log, listOnly, {candidates[0]}, log.at).size(), 1U) << "nobody else is left";
}

// The holder of the list releases it, twenty times.
// The standby, which is always another member, is granted it next.
TEST(LeaseAssigner, TheStandbySucceedsAndIsNotTheHolder) {
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

// No member is connected.
// Nothing is granted.
TEST(LeaseAssigner, WithoutACandidateNothingIsGranted) {
  const LeaseLog log;
  EXPECT_TRUE(assignLeases(log, {{"list", 1, kLease, "", ""}}, {}, log.at).empty());
}

}  // namespace
}  // namespace cairnjunction::lease::testing

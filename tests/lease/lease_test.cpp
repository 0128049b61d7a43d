// The state machine, the choice, the owner's lease and the receiver's gate, each against its promises.
#include <gtest/gtest.h>

#include <random>
#include <set>

#include "lease/fencing_gate.hpp"
#include "lease/held_lease.hpp"
#include "lease/lease_assigner.hpp"
#include "lease/lease_table.hpp"

namespace cairnjunction::lease {
namespace {

const LeaseKey kList{"list", 0};
const Member kA{"a", 1}, kB{"b", 2};
constexpr Duration kLease{3000};

LogTime logTime(std::int64_t ms) { return LogTime(Duration(ms)); }
BootTime bootTime(std::int64_t ms) { return BootTime(Duration(ms)); }

struct Log : LeaseTable {
  LogTime at = logTime(1000);
  ApplyResult operator()(Change change) { return apply({at, std::move(change)}); }
};

TEST(Registry, OneOwnerUntilItsLeaseEndsAndEachChangeOfHandsHasAnEpochAndAReason) {
  Log log;
  log(MemberJoined{kA, ""});
  log(MemberJoined{kB, ""});
  EXPECT_EQ(log(LeaseGranted{kList, kA, kLease}).held.at(0).epoch, 1u);
  EXPECT_EQ(log(LeaseGranted{kList, kB, kLease}).rejection, RejectionReason::heldByAnother);
  log.at += kLease - Duration(1);
  EXPECT_EQ(log(LeasesRenewed{kA, {{kList, 1, 7}}, kLease}).held.size(), 1u);
  log.at += kLease - Duration(1);
  EXPECT_EQ(log(LeaseGranted{kList, kB, kLease}).rejection, RejectionReason::heldByAnother);
  log.at += Duration(1);
  EXPECT_EQ(log(LeasesRenewed{kA, {{kList, 1, 8}}, kLease}).rejection, RejectionReason::notHolder)
      << "its lease has ended";
  EXPECT_EQ(log(LeaseGranted{kList, kB, kLease}).held.at(0).epoch, 2u);
  EXPECT_EQ(log.recordOf("a", "list").consecutiveFailures, 1u);
  EXPECT_EQ(log(LeaseReleased{kList, 1, kA}).rejection, RejectionReason::notHolder)
      << "an old owner gives back nothing";
  EXPECT_EQ(log(LeaseReleased{kList, 2, kB}).rejection, RejectionReason::none);
  EXPECT_EQ(log.find(kList)->reason, LeaseChangeReason::released);
  EXPECT_EQ(log(LeaseGranted{kList, kA, kLease}).held.at(0).epoch, 3u) << "at once";
  log(MemberLeft{kA});
  EXPECT_EQ(log.find(kList)->reason, LeaseChangeReason::left);
  EXPECT_EQ(log.find(kList)->epoch, 3u) << "what receivers compare with outlives its owner";
}

TEST(Registry, AProcessOfTheSameNameOwnsNothingOfTheLastOne) {
  Log log;
  log(MemberJoined{kA, ""});
  log(LeaseGranted{kList, kA, kLease});
  log(MemberJoined{{"a", 9}, ""});
  EXPECT_EQ(log(LeasesRenewed{kA, {{kList, 1, 0}}, kLease}).rejection, RejectionReason::supplanted);
  EXPECT_EQ(log(LeasesRenewed{{"a", 9}, {{kList, 1, 0}}, kLease}).rejection, RejectionReason::notHolder);
  EXPECT_EQ(log(LeaseGranted{kList, {"a", 9}, kLease}).rejection, RejectionReason::heldByAnother)
      << "the last one may still live";
}

TEST(Registry, BoundsAndNonsenseAreTurnedDown) {
  Log log;
  log(MemberJoined{kA, ""});
  for (const Change& bad : std::initializer_list<Change>{
           MemberJoined{{"", 1}, ""}, MemberJoined{{"x", 0}, ""},
           MemberJoined{{std::string(kNameMost + 1, 'x'), 1}, ""}, LeaseGranted{{"", 0}, kA, kLease},
           LeaseGranted{kList, kA, Duration(0)}, LeaseGranted{kList, kA, kLeaseMost + Duration(1)},
           LeasesRenewed{kA, {}, Duration(-1)}})
    EXPECT_EQ(log(bad).rejection, RejectionReason::invalid);
  EXPECT_EQ(log(LeaseGranted{kList, kB, kLease}).rejection, RejectionReason::supplanted) << "never joined";
  for (std::uint32_t i = 0; i < kKeysMost; ++i) log(LeaseGranted{{"d", i}, kA, kLease});
  EXPECT_EQ(log(LeaseGranted{kList, kA, kLease}).rejection, RejectionReason::full);
  for (std::size_t i = 0; i < kMembersMost + 10; ++i)
    EXPECT_EQ(log(MemberJoined{{"m" + std::to_string(i), 1}, ""}).rejection, RejectionReason::none);
  EXPECT_EQ(log.incarnationOf("a"), 1u) << "who owns something is not forgotten";
}

// Random commands: the promises hold at each step, and any keeper comes to the same state, by the log or by a
// snapshot and the rest of the log.
TEST(Registry, HoldsItsPromisesUnderRandomCommandsAndSnapshots) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    const auto draw = [&](std::uint64_t n) { return random() % n; };
    LeaseTable log, replica;
    LogTime now{};
    std::map<LeaseKey, std::pair<Epoch, Member>> last;
    std::map<LeaseKey, LogTime> until;
    for (int i = 0; i < 2000; ++i) {
      now += Duration(draw(400));
      const Member who{"m" + std::to_string(draw(4)), 1 + draw(2)};
      const LeaseKey key{"d", static_cast<std::uint32_t>(draw(3))};
      const Epoch epoch = last.count(key) ? last[key].first - draw(2) : draw(3);
      const Change changes[] = {MemberJoined{who, "z"},
                                LeaseGranted{key, who, kLease},
                                LeasesRenewed{who, {{key, epoch, draw(9)}}, kLease},
                                LeaseGranted{key, who, kLease},
                                LeaseReleased{key, epoch, who, draw(2) == 0},
                                MemberLeft{who}};
      const LogEntry command{now - Duration(draw(3) * 50), changes[draw(draw(8) ? 5 : 6)]};
      const std::string bytes = encode(command);
      const ApplyResult outcome = log.apply(decode(bytes));
      if (draw(50) == 0) replica.restore(std::string(replica.snapshot()));
      replica.apply(decode(bytes));
      ASSERT_EQ(log, replica);
      for (const auto& [k, h] : log.holdings()) {
        auto& [e, owner] = last[k];
        ASSERT_GE(h.epoch, e);
        if (h.epoch > e) ASSERT_TRUE(owner.name.empty() || log.now() >= until[k]) << "seed " << seed;
        else if (!h.holder.name.empty()) ASSERT_EQ(h.holder, owner);
        e = h.epoch;
        owner = h.holder;
        until[k] = h.expiresAt;
      }
      ASSERT_TRUE(outcome.held.size() <= 1);
    }
  }
}

TEST(Codec, WhatItDidNotWriteIsTurnedDownWhole) {
  Log log;
  log(MemberJoined{kA, "z"});
  log(LeaseGranted{kList, kA, kLease});
  const std::string texts[] = {log.snapshot(),
                               encode({logTime(5), LeasesRenewed{kA, {{kList, 1, 2}}, kLease}})};
  std::mt19937_64 random(1);
  for (int i = 0; i < 20'000; ++i) {
    std::string text = texts[i % 2];
    for (std::uint64_t n = 1 + random() % 3; n > 0; --n)
      text[random() % text.size()] = static_cast<char>(random());
    if (random() % 2) text.resize(random() % text.size());
    LeaseTable was = log, read = log;
    try {
      read.restore(text);
    } catch (const std::invalid_argument&) {
      EXPECT_EQ(read, was);
    }
    try {
      decode(text);
    } catch (const std::invalid_argument&) {
    }
  }
}

TEST(Picker, SpreadsDutiesEvenlyAndPassesOverWhoFails) {
  Log log;
  std::vector<Candidate> candidates;
  for (int i = 0; i < 5; ++i) {
    candidates.push_back({{"m" + std::to_string(i), 1}});
    log(MemberJoined{candidates.back().member, ""});
  }
  const std::vector<TaskSpec> specs{{"probe", 20, kLease, "", ""}};
  for (const LeaseGranted& grant : assignLeases(log, specs, candidates, log.at)) log(grant);
  for (const Candidate& c : candidates) EXPECT_EQ(log.held(c.member, log.at), 4u);
  EXPECT_TRUE(assignLeases(log, specs, candidates, log.at).empty()) << "all have an owner";
  // m0 takes what it is given and dies, ten times; each time it is passed over for longer.
  const std::vector<TaskSpec> one{{"list", 1, kLease, "", ""}};
  int fell = 0;
  for (int i = 0; i < 100; ++i) {
    for (const LeaseGranted& grant : assignLeases(log, one, candidates, log.at)) {
      log(grant);
      fell += grant.member.name == "m0";
      if (grant.member.name != "m0") log(LeaseReleased{grant.key, log.find(grant.key)->epoch, grant.member});
    }
    log.at += kLease;
  }
  EXPECT_GE(fell, 2);
  EXPECT_LE(fell, 8) << "of 300 s, with twice as long a rest after each";
  // It is taken where nobody else is left.
  EXPECT_EQ(assignLeases(log, one, {candidates[0]}, log.at).size(), 1u);
}

TEST(Picker, TheStandbyInheritsAndIsNotTheOwner) {
  Log log;
  std::vector<Candidate> candidates;
  for (int i = 0; i < 4; ++i) {
    candidates.push_back({{"m" + std::to_string(i), 1}});
    log(MemberJoined{candidates.back().member, ""});
  }
  const std::vector<TaskSpec> specs{{"list", 1, kLease, "list-standby", ""},
                                    {"list-standby", 1, kLease, "", "list"}};
  const LeaseKey standby{"list-standby", 0};
  for (int round = 0; round < 20; ++round) {
    for (const LeaseGranted& grant : assignLeases(log, specs, candidates, log.at)) log(grant);
    const Member owner = log.find(kList)->holder, heir = log.find(standby)->holder;
    EXPECT_NE(owner, heir);
    log(LeaseReleased{kList, log.find(kList)->epoch, owner});
    for (const LeaseGranted& grant : assignLeases(log, specs, candidates, log.at)) log(grant);
    EXPECT_EQ(log.find(kList)->holder, heir);
    log(LeaseReleased{standby, log.find(standby)->epoch, heir});
  }
}

TEST(Tenure, CountsFromBeforeItAskedAndNeverLongerThanTheLog) {
  HeldLease tenure;
  EXPECT_FALSE(tenure.isValid(bootTime(0)));
  tenure.granted(4, 0, bootTime(1000), kLease);
  EXPECT_TRUE(tenure.isValid(bootTime(1000) + kLease - kLease / kDriftPart - Duration(1)));
  EXPECT_FALSE(tenure.isValid(bootTime(1000) + kLease - kLease / kDriftPart));
  tenure.granted(4, 0, bootTime(500), kLease);
  EXPECT_EQ(tenure.until(), bootTime(1000) + kLease - kLease / kDriftPart)
      << "an answer to an older question";
  tenure.granted(3, 0, bootTime(9000), kLease);
  EXPECT_FALSE(tenure.isValid(bootTime(9000))) << "of an epoch that is over";
  EXPECT_EQ(tenure.nextToken(kList, kA, bootTime(2000))->sequence, 1u);
  EXPECT_EQ(tenure.nextToken(kList, kA, bootTime(2000))->sequence, 2u);
  tenure.end();
  EXPECT_FALSE(tenure.nextToken(kList, kA, bootTime(2000)));
  tenure.granted(4, 0, bootTime(2000), kLease);
  EXPECT_FALSE(tenure.held()) << "what was given back comes back only with another epoch";
  tenure.granted(5, 0, bootTime(2000), kLease);
  EXPECT_EQ(tenure.nextToken(kList, kA, bootTime(2000))->sequence, 1u);
}

TEST(Fence, TakesWhatIsNewerOnlyAndNothingBeforeItWasTold) {
  FencingGate fence;
  const auto order = [](Epoch epoch, Sequence sequence, const Member& from) {
    return FencingToken{kList, epoch, sequence, from};
  };
  EXPECT_EQ(fence.admit(order(9, 9, kA)), FencingResult::notReady);
  fence.learn({{kList, {3, 5, {}}}});
  const std::tuple<Epoch, Sequence, Member, FencingResult> steps[] = {
      {2, 99, kA, FencingResult::staleEpoch},       {3, 5, kA, FencingResult::staleSequence},
      {3, 6, kA, FencingResult::accepted},          {3, 6, kA, FencingResult::staleSequence},
      {3, 7, kB, FencingResult::conflictingHolder}, {5, 1, kB, FencingResult::accepted},
      {4, 9, kA, FencingResult::staleEpoch},        {5, 3, kB, FencingResult::accepted},
      {5, 2, kB, FencingResult::staleSequence}};
  for (const auto& [epoch, sequence, from, verdict] : steps)
    EXPECT_EQ(fence.admit(order(epoch, sequence, from)), verdict) << epoch << " " << sequence;
  EXPECT_EQ(fence.rejectedCount(), 7u);
  fence.learn({{kList, {4, 0, {}}}});
  EXPECT_EQ(fence.marks().at(kList).epoch, 5u) << "marks only grow";
  for (std::uint32_t i = 0; i < 2 * FencingGate::kKeysMost; ++i) fence.admit({{"d", i}, 1, 1, kA});
  EXPECT_EQ(fence.marks().size(), FencingGate::kKeysMost);
}

}  // namespace
}  // namespace cairnjunction::lease

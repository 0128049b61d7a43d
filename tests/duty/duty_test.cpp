// The state machine, the choice, the owner's lease and the receiver's gate, each against its promises.
#include <gtest/gtest.h>

#include <random>
#include <set>

#include "duty/fence.hpp"
#include "duty/picker.hpp"
#include "duty/registry.hpp"
#include "duty/tenure.hpp"

namespace cairnjunction::duty {
namespace {

const Key kList{"list", 0};
const Member kA{"a", 1}, kB{"b", 2};
constexpr Time kLease{3000};

struct Log : Registry {
  Time at{1000};
  Outcome operator()(Change change) { return apply({at, std::move(change)}); }
};

TEST(Registry, OneOwnerUntilItsLeaseEndsAndEachChangeOfHandsHasAnEpochAndAReason) {
  Log log;
  log(Joined{kA, ""});
  log(Joined{kB, ""});
  EXPECT_EQ(log(Granted{kList, kA, kLease}).held.at(0).epoch, 1u);
  EXPECT_EQ(log(Granted{kList, kB, kLease}).refusal, Refusal::held);
  log.at += kLease - Time(1);
  EXPECT_EQ(log(Renewed{kA, {{kList, 1, 7}}, kLease}).held.size(), 1u);
  log.at += kLease - Time(1);
  EXPECT_EQ(log(Granted{kList, kB, kLease}).refusal, Refusal::held);
  log.at += Time(1);
  EXPECT_EQ(log(Renewed{kA, {{kList, 1, 8}}, kLease}).refusal, Refusal::notOwner) << "its lease has ended";
  EXPECT_EQ(log(Granted{kList, kB, kLease}).held.at(0).epoch, 2u);
  EXPECT_EQ(log.recordOf("a", "list").failures, 1u);
  EXPECT_EQ(log(Released{kList, 1, kA}).refusal, Refusal::notOwner) << "an old owner gives back nothing";
  EXPECT_EQ(log(Released{kList, 2, kB}).refusal, Refusal::none);
  EXPECT_EQ(log.find(kList)->why, Why::released);
  EXPECT_EQ(log(Granted{kList, kA, kLease}).held.at(0).epoch, 3u) << "at once";
  log(Left{kA});
  EXPECT_EQ(log.find(kList)->why, Why::left);
  EXPECT_EQ(log.find(kList)->epoch, 3u) << "what receivers compare with outlives its owner";
}

TEST(Registry, AProcessOfTheSameNameOwnsNothingOfTheLastOne) {
  Log log;
  log(Joined{kA, ""});
  log(Granted{kList, kA, kLease});
  log(Joined{{"a", 9}, ""});
  EXPECT_EQ(log(Renewed{kA, {{kList, 1, 0}}, kLease}).refusal, Refusal::supplanted);
  EXPECT_EQ(log(Renewed{{"a", 9}, {{kList, 1, 0}}, kLease}).refusal, Refusal::notOwner);
  EXPECT_EQ(log(Granted{kList, {"a", 9}, kLease}).refusal, Refusal::held) << "the last one may still live";
}

TEST(Registry, BoundsAndNonsenseAreTurnedDown) {
  Log log;
  log(Joined{kA, ""});
  for (const Change& bad : std::initializer_list<Change>{
           Joined{{"", 1}, ""}, Joined{{"x", 0}, ""}, Joined{{std::string(kNameMost + 1, 'x'), 1}, ""},
           Granted{{"", 0}, kA, kLease}, Granted{kList, kA, Time(0)},
           Granted{kList, kA, kLeaseMost + Time(1)}, Renewed{kA, {}, Time(-1)}})
    EXPECT_EQ(log(bad).refusal, Refusal::nonsense);
  EXPECT_EQ(log(Granted{kList, kB, kLease}).refusal, Refusal::supplanted) << "never joined";
  for (std::uint32_t i = 0; i < kKeysMost; ++i) log(Granted{{"d", i}, kA, kLease});
  EXPECT_EQ(log(Granted{kList, kA, kLease}).refusal, Refusal::full);
  for (std::size_t i = 0; i < kMembersMost + 10; ++i)
    EXPECT_EQ(log(Joined{{"m" + std::to_string(i), 1}, ""}).refusal, Refusal::none);
  EXPECT_EQ(log.incarnationOf("a"), 1u) << "who owns something is not forgotten";
}

// Random commands: the promises hold at each step, and any keeper comes to the same state, by the log or by a
// snapshot and the rest of the log.
TEST(Registry, HoldsItsPromisesUnderRandomCommandsAndSnapshots) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    const auto draw = [&](std::uint64_t n) { return random() % n; };
    Registry log, replica;
    Time now{0};
    std::map<Key, std::pair<Epoch, Member>> last;
    std::map<Key, Time> until;
    for (int i = 0; i < 2000; ++i) {
      now += Time(draw(400));
      const Member who{"m" + std::to_string(draw(4)), 1 + draw(2)};
      const Key key{"d", static_cast<std::uint32_t>(draw(3))};
      const Epoch epoch = last.count(key) ? last[key].first - draw(2) : draw(3);
      const Change changes[] = {Joined{who, "z"},
                                Granted{key, who, kLease},
                                Renewed{who, {{key, epoch, draw(9)}}, kLease},
                                Granted{key, who, kLease},
                                Released{key, epoch, who, draw(2) == 0},
                                Left{who}};
      const Command command{now - Time(draw(3) * 50), changes[draw(draw(8) ? 5 : 6)]};
      const std::string bytes = encode(command);
      const Outcome outcome = log.apply(decode(bytes));
      if (draw(50) == 0) replica.restore(std::string(replica.snapshot()));
      replica.apply(decode(bytes));
      ASSERT_EQ(log, replica);
      for (const auto& [k, h] : log.holdings()) {
        auto& [e, owner] = last[k];
        ASSERT_GE(h.epoch, e);
        if (h.epoch > e) ASSERT_TRUE(owner.name.empty() || log.now() >= until[k]) << "seed " << seed;
        else if (!h.owner.name.empty()) ASSERT_EQ(h.owner, owner);
        e = h.epoch;
        owner = h.owner;
        until[k] = h.until;
      }
      ASSERT_TRUE(outcome.held.size() <= 1);
    }
  }
}

TEST(Codec, WhatItDidNotWriteIsTurnedDownWhole) {
  Log log;
  log(Joined{kA, "z"});
  log(Granted{kList, kA, kLease});
  const std::string texts[] = {log.snapshot(), encode({Time(5), Renewed{kA, {{kList, 1, 2}}, kLease}})};
  std::mt19937_64 random(1);
  for (int i = 0; i < 20'000; ++i) {
    std::string text = texts[i % 2];
    for (std::uint64_t n = 1 + random() % 3; n > 0; --n)
      text[random() % text.size()] = static_cast<char>(random());
    if (random() % 2) text.resize(random() % text.size());
    Registry was = log, read = log;
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
    log(Joined{candidates.back().member, ""});
  }
  const std::vector<Spec> specs{{"probe", 20, kLease, "", ""}};
  for (const Granted& grant : pick(log, specs, candidates, log.at)) log(grant);
  for (const Candidate& c : candidates) EXPECT_EQ(log.held(c.member, log.at), 4u);
  EXPECT_TRUE(pick(log, specs, candidates, log.at).empty()) << "all have an owner";
  // m0 takes what it is given and dies, ten times; each time it is passed over for longer.
  const std::vector<Spec> one{{"list", 1, kLease, "", ""}};
  int fell = 0;
  for (int i = 0; i < 100; ++i) {
    for (const Granted& grant : pick(log, one, candidates, log.at)) {
      log(grant);
      fell += grant.member.name == "m0";
      if (grant.member.name != "m0") log(Released{grant.key, log.find(grant.key)->epoch, grant.member});
    }
    log.at += kLease;
  }
  EXPECT_GE(fell, 2);
  EXPECT_LE(fell, 8) << "of 300 s, with twice as long a rest after each";
  // It is taken where nobody else is left.
  EXPECT_EQ(pick(log, one, {candidates[0]}, log.at).size(), 1u);
}

TEST(Picker, TheStandbyInheritsAndIsNotTheOwner) {
  Log log;
  std::vector<Candidate> candidates;
  for (int i = 0; i < 4; ++i) {
    candidates.push_back({{"m" + std::to_string(i), 1}});
    log(Joined{candidates.back().member, ""});
  }
  const std::vector<Spec> specs{{"list", 1, kLease, "list-standby", ""},
                                {"list-standby", 1, kLease, "", "list"}};
  const Key standby{"list-standby", 0};
  for (int round = 0; round < 20; ++round) {
    for (const Granted& grant : pick(log, specs, candidates, log.at)) log(grant);
    const Member owner = log.find(kList)->owner, heir = log.find(standby)->owner;
    EXPECT_NE(owner, heir);
    log(Released{kList, log.find(kList)->epoch, owner});
    for (const Granted& grant : pick(log, specs, candidates, log.at)) log(grant);
    EXPECT_EQ(log.find(kList)->owner, heir);
    log(Released{standby, log.find(standby)->epoch, heir});
  }
}

TEST(Tenure, CountsFromBeforeItAskedAndNeverLongerThanTheLog) {
  Tenure tenure;
  EXPECT_FALSE(tenure.mayAct(Time(0)));
  tenure.granted(4, 0, Time(1000), kLease);
  EXPECT_TRUE(tenure.mayAct(Time(1000) + kLease - kLease / kDriftPart - Time(1)));
  EXPECT_FALSE(tenure.mayAct(Time(1000) + kLease - kLease / kDriftPart));
  tenure.granted(4, 0, Time(500), kLease);
  EXPECT_EQ(tenure.until(), Time(1000) + kLease - kLease / kDriftPart) << "an answer to an older question";
  tenure.granted(3, 0, Time(9000), kLease);
  EXPECT_FALSE(tenure.mayAct(Time(9000))) << "of an epoch that is over";
  EXPECT_EQ(tenure.order(kList, kA, Time(2000))->sequence, 1u);
  EXPECT_EQ(tenure.order(kList, kA, Time(2000))->sequence, 2u);
  tenure.end();
  EXPECT_FALSE(tenure.order(kList, kA, Time(2000)));
  tenure.granted(4, 0, Time(2000), kLease);
  EXPECT_FALSE(tenure.held()) << "what was given back comes back only with another epoch";
  tenure.granted(5, 0, Time(2000), kLease);
  EXPECT_EQ(tenure.order(kList, kA, Time(2000))->sequence, 1u);
}

TEST(Fence, TakesWhatIsNewerOnlyAndNothingBeforeItWasTold) {
  Fence fence;
  const auto order = [](Epoch epoch, Sequence sequence, const Member& from) {
    return OrderId{kList, epoch, sequence, from};
  };
  EXPECT_EQ(fence.admit(order(9, 9, kA)), Verdict::unready);
  fence.learn({{kList, {3, 5, {}}}});
  const std::tuple<Epoch, Sequence, Member, Verdict> steps[] = {
      {2, 99, kA, Verdict::olderEpoch},  {3, 5, kA, Verdict::olderSequence},
      {3, 6, kA, Verdict::taken},        {3, 6, kA, Verdict::olderSequence},
      {3, 7, kB, Verdict::otherSender},  {5, 1, kB, Verdict::taken},
      {4, 9, kA, Verdict::olderEpoch},   {5, 3, kB, Verdict::taken},
      {5, 2, kB, Verdict::olderSequence}};
  for (const auto& [epoch, sequence, from, verdict] : steps)
    EXPECT_EQ(fence.admit(order(epoch, sequence, from)), verdict) << epoch << " " << sequence;
  EXPECT_EQ(fence.refused(), 7u);
  fence.learn({{kList, {4, 0, {}}}});
  EXPECT_EQ(fence.marks().at(kList).epoch, 5u) << "marks only grow";
  for (std::uint32_t i = 0; i < 2 * Fence::kKeysMost; ++i) fence.admit({{"d", i}, 1, 1, kA});
  EXPECT_EQ(fence.marks().size(), Fence::kKeysMost);
}

}  // namespace
}  // namespace cairnjunction::duty

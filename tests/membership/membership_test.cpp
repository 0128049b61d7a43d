// What is believed of hosts, under a simulated clock: each failure told as the pool and the list would tell
// it.
#include "membership/membership.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace cairnjunction {
namespace {

using namespace std::chrono_literals;
using ochrehill::AttemptResult;
using ochrehill::Carrier;
using ochrehill::Fault;
using ochrehill::HostId;
using ochrehill::ListKind;
using ochrehill::Outcome;
using ochrehill::Phase;
using ochrehill::Reach;
using ochrehill::Time;

class MembershipTest : public ::testing::Test {
 protected:
  Time now = 24h;
  Membership::Settings settings;
  std::unique_ptr<Membership> beliefs;
  std::map<HostId, Reach> reach;  // as the module has been told
  std::map<HostId, Time> startedAfter;
  std::map<HostId, int> probes;  // offered
  ochrehill::RequestId last = 0;

  void SetUp() override {
    settings.coldTime = 9s;
    beliefs = std::make_unique<Membership>(settings);
  }
  void list(HostId hosts, ListKind kind = ListKind::replace, Time upSince = {}) {
    std::vector<Membership::Named> named;
    for (HostId h = 0; h < hosts; ++h) named.push_back({h, Phase::in, upSince});
    beliefs->onList(now, kind, named);
    take();
  }
  void tell(HostId host, Phase phase, Time upSince = {}) {
    beliefs->onList(now, ListKind::update, {{host, phase, upSince}});
    take();
  }
  void take() {
    for (const Membership::Change& c : beliefs->takeChanges()) {
      reach[c.host] = c.reach;
      startedAfter[c.host] = c.startedAfter;
      probes[c.host] += c.reach == Reach::probe;
    }
  }
  // One attempt, sent and ended.
  void attempt(HostId host, Outcome outcome, Fault fault = Fault::unknown, Carrier carrier = Carrier::fresh,
               ochrehill::Duration taken = 1ms) {
    ++last;
    beliefs->onSent(host, last, 0);
    now += taken;
    beliefs->onAttempt(now, {last, 0, host, outcome, taken, false, fault, carrier, false});
    take();
  }
  void refused(HostId host) { attempt(host, Outcome::connectFailed, Fault::refused, Carrier::none); }
  void silent(HostId host) { attempt(host, Outcome::connectFailed, Fault::dialSilent, Carrier::none, 200ms); }
  // Wakes every 10 ms; `each` may use what is offered.
  template <class Each>
  void pass(ochrehill::Duration time, Each each) {
    for (const Time end = now + time; now < end;) {
      now += 10ms;
      beliefs->onTime(now);
      take();
      each();
    }
  }
  void pass(ochrehill::Duration time) {
    pass(time, [] {});
  }
  Standing standing(HostId host) const { return beliefs->of(host, now).state; }
  Reason reason(HostId host) const { return beliefs->of(host, now).reason; }
};

// --- Out and back -----------------------------------------------------------------------------------------

TEST_F(MembershipTest, AHostThatRefusesIsOutAtOnceAndComesBackByAnAnswerUnderTheColdRule) {
  list(3);
  const Time before = now;
  refused(1);
  EXPECT_EQ(reach[1], Reach::closed);
  EXPECT_EQ(standing(1), Standing::unreachable);
  EXPECT_EQ(reason(1), Reason::refused);
  EXPECT_EQ(beliefs->unreachable(), 1u);
  EXPECT_EQ(beliefs->listed(), 3u);
  pass(90ms);
  EXPECT_EQ(reach[1], Reach::closed);
  pass(20ms);
  EXPECT_EQ(reach[1], Reach::probe);
  attempt(1, Outcome::served);
  EXPECT_EQ(reach[1], Reach::open);
  // What takes connections where one was refused is a new process.
  EXPECT_GT(startedAfter[1], before);
  EXPECT_EQ(standing(1), Standing::cold);
  pass(9s);
  EXPECT_EQ(standing(1), Standing::serving);
}

TEST_F(MembershipTest, ProbesOfOneHostComeOneAtATimeAndEverLater) {
  list(2);
  refused(0);
  std::vector<Time> sent;
  pass(10s, [&] {
    if (reach[0] != Reach::probe) return;
    sent.push_back(now);
    refused(0);
    reach[0] = Reach::closed;  // as the module does when it sends
  });
  ASSERT_GE(sent.size(), 5u);
  EXPECT_LE(sent.size(), 16u);
  for (std::size_t i = 2; i < sent.size(); ++i)
    EXPECT_GE(sent[i] - sent[i - 1] + 20ms, sent[i - 1] - sent[i - 2]) << i;
  EXPECT_GE(sent.back() - sent[sent.size() - 2], settings.probeMost);
}

TEST_F(MembershipTest, AProbeThatIsOutIsTheOnlyOne) {
  list(2);
  refused(0);
  pass(200ms);
  ASSERT_EQ(reach[0], Reach::probe);
  ASSERT_EQ(probes[0], 1);
  beliefs->onSent(0, 77, 0);
  pass(5s);
  EXPECT_EQ(probes[0], 1);
  // An attempt from before that ends now is not the probe.
  attempt(0, Outcome::connectFailed, Fault::refused, Carrier::none);
  pass(2s);
  EXPECT_EQ(probes[0], 1);
  beliefs->onAttempt(now,
                     {77, 0, 0, Outcome::connectFailed, 1ms, false, Fault::refused, Carrier::none, false});
  pass(1s);
  EXPECT_EQ(probes[0], 2);
}

TEST_F(MembershipTest, ProbesOfAllHostsTogetherAreBoundedAndEachHasItsTurn) {
  list(100);
  for (HostId h = 0; h < 100; ++h) refused(h);
  EXPECT_EQ(beliefs->unreachable(), 100u);
  int offered = 0;
  std::set<HostId> asked;
  pass(10s, [&] {
    for (HostId h = 0; h < 100; ++h)
      if (reach[h] == Reach::probe) {
        ++offered;
        asked.insert(h);
        refused(h);
        reach[h] = Reach::closed;
      }
  });
  EXPECT_LE(offered, static_cast<int>(10 * settings.probesPerSecond) + 6);
  EXPECT_GE(offered, 150);
  EXPECT_EQ(asked.size(), 100u);
}

TEST_F(MembershipTest, AHostThatRefusesWhileOthersAreOpenIsOnlySuspectTillTheyEnd) {
  list(2);
  beliefs->onConnections(now, 0, 3);
  refused(0);
  EXPECT_EQ(standing(0), Standing::suspect);
  EXPECT_EQ(reason(0), Reason::crowded);
  EXPECT_EQ(reach.count(0), 0u);
  beliefs->onConnections(now, 0, 1);
  take();
  EXPECT_EQ(reach.count(0), 0u);
  beliefs->onConnections(now, 0, 0);  // it was the end of its process after all
  take();
  EXPECT_EQ(reach[0], Reach::closed);
  EXPECT_EQ(standing(0), Standing::unreachable);
}

TEST_F(MembershipTest, AMachineThatVanishedIsOutAfterTwoSilentDialsAndBackWithoutTheColdRule) {
  list(2);
  attempt(0, Outcome::served);
  now += 1s;
  silent(0);
  EXPECT_EQ(standing(0), Standing::suspect);
  EXPECT_EQ(reason(0), Reason::dialSilent);
  silent(0);
  EXPECT_EQ(standing(0), Standing::unreachable);
  EXPECT_EQ(reach[0], Reach::closed);
  pass(400ms);
  EXPECT_EQ(reach[0], Reach::closed) << "a probe costs the time for connecting, so it comes later";
  pass(200ms);
  ASSERT_EQ(reach[0], Reach::probe);
  attempt(0, Outcome::served);  // it was cut off, and has the process that it had
  EXPECT_EQ(reach[0], Reach::open);
  EXPECT_EQ(startedAfter[0], Time{});
  EXPECT_EQ(standing(0), Standing::serving);
}

TEST_F(MembershipTest, AHostThatAnswersMeanwhileIsTooBusyForANewConnectionAndNotGone) {
  list(2);
  for (int i = 0; i < 5; ++i) {
    ++last;
    beliefs->onSent(0, last, 0);
    const auto dial = last;
    now += 100ms;
    attempt(0, Outcome::served, Fault::unknown, Carrier::reused);
    now += 100ms;
    beliefs->onAttempt(
        now, {dial, 0, 0, Outcome::connectFailed, 201ms, false, Fault::dialSilent, Carrier::none, false});
    take();
  }
  EXPECT_EQ(reach.count(0), 0u);
  EXPECT_EQ(standing(0), Standing::serving);
}

// --- What says nothing of a host --------------------------------------------------------------------------

TEST_F(MembershipTest, OurOwnLackSaysNothingOfAnyHost) {
  list(4);
  for (int round = 0; round < 20; ++round)
    for (const Fault fault : {Fault::noDescriptor, Fault::outOfTime, Fault::withdrawn, Fault::lostInWrite})
      attempt(static_cast<HostId>(round % 4), Outcome::connectFailed, fault, Carrier::none);
  for (HostId h = 0; h < 4; ++h) EXPECT_EQ(standing(h), Standing::serving) << h;
  EXPECT_TRUE(reach.empty());
  EXPECT_FALSE(beliefs->takeDoubt(now));
}

TEST_F(MembershipTest, AProbeThatNeverLeftUsIsOfferedAgainWithoutALongerWait) {
  list(2);
  refused(0);
  for (int i = 1; i <= 6; ++i) {
    pass(200ms);
    ASSERT_EQ(reach[0], Reach::probe) << i;
    ASSERT_EQ(probes[0], i);
    attempt(0, Outcome::connectFailed, Fault::noDescriptor, Carrier::none);
    reach[0] = Reach::closed;
  }
}

TEST_F(MembershipTest, SpoiltAnswersComeFromAHostThatIsThere) {
  list(2);
  for (int i = 0; i < 50; ++i) attempt(0, Outcome::error, Fault::spoilt);
  attempt(0, Outcome::reset, Fault::spoilt);
  EXPECT_EQ(standing(0), Standing::serving);
  refused(1);
  pass(110ms);
  attempt(1, Outcome::error, Fault::spoilt);
  EXPECT_EQ(reach[1], Reach::open);
}

TEST_F(MembershipTest, ABrokenConnectionAndAnOverdueAnswerMakeSuspectTillItIsHeard) {
  list(2);
  attempt(0, Outcome::reset);
  EXPECT_EQ(reason(0), Reason::lost);
  attempt(0, Outcome::error);
  EXPECT_EQ(standing(0), Standing::serving);
  attempt(0, Outcome::timeout, Fault::unknown, Carrier::reused, 300ms);
  EXPECT_EQ(reason(0), Reason::waiting);
  EXPECT_EQ(reach.count(0), 0u) << "suspects are still sent to";
  attempt(0, Outcome::served);
  EXPECT_EQ(standing(0), Standing::serving);
}

// --- The list ---------------------------------------------------------------------------------------------

TEST_F(MembershipTest, WhatTheListHasDrainedOrDroppedNothingElseBringsBack) {
  list(3);
  refused(0);
  tell(0, Phase::draining);
  tell(1, Phase::out);
  EXPECT_EQ(standing(0), Standing::draining);
  EXPECT_EQ(standing(1), Standing::gone);
  probes.clear();
  pass(10s);
  EXPECT_EQ(probes[0], 0);
  EXPECT_EQ(probes[1], 0);
  attempt(0, Outcome::served);  // of an attempt from before
  attempt(1, Outcome::served);
  EXPECT_EQ(standing(0), Standing::draining);
  EXPECT_EQ(standing(1), Standing::gone);
}

TEST_F(MembershipTest, AllOfTheFleetReplacedWithinOneListPeriod) {
  list(10);
  for (HostId h = 0; h < 10; ++h) refused(h);
  EXPECT_EQ(beliefs->unreachable(), 10u);
  std::vector<Membership::Named> fresh;
  for (HostId h = 10; h < 20; ++h) fresh.push_back({h, Phase::in, now - 1s});
  beliefs->onList(now, ListKind::replace, fresh);
  take();
  EXPECT_EQ(beliefs->listed(), 10u);
  EXPECT_EQ(beliefs->unreachable(), 0u);
  for (HostId h = 0; h < 10; ++h) EXPECT_EQ(standing(h), Standing::gone);
  for (HostId h = 10; h < 20; ++h) {
    EXPECT_EQ(standing(h), Standing::cold);
    EXPECT_EQ(reach.count(h), 0u);
  }
  pass(2s);
  EXPECT_FALSE(beliefs->takeDoubt(now));
}

TEST_F(MembershipTest, AListThatComesBackInThePastBringsNobodyBack) {
  const Time start = now - 1h;
  list(4, ListKind::replace, start);
  tell(0, Phase::in, now - 5s);  // it has started anew
  refused(0);
  refused(1);
  list(4, ListKind::replace, start);  // as it was five seconds ago
  EXPECT_EQ(standing(0), Standing::unreachable);
  EXPECT_EQ(standing(1), Standing::unreachable);
  EXPECT_EQ(reach[0], Reach::closed);
  // A host that the old list revives is out again at its first refusal.
  tell(2, Phase::out);
  list(4, ListKind::replace, start);
  EXPECT_EQ(standing(2), Standing::serving);
  refused(2);
  EXPECT_EQ(standing(2), Standing::unreachable);
}

TEST_F(MembershipTest, ALaterStartOrAnotherAddressEndsWhatWasBelieved) {
  list(2, ListKind::replace, now - 1h);
  refused(0);
  refused(1);
  tell(0, Phase::in, now);
  EXPECT_EQ(reach[0], Reach::open);
  EXPECT_EQ(standing(0), Standing::cold);
  beliefs->onMoved(now, 1);
  take();
  EXPECT_EQ(reach[1], Reach::open);
  EXPECT_EQ(standing(1), Standing::serving);
}

TEST_F(MembershipTest, AHostThatComesBackUnderANewIdStartsFromNothing) {
  list(2);
  refused(1);
  tell(1, Phase::out);
  beliefs->forget(1);
  EXPECT_EQ(standing(1), Standing::gone);
  tell(1, Phase::in, now);  // the number is given out anew
  EXPECT_EQ(standing(1), Standing::cold);
  probes.clear();
  pass(2s);
  EXPECT_EQ(probes[1], 0);
}

TEST_F(MembershipTest, TheListsAgeCountsFromDiscoverysLastWord) {
  list(2, ListKind::restored);
  now += 5s;
  list(0, ListKind::update);
  now += 3s;
  beliefs->onList(now, ListKind::unavailable, {});
  EXPECT_EQ(beliefs->listAge(now), 3s);
}

// --- Doubt ------------------------------------------------------------------------------------------------

TEST_F(MembershipTest, AListThatNamesUnreachableHostsIsDoubtedAtOnceAndThenEverLater) {
  list(10);
  EXPECT_FALSE(beliefs->takeDoubt(now));
  refused(0);
  EXPECT_FALSE(beliefs->takeDoubt(now));
  std::vector<Time> asked;
  pass(60s, [&] {
    if (beliefs->takeDoubt(now)) asked.push_back(now);
    if (reach[0] != Reach::probe) return;
    refused(0);
    reach[0] = Reach::closed;
  });
  ASSERT_GE(asked.size(), 3u);
  EXPECT_LE(asked.size(), 8u);
  EXPECT_GE(asked[1] - asked[0], settings.doubtFirst * 3 / 4);
  EXPECT_GE(asked[2] - asked[1], asked[1] - asked[0]);
}

TEST_F(MembershipTest, AHostThatTurnsAllAwayMakesDoubtButAFleetThatDoesHasTooMuchWork) {
  list(4);
  const auto turnAway = [&](HostId h) { attempt(h, Outcome::full, Fault::unknown, Carrier::reused); };
  for (int i = 0; i < 10; ++i) turnAway(0), now += 60ms;
  EXPECT_EQ(standing(0), Standing::suspect);
  EXPECT_EQ(reason(0), Reason::turnedAway);
  EXPECT_TRUE(beliefs->takeDoubt(now));
  now += 10s;
  attempt(0, Outcome::served);
  EXPECT_EQ(standing(0), Standing::serving);
  EXPECT_FALSE(beliefs->takeDoubt(now));
  for (int i = 0; i < 10; ++i) {
    for (HostId h = 0; h < 4; ++h) turnAway(h);
    now += 60ms;
  }
  EXPECT_FALSE(beliefs->takeDoubt(now));
}

TEST_F(MembershipTest, AQuestionThatWasNotAnsweredIsAskedAgainSooner) {
  list(3);
  refused(0);
  std::vector<Time> asked;
  pass(8s, [&] {
    if (!beliefs->takeDoubt(now)) return;
    asked.push_back(now);
    beliefs->onDoubtFailed(now);
  });
  ASSERT_GE(asked.size(), 6u);
  EXPECT_LE(asked.size(), 9u);
}

TEST_F(MembershipTest, GatewaysThatSeeOneFailureDoNotAskInOneMoment) {
  std::vector<Time> asked;
  for (const double spread : {0.1, 0.5, 0.9}) {
    now = 24h;
    settings.spread = spread;
    beliefs = std::make_unique<Membership>(settings);
    list(3);
    refused(0);
    bool done = false;
    pass(3s, [&] {
      if (!done && beliefs->takeDoubt(now)) asked.push_back(now), done = true;
    });
  }
  ASSERT_EQ(asked.size(), 3u);
  EXPECT_LT(asked[0], asked[1]);
  EXPECT_LT(asked[1], asked[2]);
}

// --- Of a fleet -------------------------------------------------------------------------------------------

TEST_F(MembershipTest, AHostLeftToOthersIsNotTriedUntilTheirWordIsOldAndNeverForLong) {
  settings.spread = 1;
  beliefs = std::make_unique<Membership>(settings);
  list(2);
  attempt(0, Outcome::connectFailed, Fault::refused);
  const Time out = now;
  const auto wait = [&](ochrehill::Duration time) {
    for (const Time end = now + time; now < end; now += 50ms) beliefs->onTime(now);
    take();
  };
  // Whatever is said, also on and on: after the bound it is tried by this gateway itself.
  while (probes[0] == 0 && now < out + 60s) {
    beliefs->leaveToOthers(now, 0, now + 5s);
    wait(200ms);
  }
  EXPECT_GE(now - out, settings.othersMost);
  EXPECT_LE(now - out, settings.othersMost + 1s);
  attempt(0, Outcome::connectFailed, Fault::refused);
  beliefs->leaveToOthers(now, 0, now + 1s);
  wait(900ms);
  EXPECT_EQ(probes[0], 1);
  wait(2s);
  EXPECT_EQ(probes[0], 2) << "their word is old";
}

TEST_F(MembershipTest, AHostFoundByOthersOpensColdUnlessItWasSeenOutLater) {
  list(2);
  attempt(0, Outcome::connectFailed, Fault::refused);
  const Time refused = now;
  now += 3s;
  beliefs->foundByOthers(now, 0, 4s);
  take();
  EXPECT_EQ(reach[0], Reach::closed) << "found before it refused here";
  beliefs->foundByOthers(now, 0, 1s);
  take();
  EXPECT_EQ(reach[0], Reach::open);
  EXPECT_EQ(startedAfter[0], refused) << "a new process, by the cold rule";
  beliefs->foundByOthers(now, 1, 0s);
  beliefs->foundByOthers(now, 77, 0s);
  EXPECT_TRUE(beliefs->takeChanges().empty()) << "one that is not out, and one that is not known";
}

}  // namespace
}  // namespace cairnjunction

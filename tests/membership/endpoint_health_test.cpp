// What is believed of hosts, under a simulated clock: each failure told as the pool and the list would tell
// it.
#include "membership/endpoint_health.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>

namespace cairnjunction {
namespace {

using namespace std::chrono_literals;
using policy::AttemptResult;
using policy::ConnectionUse;
using policy::EndpointId;
using policy::EndpointListKind;
using policy::EndpointState;
using policy::FailureReason;
using policy::Outcome;
using policy::Reachability;
using policy::Timestamp;

class MembershipTest : public ::testing::Test {
 protected:
  Timestamp now{24h};
  EndpointHealth::Settings settings;
  std::unique_ptr<EndpointHealth> beliefs;
  std::map<EndpointId, Reachability> reach;  // as the module has been told
  std::map<EndpointId, Timestamp> startedAfter;
  std::map<EndpointId, int> probes;  // offered
  policy::RequestId last = 0;

  void SetUp() override {
    settings.slowStartDuration = 9s;
    beliefs = std::make_unique<EndpointHealth>(settings);
  }
  void list(EndpointId hosts, EndpointListKind kind = EndpointListKind::replace, Timestamp upSince = {}) {
    std::vector<EndpointHealth::ListedEndpoint> named;
    for (EndpointId h = 0; h < hosts; ++h) named.push_back({h, EndpointState::active, upSince});
    beliefs->onList(now, kind, named);
    take();
  }
  void tell(EndpointId host, EndpointState phase, Timestamp upSince = {}) {
    beliefs->onList(now, EndpointListKind::update, {{host, phase, upSince}});
    take();
  }
  void take() {
    for (const EndpointHealth::ReachabilityChange& c : beliefs->takeChanges()) {
      reach[c.endpoint] = c.reachability;
      startedAfter[c.endpoint] = c.startedAfter;
      probes[c.endpoint] += c.reachability == Reachability::probeOnly;
    }
  }
  // One attempt, sent and ended.
  void attempt(EndpointId host, Outcome outcome, FailureReason fault = FailureReason::unknown,
               ConnectionUse carrier = ConnectionUse::opened, policy::Duration taken = 1ms) {
    ++last;
    beliefs->onAttemptStarted(host, last, 0);
    now += taken;
    beliefs->onAttemptEnded(now, {last, 0, host, outcome, taken, false, fault, carrier, false});
    take();
  }
  void refused(EndpointId host) {
    attempt(host, Outcome::connectFailed, FailureReason::connectionRefused, ConnectionUse::none);
  }
  void silent(EndpointId host) {
    attempt(host, Outcome::connectFailed, FailureReason::connectTimeout, ConnectionUse::none, 200ms);
  }
  // Wakes every 10 ms; `each` may use what is offered.
  template <class Each>
  void pass(policy::Duration time, Each each) {
    for (const Timestamp end = now + time; now < end;) {
      now += 10ms;
      beliefs->onTick(now);
      take();
      each();
    }
  }
  void pass(policy::Duration time) {
    pass(time, [] {});
  }
  EndpointCondition standing(EndpointId host) const { return beliefs->statusOf(host, now).condition; }
  ConditionReason reason(EndpointId host) const { return beliefs->statusOf(host, now).reason; }
};

// --- Out and back -----------------------------------------------------------------------------------------

TEST_F(MembershipTest, AHostThatRefusesIsOutAtOnceAndComesBackByAnAnswerUnderTheColdRule) {
  list(3);
  const Timestamp before = now;
  refused(1);
  EXPECT_EQ(reach[1], Reachability::unreachable);
  EXPECT_EQ(standing(1), EndpointCondition::unreachable);
  EXPECT_EQ(reason(1), ConditionReason::connectionRefused);
  EXPECT_EQ(beliefs->unreachableCount(), 1u);
  EXPECT_EQ(beliefs->activeCount(), 3u);
  pass(90ms);
  EXPECT_EQ(reach[1], Reachability::unreachable);
  pass(20ms);
  EXPECT_EQ(reach[1], Reachability::probeOnly);
  attempt(1, Outcome::served);
  EXPECT_EQ(reach[1], Reachability::reachable);
  // What takes connections where one was refused is a new process.
  EXPECT_GT(startedAfter[1], before);
  EXPECT_EQ(standing(1), EndpointCondition::warmingUp);
  pass(9s);
  EXPECT_EQ(standing(1), EndpointCondition::serving);
}

TEST_F(MembershipTest, ProbesOfOneHostComeOneAtATimeAndEverLater) {
  list(2);
  refused(0);
  std::vector<Timestamp> sent;
  pass(10s, [&] {
    if (reach[0] != Reachability::probeOnly) return;
    sent.push_back(now);
    refused(0);
    reach[0] = Reachability::unreachable;  // as the module does when it sends
  });
  ASSERT_GE(sent.size(), 5u);
  EXPECT_LE(sent.size(), 16u);
  for (std::size_t i = 2; i < sent.size(); ++i)
    EXPECT_GE(sent[i] - sent[i - 1] + 20ms, sent[i - 1] - sent[i - 2]) << i;
  EXPECT_GE(sent.back() - sent[sent.size() - 2], settings.probeMaxBackoff);
}

TEST_F(MembershipTest, AProbeThatIsOutIsTheOnlyOne) {
  list(2);
  refused(0);
  pass(200ms);
  ASSERT_EQ(reach[0], Reachability::probeOnly);
  ASSERT_EQ(probes[0], 1);
  beliefs->onAttemptStarted(0, 77, 0);
  pass(5s);
  EXPECT_EQ(probes[0], 1);
  // An attempt from before that ends now is not the probe.
  attempt(0, Outcome::connectFailed, FailureReason::connectionRefused, ConnectionUse::none);
  pass(2s);
  EXPECT_EQ(probes[0], 1);
  beliefs->onAttemptEnded(now, {77, 0, 0, Outcome::connectFailed, 1ms, false,
                                FailureReason::connectionRefused, ConnectionUse::none, false});
  pass(1s);
  EXPECT_EQ(probes[0], 2);
}

TEST_F(MembershipTest, ProbesOfAllHostsTogetherAreBoundedAndEachHasItsTurn) {
  list(100);
  for (EndpointId h = 0; h < 100; ++h) refused(h);
  EXPECT_EQ(beliefs->unreachableCount(), 100u);
  int offered = 0;
  std::set<EndpointId> asked;
  pass(10s, [&] {
    for (EndpointId h = 0; h < 100; ++h)
      if (reach[h] == Reachability::probeOnly) {
        ++offered;
        asked.insert(h);
        refused(h);
        reach[h] = Reachability::unreachable;
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
  EXPECT_EQ(standing(0), EndpointCondition::suspect);
  EXPECT_EQ(reason(0), ConditionReason::connectionLimit);
  EXPECT_EQ(reach.count(0), 0u);
  beliefs->onConnections(now, 0, 1);
  take();
  EXPECT_EQ(reach.count(0), 0u);
  beliefs->onConnections(now, 0, 0);  // it was the end of its process after all
  take();
  EXPECT_EQ(reach[0], Reachability::unreachable);
  EXPECT_EQ(standing(0), EndpointCondition::unreachable);
}

TEST_F(MembershipTest, AMachineThatVanishedIsOutAfterTwoSilentDialsAndBackWithoutTheColdRule) {
  list(2);
  attempt(0, Outcome::served);
  now += 1s;
  silent(0);
  EXPECT_EQ(standing(0), EndpointCondition::suspect);
  EXPECT_EQ(reason(0), ConditionReason::connectTimeout);
  silent(0);
  EXPECT_EQ(standing(0), EndpointCondition::unreachable);
  EXPECT_EQ(reach[0], Reachability::unreachable);
  pass(400ms);
  EXPECT_EQ(reach[0], Reachability::unreachable)
      << "a probe costs the time for connecting, so it comes later";
  pass(200ms);
  ASSERT_EQ(reach[0], Reachability::probeOnly);
  attempt(0, Outcome::served);  // it was cut off, and has the process that it had
  EXPECT_EQ(reach[0], Reachability::reachable);
  EXPECT_EQ(startedAfter[0], Timestamp{});
  EXPECT_EQ(standing(0), EndpointCondition::serving);
}

TEST_F(MembershipTest, AHostThatAnswersMeanwhileIsTooBusyForANewConnectionAndNotGone) {
  list(2);
  for (int i = 0; i < 5; ++i) {
    ++last;
    beliefs->onAttemptStarted(0, last, 0);
    const auto dial = last;
    now += 100ms;
    attempt(0, Outcome::served, FailureReason::unknown, ConnectionUse::reused);
    now += 100ms;
    beliefs->onAttemptEnded(now, {dial, 0, 0, Outcome::connectFailed, 201ms, false,
                                  FailureReason::connectTimeout, ConnectionUse::none, false});
    take();
  }
  EXPECT_EQ(reach.count(0), 0u);
  EXPECT_EQ(standing(0), EndpointCondition::serving);
}

// --- What says nothing of a host --------------------------------------------------------------------------

TEST_F(MembershipTest, OurOwnLackSaysNothingOfAnyHost) {
  list(4);
  for (int round = 0; round < 20; ++round)
    for (const FailureReason fault : {FailureReason::noDescriptor, FailureReason::attemptTimeout,
                                      FailureReason::cancelledBeforeSend, FailureReason::brokenWhileWriting})
      attempt(static_cast<EndpointId>(round % 4), Outcome::connectFailed, fault, ConnectionUse::none);
  for (EndpointId h = 0; h < 4; ++h) EXPECT_EQ(standing(h), EndpointCondition::serving) << h;
  EXPECT_TRUE(reach.empty());
  EXPECT_FALSE(beliefs->takeResyncRequest(now));
}

TEST_F(MembershipTest, AProbeThatNeverLeftUsIsOfferedAgainWithoutALongerWait) {
  list(2);
  refused(0);
  for (int i = 1; i <= 6; ++i) {
    pass(200ms);
    ASSERT_EQ(reach[0], Reachability::probeOnly) << i;
    ASSERT_EQ(probes[0], i);
    attempt(0, Outcome::connectFailed, FailureReason::noDescriptor, ConnectionUse::none);
    reach[0] = Reachability::unreachable;
  }
}

TEST_F(MembershipTest, SpoiltAnswersComeFromAHostThatIsThere) {
  list(2);
  for (int i = 0; i < 50; ++i) attempt(0, Outcome::error, FailureReason::malformedResponse);
  attempt(0, Outcome::reset, FailureReason::malformedResponse);
  EXPECT_EQ(standing(0), EndpointCondition::serving);
  refused(1);
  pass(110ms);
  attempt(1, Outcome::error, FailureReason::malformedResponse);
  EXPECT_EQ(reach[1], Reachability::reachable);
}

TEST_F(MembershipTest, ABrokenConnectionAndAnOverdueAnswerMakeSuspectTillItIsHeard) {
  list(2);
  attempt(0, Outcome::reset);
  EXPECT_EQ(reason(0), ConditionReason::connectionLost);
  attempt(0, Outcome::error);
  EXPECT_EQ(standing(0), EndpointCondition::serving);
  attempt(0, Outcome::timeout, FailureReason::unknown, ConnectionUse::reused, 300ms);
  EXPECT_EQ(reason(0), ConditionReason::attemptTimeout);
  EXPECT_EQ(reach.count(0), 0u) << "suspects are still sent to";
  attempt(0, Outcome::served);
  EXPECT_EQ(standing(0), EndpointCondition::serving);
}

// --- The list ---------------------------------------------------------------------------------------------

TEST_F(MembershipTest, WhatTheListHasDrainedOrDroppedNothingElseBringsBack) {
  list(3);
  refused(0);
  tell(0, EndpointState::draining);
  tell(1, EndpointState::removed);
  EXPECT_EQ(standing(0), EndpointCondition::draining);
  EXPECT_EQ(standing(1), EndpointCondition::removed);
  probes.clear();
  pass(10s);
  EXPECT_EQ(probes[0], 0);
  EXPECT_EQ(probes[1], 0);
  attempt(0, Outcome::served);  // of an attempt from before
  attempt(1, Outcome::served);
  EXPECT_EQ(standing(0), EndpointCondition::draining);
  EXPECT_EQ(standing(1), EndpointCondition::removed);
}

TEST_F(MembershipTest, AllOfTheFleetReplacedWithinOneListPeriod) {
  list(10);
  for (EndpointId h = 0; h < 10; ++h) refused(h);
  EXPECT_EQ(beliefs->unreachableCount(), 10u);
  std::vector<EndpointHealth::ListedEndpoint> fresh;
  for (EndpointId h = 10; h < 20; ++h) fresh.push_back({h, EndpointState::active, now - 1s});
  beliefs->onList(now, EndpointListKind::replace, fresh);
  take();
  EXPECT_EQ(beliefs->activeCount(), 10u);
  EXPECT_EQ(beliefs->unreachableCount(), 0u);
  for (EndpointId h = 0; h < 10; ++h) EXPECT_EQ(standing(h), EndpointCondition::removed);
  for (EndpointId h = 10; h < 20; ++h) {
    EXPECT_EQ(standing(h), EndpointCondition::warmingUp);
    EXPECT_EQ(reach.count(h), 0u);
  }
  pass(2s);
  EXPECT_FALSE(beliefs->takeResyncRequest(now));
}

TEST_F(MembershipTest, AListThatComesBackInThePastBringsNobodyBack) {
  const Timestamp start = now - 1h;
  list(4, EndpointListKind::replace, start);
  tell(0, EndpointState::active, now - 5s);  // it has started anew
  refused(0);
  refused(1);
  list(4, EndpointListKind::replace, start);  // as it was five seconds ago
  EXPECT_EQ(standing(0), EndpointCondition::unreachable);
  EXPECT_EQ(standing(1), EndpointCondition::unreachable);
  EXPECT_EQ(reach[0], Reachability::unreachable);
  // A host that the old list revives is out again at its first refusal.
  tell(2, EndpointState::removed);
  list(4, EndpointListKind::replace, start);
  EXPECT_EQ(standing(2), EndpointCondition::serving);
  refused(2);
  EXPECT_EQ(standing(2), EndpointCondition::unreachable);
}

TEST_F(MembershipTest, ALaterStartOrAnotherAddressEndsWhatWasBelieved) {
  list(2, EndpointListKind::replace, now - 1h);
  refused(0);
  refused(1);
  tell(0, EndpointState::active, now);
  EXPECT_EQ(reach[0], Reachability::reachable);
  EXPECT_EQ(standing(0), EndpointCondition::warmingUp);
  beliefs->onAddressChanged(now, 1);
  take();
  EXPECT_EQ(reach[1], Reachability::reachable);
  EXPECT_EQ(standing(1), EndpointCondition::serving);
}

TEST_F(MembershipTest, AHostThatComesBackUnderANewIdStartsFromNothing) {
  list(2);
  refused(1);
  tell(1, EndpointState::removed);
  beliefs->forget(1);
  EXPECT_EQ(standing(1), EndpointCondition::removed);
  tell(1, EndpointState::active, now);  // the number is given out anew
  EXPECT_EQ(standing(1), EndpointCondition::warmingUp);
  probes.clear();
  pass(2s);
  EXPECT_EQ(probes[1], 0);
}

TEST_F(MembershipTest, TheListsAgeCountsFromDiscoverysLastWord) {
  list(2, EndpointListKind::restored);
  now += 5s;
  list(0, EndpointListKind::update);
  now += 3s;
  beliefs->onList(now, EndpointListKind::unavailable, {});
  EXPECT_EQ(beliefs->listAge(now), 3s);
}

// --- Doubt ------------------------------------------------------------------------------------------------

TEST_F(MembershipTest, AListThatNamesUnreachableHostsIsDoubtedAtOnceAndThenEverLater) {
  list(10);
  EXPECT_FALSE(beliefs->takeResyncRequest(now));
  refused(0);
  EXPECT_FALSE(beliefs->takeResyncRequest(now));
  std::vector<Timestamp> asked;
  pass(60s, [&] {
    if (beliefs->takeResyncRequest(now)) asked.push_back(now);
    if (reach[0] != Reachability::probeOnly) return;
    refused(0);
    reach[0] = Reachability::unreachable;
  });
  ASSERT_GE(asked.size(), 3u);
  EXPECT_LE(asked.size(), 8u);
  EXPECT_GE(asked[1] - asked[0], settings.resyncInitialBackoff * 3 / 4);
  EXPECT_GE(asked[2] - asked[1], asked[1] - asked[0]);
}

TEST_F(MembershipTest, AHostThatTurnsAllAwayMakesDoubtButAFleetThatDoesHasTooMuchWork) {
  list(4);
  const auto turnAway = [&](EndpointId h) {
    attempt(h, Outcome::overloaded, FailureReason::unknown, ConnectionUse::reused);
  };
  for (int i = 0; i < 10; ++i) turnAway(0), now += 60ms;
  EXPECT_EQ(standing(0), EndpointCondition::suspect);
  EXPECT_EQ(reason(0), ConditionReason::overloaded);
  EXPECT_TRUE(beliefs->takeResyncRequest(now));
  now += 10s;
  attempt(0, Outcome::served);
  EXPECT_EQ(standing(0), EndpointCondition::serving);
  EXPECT_FALSE(beliefs->takeResyncRequest(now));
  for (int i = 0; i < 10; ++i) {
    for (EndpointId h = 0; h < 4; ++h) turnAway(h);
    now += 60ms;
  }
  EXPECT_FALSE(beliefs->takeResyncRequest(now));
}

TEST_F(MembershipTest, AQuestionThatWasNotAnsweredIsAskedAgainSooner) {
  list(3);
  refused(0);
  std::vector<Timestamp> asked;
  pass(8s, [&] {
    if (!beliefs->takeResyncRequest(now)) return;
    asked.push_back(now);
    beliefs->onResyncFailed(now);
  });
  ASSERT_GE(asked.size(), 6u);
  EXPECT_LE(asked.size(), 9u);
}

TEST_F(MembershipTest, GatewaysThatSeeOneFailureDoNotAskInOneMoment) {
  std::vector<Timestamp> asked;
  for (const double spread : {0.1, 0.5, 0.9}) {
    now = Timestamp(24h);
    settings.jitter = spread;
    beliefs = std::make_unique<EndpointHealth>(settings);
    list(3);
    refused(0);
    bool done = false;
    pass(3s, [&] {
      if (!done && beliefs->takeResyncRequest(now)) asked.push_back(now), done = true;
    });
  }
  ASSERT_EQ(asked.size(), 3u);
  EXPECT_LT(asked[0], asked[1]);
  EXPECT_LT(asked[1], asked[2]);
}

// --- Of a fleet -------------------------------------------------------------------------------------------

TEST_F(MembershipTest, AHostLeftToOthersIsNotTriedUntilTheirWordIsOldAndNeverForLong) {
  settings.jitter = 1;
  beliefs = std::make_unique<EndpointHealth>(settings);
  list(2);
  attempt(0, Outcome::connectFailed, FailureReason::connectionRefused);
  const Timestamp out = now;
  const auto wait = [&](policy::Duration time) {
    for (const Timestamp end = now + time; now < end; now += 50ms) beliefs->onTick(now);
    take();
  };
  // Whatever is said, also on and on: after the bound it is tried by this gateway itself.
  while (probes[0] == 0 && now < out + 60s) {
    beliefs->delegateProbing(now, 0, now + 5s);
    wait(200ms);
  }
  EXPECT_GE(now - out, settings.delegationMaxDuration);
  EXPECT_LE(now - out, settings.delegationMaxDuration + 1s);
  attempt(0, Outcome::connectFailed, FailureReason::connectionRefused);
  beliefs->delegateProbing(now, 0, now + 1s);
  wait(900ms);
  EXPECT_EQ(probes[0], 1);
  wait(2s);
  EXPECT_EQ(probes[0], 2) << "their word is old";
}

TEST_F(MembershipTest, AHostFoundByOthersOpensColdUnlessItWasSeenOutLater) {
  list(2);
  attempt(0, Outcome::connectFailed, FailureReason::connectionRefused);
  const Timestamp refused = now;
  now += 3s;
  beliefs->onRemoteProbeResult(now, 0, 4s);
  take();
  EXPECT_EQ(reach[0], Reachability::unreachable) << "found before it refused here";
  beliefs->onRemoteProbeResult(now, 0, 1s);
  take();
  EXPECT_EQ(reach[0], Reachability::reachable);
  EXPECT_EQ(startedAfter[0], refused) << "a new process, by the cold rule";
  beliefs->onRemoteProbeResult(now, 1, 0s);
  beliefs->onRemoteProbeResult(now, 77, 0s);
  EXPECT_TRUE(beliefs->takeChanges().empty()) << "one that is not out, and one that is not known";
}

}  // namespace
}  // namespace cairnjunction

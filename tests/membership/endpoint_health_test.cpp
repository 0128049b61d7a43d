// The status of endpoints and the changes of their reachability, under a simulated clock: each event comes as
// the upstream and the list would bring it.
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

class EndpointHealthTest : public ::testing::Test {
 public:
  Timestamp now{24h};
  EndpointHealth::Settings settings;
  std::unique_ptr<EndpointHealth> health;
  std::map<EndpointId, Reachability> reach;  // as the decision module was notified
  std::map<EndpointId, Timestamp> startedAfter;
  std::map<EndpointId, int> probes;  // started
  policy::RequestId lastRequest = 0;

  void SetUp() override {
    settings.slowStartDuration = 9s;
    health = std::make_unique<EndpointHealth>(settings);
  }
  void list(EndpointId endpoints, EndpointListKind kind = EndpointListKind::replace,
            Timestamp startedAt = {}) {
    std::vector<EndpointHealth::ListedEndpoint> entries;
    for (EndpointId endpoint = 0; endpoint < endpoints; ++endpoint)
      entries.push_back({endpoint, EndpointState::active, startedAt});
    health->onList(now, kind, entries);
    collectChanges();
  }
  void update(EndpointId endpoint, EndpointState state, Timestamp startedAt = {}) {
    health->onList(now, EndpointListKind::update, {{endpoint, state, startedAt}});
    collectChanges();
  }
  void collectChanges() {
    for (const EndpointHealth::ReachabilityChange& change : health->takeChanges()) {
      reach[change.endpoint] = change.reachability;
      startedAfter[change.endpoint] = change.startedAfter;
      probes[change.endpoint] += change.reachability == Reachability::probeOnly;
    }
  }
  // Sends an attempt, which ends after `elapsed`.
  void attempt(EndpointId endpoint, Outcome outcome, FailureReason reason = FailureReason::unknown,
               ConnectionUse connectionUse = ConnectionUse::opened, policy::Duration elapsed = 1ms) {
    ++lastRequest;
    health->onAttemptStarted(endpoint, lastRequest, 0);
    now += elapsed;
    health->onAttemptEnded(now,
                           {lastRequest, 0, endpoint, outcome, elapsed, false, reason, connectionUse, false});
    collectChanges();
  }
  void refused(EndpointId endpoint) {
    attempt(endpoint, Outcome::connectFailed, FailureReason::connectionRefused, ConnectionUse::none);
  }
  void silent(EndpointId endpoint) {
    attempt(endpoint, Outcome::connectFailed, FailureReason::connectTimeout, ConnectionUse::none, 200ms);
  }
  // Ticks every 10 ms and calls `each`, which may answer probes.
  template <class Each>
  void passTime(policy::Duration time, Each each) {
    for (const Timestamp end = now + time; now < end;) {
      now += 10ms;
      health->onTick(now);
      collectChanges();
      each();
    }
  }
  void passTime(policy::Duration time) {
    passTime(time, [] {});
  }
  EndpointCondition condition(EndpointId endpoint) const { return health->statusOf(endpoint, now).condition; }
  ConditionReason reason(EndpointId endpoint) const { return health->statusOf(endpoint, now).reason; }
};

// --- Reachability and probes
// -----------------------------------------------------------------------------------------

// An endpoint refuses a connection. It is unreachable at once, probed after 100 ms, and reachable when that
// is answered; since its process must be a new one, it is in slow start.
TEST_F(EndpointHealthTest, RefusalMakesUnreachableUntilAProbeIsAnsweredAndThenSlowStartHolds) {
  list(3);
  const Timestamp before = now;
  refused(1);
  EXPECT_EQ(reach[1], Reachability::unreachable);
  EXPECT_EQ(condition(1), EndpointCondition::unreachable);
  EXPECT_EQ(reason(1), ConditionReason::connectionRefused);
  EXPECT_EQ(health->unreachableCount(), 1u);
  EXPECT_EQ(health->activeCount(), 3u);
  passTime(90ms);
  EXPECT_EQ(reach[1], Reachability::unreachable);
  passTime(20ms);
  EXPECT_EQ(reach[1], Reachability::probeOnly);
  attempt(1, Outcome::served);
  EXPECT_EQ(reach[1], Reachability::reachable);
  // What takes connections where one was refused is a new process.
  EXPECT_GT(startedAfter[1], before);
  EXPECT_EQ(condition(1), EndpointCondition::slowStart);
  passTime(9s);
  EXPECT_EQ(condition(1), EndpointCondition::serving);
}

// An endpoint refuses all its probes for 10 s. They come one at a time and at growing intervals.
TEST_F(EndpointHealthTest, ProbesOfOneEndpointBackOff) {
  list(2);
  refused(0);
  std::vector<Timestamp> sent;
  passTime(10s, [&] {
    if (reach[0] != Reachability::probeOnly) return;
    sent.push_back(now);
    refused(0);
    reach[0] = Reachability::unreachable;  // as the decision module does when it sends
  });
  ASSERT_GE(sent.size(), 5u);
  EXPECT_LE(sent.size(), 16u);
  for (std::size_t i = 2; i < sent.size(); ++i)
    EXPECT_GE(sent[i] - sent[i - 1] + 20ms, sent[i - 1] - sent[i - 2]) << i;
  EXPECT_GE(sent.back() - sent[sent.size() - 2], settings.probeMaxBackoff);
}

// A probe is pending for seconds, and an older attempt at the same endpoint fails meanwhile. No other probe
// starts before the pending one has ended.
TEST_F(EndpointHealthTest, NoProbeStartsWhileOneIsPending) {
  list(2);
  refused(0);
  passTime(200ms);
  ASSERT_EQ(reach[0], Reachability::probeOnly);
  ASSERT_EQ(probes[0], 1);
  health->onAttemptStarted(0, 77, 0);
  passTime(5s);
  EXPECT_EQ(probes[0], 1);
  // An attempt from before that ends now is not the probe.
  attempt(0, Outcome::connectFailed, FailureReason::connectionRefused, ConnectionUse::none);
  passTime(2s);
  EXPECT_EQ(probes[0], 1);
  health->onAttemptEnded(now, {77, 0, 0, Outcome::connectFailed, 1ms, false, FailureReason::connectionRefused,
                               ConnectionUse::none, false});
  passTime(1s);
  EXPECT_EQ(probes[0], 2);
}

// A hundred endpoints are unreachable. Their probes keep to the rate over all, and each is probed.
TEST_F(EndpointHealthTest, ProbesOfAllEndpointsAreBoundedAndNoneIsLeftOut) {
  list(100);
  for (EndpointId endpoint = 0; endpoint < 100; ++endpoint) refused(endpoint);
  EXPECT_EQ(health->unreachableCount(), 100u);
  int offered = 0;
  std::set<EndpointId> probed;
  passTime(10s, [&] {
    for (EndpointId endpoint = 0; endpoint < 100; ++endpoint)
      if (reach[endpoint] == Reachability::probeOnly) {
        ++offered;
        probed.insert(endpoint);
        refused(endpoint);
        reach[endpoint] = Reachability::unreachable;
      }
  });
  EXPECT_LE(offered, static_cast<int>(10 * settings.probesPerSecond) + 6);
  EXPECT_GE(offered, 150);
  EXPECT_EQ(probed.size(), 100u);
}

// An endpoint refuses a connection while three are open, so it is at its limit. When these close without
// another word, its process was ending: it is unreachable.
TEST_F(EndpointHealthTest, RefusalWhileConnectionsAreOpenMakesSuspectUntilTheyClose) {
  list(2);
  health->onConnections(now, 0, 3);
  refused(0);
  EXPECT_EQ(condition(0), EndpointCondition::suspect);
  EXPECT_EQ(reason(0), ConditionReason::connectionLimit);
  EXPECT_EQ(reach.count(0), 0u);
  health->onConnections(now, 0, 1);
  collectChanges();
  EXPECT_EQ(reach.count(0), 0u);
  health->onConnections(now, 0, 0);  // it was the end of its process after all
  collectChanges();
  EXPECT_EQ(reach[0], Reachability::unreachable);
  EXPECT_EQ(condition(0), EndpointCondition::unreachable);
}

// A machine is cut off from the network and comes back. Two connect timeouts make its endpoint unreachable;
// the process is the one it was, so there is no slow start.
TEST_F(EndpointHealthTest, TwoConnectTimeoutsMakeUnreachableAndRecoveryHasNoSlowStart) {
  list(2);
  attempt(0, Outcome::served);
  now += 1s;
  silent(0);
  EXPECT_EQ(condition(0), EndpointCondition::suspect);
  EXPECT_EQ(reason(0), ConditionReason::connectTimeout);
  silent(0);
  EXPECT_EQ(condition(0), EndpointCondition::unreachable);
  EXPECT_EQ(reach[0], Reachability::unreachable);
  passTime(400ms);
  EXPECT_EQ(reach[0], Reachability::unreachable)
      << "a probe costs the time for connecting, so it comes later";
  passTime(200ms);
  ASSERT_EQ(reach[0], Reachability::probeOnly);
  attempt(0, Outcome::served);  // it was cut off, and has the process that it had
  EXPECT_EQ(reach[0], Reachability::reachable);
  EXPECT_EQ(startedAfter[0], Timestamp{});
  EXPECT_EQ(condition(0), EndpointCondition::serving);
}

// Five connections time out, but during each the endpoint responds on another one: it is busy, not gone.
TEST_F(EndpointHealthTest, ConnectTimeoutDuringWhichItRespondedDoesNotCount) {
  list(2);
  for (int i = 0; i < 5; ++i) {
    ++lastRequest;
    health->onAttemptStarted(0, lastRequest, 0);
    const auto connecting = lastRequest;
    now += 100ms;
    attempt(0, Outcome::served, FailureReason::unknown, ConnectionUse::reused);
    now += 100ms;
    health->onAttemptEnded(now, {connecting, 0, 0, Outcome::connectFailed, 201ms, false,
                                 FailureReason::connectTimeout, ConnectionUse::none, false});
    collectChanges();
  }
  EXPECT_EQ(reach.count(0), 0u);
  EXPECT_EQ(condition(0), EndpointCondition::serving);
}

// --- Outcomes that say little or nothing
// --------------------------------------------------------------------------

// Attempts fail for reasons of this gateway: no descriptor, no time left, cancelled, lost while writing.
TEST_F(EndpointHealthTest, LocalFailuresSayNothingOfAnEndpoint) {
  list(4);
  for (int round = 0; round < 20; ++round)
    for (const FailureReason reason : {FailureReason::noDescriptor, FailureReason::attemptTimeout,
                                       FailureReason::cancelledBeforeSend, FailureReason::brokenWhileWriting})
      attempt(static_cast<EndpointId>(round % 4), Outcome::connectFailed, reason, ConnectionUse::none);
  for (EndpointId endpoint = 0; endpoint < 4; ++endpoint)
    EXPECT_EQ(condition(endpoint), EndpointCondition::serving) << endpoint;
  EXPECT_TRUE(reach.empty());
  EXPECT_FALSE(health->takeResyncRequest(now));
}

// Six probes in a row find no descriptor. Each next one starts as soon as the first did.
TEST_F(EndpointHealthTest, ProbeThatNeverLeftTheGatewayDoesNotLengthenTheBackoff) {
  list(2);
  refused(0);
  for (int i = 1; i <= 6; ++i) {
    passTime(200ms);
    ASSERT_EQ(reach[0], Reachability::probeOnly) << i;
    ASSERT_EQ(probes[0], i);
    attempt(0, Outcome::connectFailed, FailureReason::noDescriptor, ConnectionUse::none);
    reach[0] = Reachability::unreachable;
  }
}

// An endpoint sends nothing but malformed responses. It stays reachable, and one that was unreachable is
// reachable again.
TEST_F(EndpointHealthTest, MalformedResponsesComeFromAReachableEndpoint) {
  list(2);
  for (int i = 0; i < 50; ++i) attempt(0, Outcome::error, FailureReason::malformedResponse);
  attempt(0, Outcome::reset, FailureReason::malformedResponse);
  EXPECT_EQ(condition(0), EndpointCondition::serving);
  refused(1);
  passTime(110ms);
  attempt(1, Outcome::error, FailureReason::malformedResponse);
  EXPECT_EQ(reach[1], Reachability::reachable);
}

TEST_F(EndpointHealthTest, LostConnectionOrTimeoutMakesSuspectUntilAResponse) {
  list(2);
  attempt(0, Outcome::reset);
  EXPECT_EQ(reason(0), ConditionReason::connectionLost);
  attempt(0, Outcome::error);
  EXPECT_EQ(condition(0), EndpointCondition::serving);
  attempt(0, Outcome::timeout, FailureReason::unknown, ConnectionUse::reused, 300ms);
  EXPECT_EQ(reason(0), ConditionReason::attemptTimeout);
  EXPECT_EQ(reach.count(0), 0u) << "a suspect endpoint still gets requests";
  attempt(0, Outcome::served);
  EXPECT_EQ(condition(0), EndpointCondition::serving);
}

// --- The list ---------------------------------------------------------------------------------------------

// Endpoints are drained and removed, and late responses of both arrive. They stay as the list has them, and
// get no probes.
TEST_F(EndpointHealthTest, NothingButTheListUndoesADrainOrARemoval) {
  list(3);
  refused(0);
  update(0, EndpointState::draining);
  update(1, EndpointState::removed);
  EXPECT_EQ(condition(0), EndpointCondition::draining);
  EXPECT_EQ(condition(1), EndpointCondition::removed);
  probes.clear();
  passTime(10s);
  EXPECT_EQ(probes[0], 0);
  EXPECT_EQ(probes[1], 0);
  attempt(0, Outcome::served);  // of an attempt from before
  attempt(1, Outcome::served);
  EXPECT_EQ(condition(0), EndpointCondition::draining);
  EXPECT_EQ(condition(1), EndpointCondition::removed);
}

// All ten endpoints refuse connections, and then a list names ten others. The new ones have nothing against
// them.
TEST_F(EndpointHealthTest, AllEndpointsReplacedByOneList) {
  list(10);
  for (EndpointId endpoint = 0; endpoint < 10; ++endpoint) refused(endpoint);
  EXPECT_EQ(health->unreachableCount(), 10u);
  std::vector<EndpointHealth::ListedEndpoint> fresh;
  for (EndpointId endpoint = 10; endpoint < 20; ++endpoint)
    fresh.push_back({endpoint, EndpointState::active, now - 1s});
  health->onList(now, EndpointListKind::replace, fresh);
  collectChanges();
  EXPECT_EQ(health->activeCount(), 10u);
  EXPECT_EQ(health->unreachableCount(), 0u);
  for (EndpointId endpoint = 0; endpoint < 10; ++endpoint)
    EXPECT_EQ(condition(endpoint), EndpointCondition::removed);
  for (EndpointId endpoint = 10; endpoint < 20; ++endpoint) {
    EXPECT_EQ(condition(endpoint), EndpointCondition::slowStart);
    EXPECT_EQ(reach.count(endpoint), 0u);
  }
  passTime(2s);
  EXPECT_FALSE(health->takeResyncRequest(now));
}

// A list that is behind names old starts, and an endpoint that was removed. What was seen of the endpoints
// stays.
TEST_F(EndpointHealthTest, ListFromThePastMakesNothingReachable) {
  const Timestamp start = now - 1h;
  list(4, EndpointListKind::replace, start);
  update(0, EndpointState::active, now - 5s);  // it has restarted
  refused(0);
  refused(1);
  list(4, EndpointListKind::replace, start);  // as it was five seconds ago
  EXPECT_EQ(condition(0), EndpointCondition::unreachable);
  EXPECT_EQ(condition(1), EndpointCondition::unreachable);
  EXPECT_EQ(reach[0], Reachability::unreachable);
  // An endpoint that the old list brings back is unreachable again at its first refusal.
  update(2, EndpointState::removed);
  list(4, EndpointListKind::replace, start);
  EXPECT_EQ(condition(2), EndpointCondition::serving);
  refused(2);
  EXPECT_EQ(condition(2), EndpointCondition::unreachable);
}

TEST_F(EndpointHealthTest, LaterStartOrAnotherAddressForgetsTheProcessBefore) {
  list(2, EndpointListKind::replace, now - 1h);
  refused(0);
  refused(1);
  update(0, EndpointState::active, now);
  EXPECT_EQ(reach[0], Reachability::reachable);
  EXPECT_EQ(condition(0), EndpointCondition::slowStart);
  health->onAddressChanged(now, 1);
  collectChanges();
  EXPECT_EQ(reach[1], Reachability::reachable);
  EXPECT_EQ(condition(1), EndpointCondition::serving);
}

// An unreachable endpoint is removed and its number is given to another one, which has no past.
TEST_F(EndpointHealthTest, ForgottenNumberStartsFromNothing) {
  list(2);
  refused(1);
  update(1, EndpointState::removed);
  health->forget(1);
  EXPECT_EQ(condition(1), EndpointCondition::removed);
  update(1, EndpointState::active, now);  // the number is given out anew
  EXPECT_EQ(condition(1), EndpointCondition::slowStart);
  probes.clear();
  passTime(2s);
  EXPECT_EQ(probes[1], 0);
}

TEST_F(EndpointHealthTest, AgeOfTheListCountsFromDiscoverysLastAnswer) {
  list(2, EndpointListKind::restored);
  now += 5s;
  list(0, EndpointListKind::update);
  now += 3s;
  health->onList(now, EndpointListKind::unavailable, {});
  EXPECT_EQ(health->listAge(now), 3s);
}

// --- Staleness of the list
// ------------------------------------------------------------------------------------------------

// The list keeps an endpoint that is unreachable for a minute. Resyncs are requested at growing pauses.
TEST_F(EndpointHealthTest, UnreachableEndpointRequestsResyncsAtGrowingPauses) {
  list(10);
  EXPECT_FALSE(health->takeResyncRequest(now));
  refused(0);
  EXPECT_FALSE(health->takeResyncRequest(now));
  std::vector<Timestamp> requested;
  passTime(60s, [&] {
    if (health->takeResyncRequest(now)) requested.push_back(now);
    if (reach[0] != Reachability::probeOnly) return;
    refused(0);
    reach[0] = Reachability::unreachable;
  });
  ASSERT_GE(requested.size(), 3u);
  EXPECT_LE(requested.size(), 8u);
  EXPECT_GE(requested[1] - requested[0], settings.resyncInitialBackoff * 3 / 4);
  EXPECT_GE(requested[2] - requested[1], requested[1] - requested[0]);
}

// One endpoint of four rejects everything: it may be draining without the list's word. When all four do there
// is too much work, and no resync is requested.
TEST_F(EndpointHealthTest, OverloadedEndpointRequestsAResyncUnlessMostAreOverloaded) {
  list(4);
  const auto reject = [&](EndpointId endpoint) {
    attempt(endpoint, Outcome::overloaded, FailureReason::unknown, ConnectionUse::reused);
  };
  for (int i = 0; i < 10; ++i) {
    reject(0);
    now += 60ms;
  }
  EXPECT_EQ(condition(0), EndpointCondition::suspect);
  EXPECT_EQ(reason(0), ConditionReason::overloaded);
  EXPECT_TRUE(health->takeResyncRequest(now));
  now += 10s;
  attempt(0, Outcome::served);
  EXPECT_EQ(condition(0), EndpointCondition::serving);
  EXPECT_FALSE(health->takeResyncRequest(now));
  for (int i = 0; i < 10; ++i) {
    for (EndpointId endpoint = 0; endpoint < 4; ++endpoint) reject(endpoint);
    now += 60ms;
  }
  EXPECT_FALSE(health->takeResyncRequest(now));
}

TEST_F(EndpointHealthTest, FailedResyncIsRequestedAgainSooner) {
  list(3);
  refused(0);
  std::vector<Timestamp> requested;
  passTime(8s, [&] {
    if (!health->takeResyncRequest(now)) return;
    requested.push_back(now);
    health->onResyncFailed(now);
  });
  ASSERT_GE(requested.size(), 6u);
  EXPECT_LE(requested.size(), 9u);
}

TEST_F(EndpointHealthTest, GatewaysThatSeeOneFailureRequestResyncsApart) {
  std::vector<Timestamp> requested;
  for (const double jitter : {0.1, 0.5, 0.9}) {
    now = Timestamp(24h);
    settings.jitter = jitter;
    health = std::make_unique<EndpointHealth>(settings);
    list(3);
    refused(0);
    bool done = false;
    passTime(3s, [&] {
      if (done || !health->takeResyncRequest(now)) return;
      requested.push_back(now);
      done = true;
    });
  }
  ASSERT_EQ(requested.size(), 3u);
  EXPECT_LT(requested[0], requested[1]);
  EXPECT_LT(requested[1], requested[2]);
}

// --- Probing by other gateways
// -------------------------------------------------------------------------------------------

// Another gateway announces again and again that it probes an endpoint. This one does not probe it meanwhile,
// but does so itself after the bound; a single announcement ends with its own term.
TEST_F(EndpointHealthTest, DelegatedProbingEndsWithItsTermAndNeverLastsBeyondTheBound) {
  settings.jitter = 1;
  health = std::make_unique<EndpointHealth>(settings);
  list(2);
  attempt(0, Outcome::connectFailed, FailureReason::connectionRefused);
  const Timestamp out = now;
  const auto tickFor = [&](policy::Duration time) {
    for (const Timestamp end = now + time; now < end; now += 50ms) health->onTick(now);
    collectChanges();
  };
  while (probes[0] == 0 && now < out + 60s) {
    health->delegateProbing(now, 0, now + 5s);
    tickFor(200ms);
  }
  EXPECT_GE(now - out, settings.delegationMaxDuration);
  EXPECT_LE(now - out, settings.delegationMaxDuration + 1s);
  attempt(0, Outcome::connectFailed, FailureReason::connectionRefused);
  health->delegateProbing(now, 0, now + 1s);
  tickFor(900ms);
  EXPECT_EQ(probes[0], 1);
  tickFor(2s);
  EXPECT_EQ(probes[0], 2) << "the delegation has ended";
}

// Another gateway reports that an endpoint accepts connections: first with a finding older than this
// gateway's own failure, then with a newer one.
TEST_F(EndpointHealthTest, RemoteProbeResultMakesReachableUnlessThisGatewaySawAFailureSince) {
  list(2);
  attempt(0, Outcome::connectFailed, FailureReason::connectionRefused);
  const Timestamp refused = now;
  now += 3s;
  health->onRemoteProbeResult(now, 0, 4s);
  collectChanges();
  EXPECT_EQ(reach[0], Reachability::unreachable) << "found before it refused here";
  health->onRemoteProbeResult(now, 0, 1s);
  collectChanges();
  EXPECT_EQ(reach[0], Reachability::reachable);
  EXPECT_EQ(startedAfter[0], refused) << "a new process";
  health->onRemoteProbeResult(now, 1, 0s);
  health->onRemoteProbeResult(now, 77, 0s);
  EXPECT_TRUE(health->takeChanges().empty()) << "one that is reachable, and one that is unknown";
}

}  // namespace
}  // namespace cairnjunction

// Tests the status of endpoints and the changes of their reachability with a simulated clock. The tests raise
// the same events as the upstream and discovery.
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
  std::map<EndpointId, Reachability> reachability;  // as last reported to the load balancer
  std::map<EndpointId, Timestamp> startedAfter;     // as last reported
  std::map<EndpointId, int> probes;                 // number of probes offered
  policy::RequestId lastRequest = 0;

  void SetUp() override {
    settings.slowStartDuration = 9s;
    health = std::make_unique<EndpointHealth>(settings);
  }
  // Applies a list with the active endpoints 0 to `endpoints` - 1.
  void applyList(EndpointId endpoints, EndpointListKind kind = EndpointListKind::replace,
                 Timestamp startedAt = {}) {
    std::vector<EndpointHealth::ListedEndpoint> entries;
    for (EndpointId endpoint = 0; endpoint < endpoints; ++endpoint)
      entries.push_back({endpoint, EndpointState::active, startedAt});
    health->onList(now, kind, entries);
    collectChanges();
  }
  void updateEntry(EndpointId endpoint, EndpointState state, Timestamp startedAt = {}) {
    health->onList(now, EndpointListKind::update, {{endpoint, state, startedAt}});
    collectChanges();
  }
  void collectChanges() {
    for (const EndpointHealth::ReachabilityChange& change : health->takeChanges()) {
      reachability[change.endpoint] = change.reachability;
      startedAfter[change.endpoint] = change.startedAfter;
      probes[change.endpoint] += change.reachability == Reachability::probeOnly;
    }
  }
  // Starts an attempt and ends it after `elapsed`.
  void runAttempt(EndpointId endpoint, Outcome outcome, FailureReason reason = FailureReason::unknown,
                  ConnectionUse connectionUse = ConnectionUse::opened, policy::Duration elapsed = 1ms) {
    ++lastRequest;
    health->onAttemptStarted(endpoint, lastRequest, 0);
    now += elapsed;
    health->onAttemptEnded(now,
                           {lastRequest, 0, endpoint, outcome, elapsed, false, reason, connectionUse, false});
    collectChanges();
  }
  void refuseConnection(EndpointId endpoint) {
    runAttempt(endpoint, Outcome::connectFailed, FailureReason::connectionRefused, ConnectionUse::none);
  }
  void timeOutConnection(EndpointId endpoint) {
    runAttempt(endpoint, Outcome::connectFailed, FailureReason::connectTimeout, ConnectionUse::none, 200ms);
  }
  // Advances the clock in ticks of 10 ms and calls `onTick` after each, which may end probes.
  template <class OnTick>
  void advance(policy::Duration duration, OnTick onTick) {
    for (const Timestamp end = now + duration; now < end;) {
      now += 10ms;
      health->onTick(now);
      collectChanges();
      onTick();
    }
  }
  void advance(policy::Duration duration) {
    advance(duration, [] {});
  }
  EndpointCondition condition(EndpointId endpoint) const { return health->statusOf(endpoint, now).condition; }
  ConditionReason reason(EndpointId endpoint) const { return health->statusOf(endpoint, now).reason; }
};

// --- Reachability and probes ------------------------------------------------------------------------------

// An endpoint refuses a connection. It becomes unreachable at once, is probed after 100 ms, and is reachable
// again when it answers the probe. Its process must be a new one, so it is in slow start.
TEST_F(EndpointHealthTest, RefusalMakesUnreachableUntilAProbeIsAnsweredAndSlowStartFollows) {
  applyList(3);
  const Timestamp before = now;
  refuseConnection(1);
  EXPECT_EQ(reachability[1], Reachability::unreachable);
  EXPECT_EQ(condition(1), EndpointCondition::unreachable);
  EXPECT_EQ(reason(1), ConditionReason::connectionRefused);
  EXPECT_EQ(health->unreachableCount(), 1u);
  EXPECT_EQ(health->activeCount(), 3u);
  advance(90ms);
  EXPECT_EQ(reachability[1], Reachability::unreachable);
  advance(20ms);
  EXPECT_EQ(reachability[1], Reachability::probeOnly);
  runAttempt(1, Outcome::served);
  EXPECT_EQ(reachability[1], Reachability::reachable);
  // Only a new process accepts connections after a refusal.
  EXPECT_GT(startedAfter[1], before);
  EXPECT_EQ(condition(1), EndpointCondition::slowStart);
  advance(9s);
  EXPECT_EQ(condition(1), EndpointCondition::serving);
}

// An endpoint refuses all its probes for 10 s. They are sent one at a time and at growing intervals.
TEST_F(EndpointHealthTest, ProbesOfOneEndpointBackOff) {
  applyList(2);
  refuseConnection(0);
  std::vector<Timestamp> sent;
  advance(10s, [&] {
    if (reachability[0] != Reachability::probeOnly) return;
    sent.push_back(now);
    refuseConnection(0);
    reachability[0] = Reachability::unreachable;  // as the load balancer does when it sends the probe
  });
  ASSERT_GE(sent.size(), 5u);
  EXPECT_LE(sent.size(), 16u);
  for (std::size_t i = 2; i < sent.size(); ++i)
    EXPECT_GE(sent[i] - sent[i - 1] + 20ms, sent[i - 1] - sent[i - 2]) << i;
  EXPECT_GE(sent.back() - sent[sent.size() - 2], settings.probeMaxBackoff);
}

// A probe is pending for seconds, and an older attempt to the same endpoint fails in the meantime. No other
// probe starts before the pending one has ended.
TEST_F(EndpointHealthTest, NoProbeStartsWhileOneIsPending) {
  applyList(2);
  refuseConnection(0);
  advance(200ms);
  ASSERT_EQ(reachability[0], Reachability::probeOnly);
  ASSERT_EQ(probes[0], 1);
  health->onAttemptStarted(0, 77, 0);
  advance(5s);
  EXPECT_EQ(probes[0], 1);
  // The end of an older attempt is not taken for the end of the probe.
  runAttempt(0, Outcome::connectFailed, FailureReason::connectionRefused, ConnectionUse::none);
  advance(2s);
  EXPECT_EQ(probes[0], 1);
  health->onAttemptEnded(now, {77, 0, 0, Outcome::connectFailed, 1ms, false, FailureReason::connectionRefused,
                               ConnectionUse::none, false});
  advance(1s);
  EXPECT_EQ(probes[0], 2);
}

// A hundred endpoints are unreachable. Their probes together stay within the rate limit, and each is probed.
TEST_F(EndpointHealthTest, ProbesOfAllEndpointsStayWithinTheRateLimitAndReachEachEndpoint) {
  applyList(100);
  for (EndpointId endpoint = 0; endpoint < 100; ++endpoint) refuseConnection(endpoint);
  EXPECT_EQ(health->unreachableCount(), 100u);
  int offered = 0;
  std::set<EndpointId> probed;
  advance(10s, [&] {
    for (EndpointId endpoint = 0; endpoint < 100; ++endpoint)
      if (reachability[endpoint] == Reachability::probeOnly) {
        ++offered;
        probed.insert(endpoint);
        refuseConnection(endpoint);
        reachability[endpoint] = Reachability::unreachable;
      }
  });
  EXPECT_LE(offered, static_cast<int>(10 * settings.probesPerSecond) + 6);
  EXPECT_GE(offered, 150);
  EXPECT_EQ(probed.size(), 100u);
}

// An endpoint refuses a connection while three are open, so it seems to be at its limit. When these close
// without any further event, its process has ended: the endpoint is unreachable.
TEST_F(EndpointHealthTest, RefusalWithOpenConnectionsMakesSuspectAndTheirCloseMakesUnreachable) {
  applyList(2);
  health->onConnections(now, 0, 3);
  refuseConnection(0);
  EXPECT_EQ(condition(0), EndpointCondition::suspect);
  EXPECT_EQ(reason(0), ConditionReason::connectionLimit);
  EXPECT_EQ(reachability.count(0), 0u);
  health->onConnections(now, 0, 1);
  collectChanges();
  EXPECT_EQ(reachability.count(0), 0u);
  health->onConnections(now, 0, 0);  // the process has ended
  collectChanges();
  EXPECT_EQ(reachability[0], Reachability::unreachable);
  EXPECT_EQ(condition(0), EndpointCondition::unreachable);
}

// A machine loses its network connection and regains it. Two connect timeouts make its endpoint unreachable.
// Its process has not restarted, so there is no slow start afterwards.
TEST_F(EndpointHealthTest, TwoConnectTimeoutsMakeUnreachableAndRecoveryHasNoSlowStart) {
  applyList(2);
  runAttempt(0, Outcome::served);
  now += 1s;
  timeOutConnection(0);
  EXPECT_EQ(condition(0), EndpointCondition::suspect);
  EXPECT_EQ(reason(0), ConditionReason::connectTimeout);
  timeOutConnection(0);
  EXPECT_EQ(condition(0), EndpointCondition::unreachable);
  EXPECT_EQ(reachability[0], Reachability::unreachable);
  advance(400ms);
  EXPECT_EQ(reachability[0], Reachability::unreachable)
      << "a probe costs its request a connect timeout, so its backoff is longer";
  advance(200ms);
  ASSERT_EQ(reachability[0], Reachability::probeOnly);
  runAttempt(0, Outcome::served);  // by the same process as before
  EXPECT_EQ(reachability[0], Reachability::reachable);
  EXPECT_EQ(startedAfter[0], Timestamp{});
  EXPECT_EQ(condition(0), EndpointCondition::serving);
}

// Five connections time out, but during each timeout the endpoint responds on another connection: it is busy
// and not unreachable.
TEST_F(EndpointHealthTest, ConnectTimeoutWithAResponseInBetweenDoesNotCount) {
  applyList(2);
  for (int i = 0; i < 5; ++i) {
    ++lastRequest;
    health->onAttemptStarted(0, lastRequest, 0);
    const auto connecting = lastRequest;
    now += 100ms;
    runAttempt(0, Outcome::served, FailureReason::unknown, ConnectionUse::reused);
    now += 100ms;
    health->onAttemptEnded(now, {connecting, 0, 0, Outcome::connectFailed, 201ms, false,
                                 FailureReason::connectTimeout, ConnectionUse::none, false});
    collectChanges();
  }
  EXPECT_EQ(reachability.count(0), 0u);
  EXPECT_EQ(condition(0), EndpointCondition::serving);
}

// --- Outcomes that do not change the reachability ---------------------------------------------------------

// Attempts fail before they are completely sent, for reasons that prove nothing about the endpoint: no
// descriptor, attempt timeout, cancelled before send, broken while writing.
TEST_F(EndpointHealthTest, FailuresBeforeSendDoNotAffectTheStatus) {
  applyList(4);
  for (int round = 0; round < 20; ++round)
    for (const FailureReason reason : {FailureReason::noDescriptor, FailureReason::attemptTimeout,
                                       FailureReason::cancelledBeforeSend, FailureReason::brokenWhileWriting})
      runAttempt(static_cast<EndpointId>(round % 4), Outcome::connectFailed, reason, ConnectionUse::none);
  for (EndpointId endpoint = 0; endpoint < 4; ++endpoint)
    EXPECT_EQ(condition(endpoint), EndpointCondition::serving) << endpoint;
  EXPECT_TRUE(reachability.empty());
  EXPECT_FALSE(health->takeResyncRequest(now));
}

// Six consecutive probes fail for lack of a descriptor. Each starts after the initial backoff.
TEST_F(EndpointHealthTest, ProbeThatNeverLeftTheGatewayDoesNotLengthenTheBackoff) {
  applyList(2);
  refuseConnection(0);
  for (int i = 1; i <= 6; ++i) {
    advance(200ms);
    ASSERT_EQ(reachability[0], Reachability::probeOnly) << i;
    ASSERT_EQ(probes[0], i);
    runAttempt(0, Outcome::connectFailed, FailureReason::noDescriptor, ConnectionUse::none);
    reachability[0] = Reachability::unreachable;
  }
}

// An endpoint that sends only malformed responses stays reachable, and an unreachable endpoint that sends one
// is reachable again.
TEST_F(EndpointHealthTest, MalformedResponseProvesReachability) {
  applyList(2);
  for (int i = 0; i < 50; ++i) runAttempt(0, Outcome::error, FailureReason::malformedResponse);
  runAttempt(0, Outcome::reset, FailureReason::malformedResponse);
  EXPECT_EQ(condition(0), EndpointCondition::serving);
  refuseConnection(1);
  advance(110ms);
  runAttempt(1, Outcome::error, FailureReason::malformedResponse);
  EXPECT_EQ(reachability[1], Reachability::reachable);
}

TEST_F(EndpointHealthTest, LostConnectionOrTimeoutMakesSuspectUntilAResponse) {
  applyList(2);
  runAttempt(0, Outcome::reset);
  EXPECT_EQ(reason(0), ConditionReason::connectionLost);
  runAttempt(0, Outcome::error);
  EXPECT_EQ(condition(0), EndpointCondition::serving);
  runAttempt(0, Outcome::timeout, FailureReason::unknown, ConnectionUse::reused, 300ms);
  EXPECT_EQ(reason(0), ConditionReason::attemptTimeout);
  EXPECT_EQ(reachability.count(0), 0u) << "a suspect endpoint still gets requests";
  runAttempt(0, Outcome::served);
  EXPECT_EQ(condition(0), EndpointCondition::serving);
}

// --- The list ---------------------------------------------------------------------------------------------

// Endpoints are drained and removed, and late responses of both arrive. They stay draining and removed, and
// are not probed.
TEST_F(EndpointHealthTest, OnlyTheListUndoesADrainOrARemoval) {
  applyList(3);
  refuseConnection(0);
  updateEntry(0, EndpointState::draining);
  updateEntry(1, EndpointState::removed);
  EXPECT_EQ(condition(0), EndpointCondition::draining);
  EXPECT_EQ(condition(1), EndpointCondition::removed);
  probes.clear();
  advance(10s);
  EXPECT_EQ(probes[0], 0);
  EXPECT_EQ(probes[1], 0);
  runAttempt(0, Outcome::served);  // a late response
  runAttempt(1, Outcome::served);
  EXPECT_EQ(condition(0), EndpointCondition::draining);
  EXPECT_EQ(condition(1), EndpointCondition::removed);
}

// All ten endpoints refuse connections, and then a list replaces them by ten others. The failures of the old
// endpoints do not affect the new ones.
TEST_F(EndpointHealthTest, ListThatReplacesAllEndpointsRemovesTheOldOnes) {
  applyList(10);
  for (EndpointId endpoint = 0; endpoint < 10; ++endpoint) refuseConnection(endpoint);
  EXPECT_EQ(health->unreachableCount(), 10u);
  std::vector<EndpointHealth::ListedEndpoint> replacements;
  for (EndpointId endpoint = 10; endpoint < 20; ++endpoint)
    replacements.push_back({endpoint, EndpointState::active, now - 1s});
  health->onList(now, EndpointListKind::replace, replacements);
  collectChanges();
  EXPECT_EQ(health->activeCount(), 10u);
  EXPECT_EQ(health->unreachableCount(), 0u);
  for (EndpointId endpoint = 0; endpoint < 10; ++endpoint)
    EXPECT_EQ(condition(endpoint), EndpointCondition::removed);
  for (EndpointId endpoint = 10; endpoint < 20; ++endpoint) {
    EXPECT_EQ(condition(endpoint), EndpointCondition::slowStart);
    EXPECT_EQ(reachability.count(endpoint), 0u);
  }
  advance(2s);
  EXPECT_FALSE(health->takeResyncRequest(now));
}

// An outdated list has old start times and an endpoint that was removed since. The failures observed of the
// endpoints remain recorded.
TEST_F(EndpointHealthTest, OutdatedListMakesNoEndpointReachable) {
  const Timestamp start = now - 1h;
  applyList(4, EndpointListKind::replace, start);
  updateEntry(0, EndpointState::active, now - 5s);  // it has restarted
  refuseConnection(0);
  refuseConnection(1);
  applyList(4, EndpointListKind::replace, start);  // without the restart
  EXPECT_EQ(condition(0), EndpointCondition::unreachable);
  EXPECT_EQ(condition(1), EndpointCondition::unreachable);
  EXPECT_EQ(reachability[0], Reachability::unreachable);
  // A removed endpoint that the outdated list names again becomes unreachable at its first refusal.
  updateEntry(2, EndpointState::removed);
  applyList(4, EndpointListKind::replace, start);
  EXPECT_EQ(condition(2), EndpointCondition::serving);
  refuseConnection(2);
  EXPECT_EQ(condition(2), EndpointCondition::unreachable);
}

TEST_F(EndpointHealthTest, LaterStartOrNewAddressDiscardsFailuresOfThePreviousProcess) {
  applyList(2, EndpointListKind::replace, now - 1h);
  refuseConnection(0);
  refuseConnection(1);
  updateEntry(0, EndpointState::active, now);
  EXPECT_EQ(reachability[0], Reachability::reachable);
  EXPECT_EQ(condition(0), EndpointCondition::slowStart);
  health->onAddressChanged(now, 1);
  collectChanges();
  EXPECT_EQ(reachability[1], Reachability::reachable);
  EXPECT_EQ(condition(1), EndpointCondition::serving);
}

// An unreachable endpoint is removed and its id is reused for another endpoint, which starts without records.
TEST_F(EndpointHealthTest, ReusedIdHasNoRecordsAfterForget) {
  applyList(2);
  refuseConnection(1);
  updateEntry(1, EndpointState::removed);
  health->forget(1);
  EXPECT_EQ(condition(1), EndpointCondition::removed);
  updateEntry(1, EndpointState::active, now);  // the id is reused
  EXPECT_EQ(condition(1), EndpointCondition::slowStart);
  probes.clear();
  advance(2s);
  EXPECT_EQ(probes[1], 0);
}

TEST_F(EndpointHealthTest, ListAgeCountsFromTheLastAnswerOfDiscovery) {
  applyList(2, EndpointListKind::restored);
  now += 5s;
  applyList(0, EndpointListKind::update);
  now += 3s;
  health->onList(now, EndpointListKind::unavailable, {});
  EXPECT_EQ(health->listAge(now), 3s);
}

// --- Staleness of the list --------------------------------------------------------------------------------

// An endpoint stays active in the list while it is unreachable for a minute. Resyncs are requested with
// growing pauses.
TEST_F(EndpointHealthTest, UnreachableEndpointLeadsToResyncRequestsWithGrowingPauses) {
  applyList(10);
  EXPECT_FALSE(health->takeResyncRequest(now));
  refuseConnection(0);
  EXPECT_FALSE(health->takeResyncRequest(now));
  std::vector<Timestamp> requested;
  advance(60s, [&] {
    if (health->takeResyncRequest(now)) requested.push_back(now);
    if (reachability[0] != Reachability::probeOnly) return;
    refuseConnection(0);
    reachability[0] = Reachability::unreachable;
  });
  ASSERT_GE(requested.size(), 3u);
  EXPECT_LE(requested.size(), 8u);
  EXPECT_GE(requested[1] - requested[0], settings.resyncInitialBackoff * 3 / 4);
  EXPECT_GE(requested[2] - requested[1], requested[1] - requested[0]);
}

// One endpoint of four rejects all requests: it may be draining without the list saying so, and a resync is
// requested. If all four reject all requests, the cause is too much load, and no resync is requested.
TEST_F(EndpointHealthTest, OverloadedEndpointLeadsToAResyncRequestUnlessMostAreOverloaded) {
  applyList(4);
  const auto reject = [&](EndpointId endpoint) {
    runAttempt(endpoint, Outcome::overloaded, FailureReason::unknown, ConnectionUse::reused);
  };
  for (int i = 0; i < 10; ++i) {
    reject(0);
    now += 60ms;
  }
  EXPECT_EQ(condition(0), EndpointCondition::suspect);
  EXPECT_EQ(reason(0), ConditionReason::overloaded);
  EXPECT_TRUE(health->takeResyncRequest(now));
  now += 10s;
  runAttempt(0, Outcome::served);
  EXPECT_EQ(condition(0), EndpointCondition::serving);
  EXPECT_FALSE(health->takeResyncRequest(now));
  for (int i = 0; i < 10; ++i) {
    for (EndpointId endpoint = 0; endpoint < 4; ++endpoint) reject(endpoint);
    now += 60ms;
  }
  EXPECT_FALSE(health->takeResyncRequest(now));
}

TEST_F(EndpointHealthTest, FailedResyncIsRequestedAgainSooner) {
  applyList(3);
  refuseConnection(0);
  std::vector<Timestamp> requested;
  advance(8s, [&] {
    if (!health->takeResyncRequest(now)) return;
    requested.push_back(now);
    health->onResyncFailed(now);
  });
  ASSERT_GE(requested.size(), 6u);
  EXPECT_LE(requested.size(), 9u);
}

TEST_F(EndpointHealthTest, JitterSpreadsTheResyncRequestsOfGatewaysThatObserveTheSameFailure) {
  std::vector<Timestamp> requested;
  for (const double jitter : {0.1, 0.5, 0.9}) {
    now = Timestamp(24h);
    settings.jitter = jitter;
    health = std::make_unique<EndpointHealth>(settings);
    applyList(3);
    refuseConnection(0);
    bool done = false;
    advance(3s, [&] {
      if (done || !health->takeResyncRequest(now)) return;
      requested.push_back(now);
      done = true;
    });
  }
  ASSERT_EQ(requested.size(), 3u);
  EXPECT_LT(requested[0], requested[1]);
  EXPECT_LT(requested[1], requested[2]);
}

// --- Delegated probing ------------------------------------------------------------------------------------

// Another gateway announces repeatedly that it probes an endpoint. This gateway does not probe the endpoint
// until the maximum duration of a delegation has passed. A single announcement ends at its own time.
TEST_F(EndpointHealthTest, DelegatedProbingEndsAtItsTimeAndAtTheMaximumDuration) {
  settings.jitter = 1;
  health = std::make_unique<EndpointHealth>(settings);
  applyList(2);
  runAttempt(0, Outcome::connectFailed, FailureReason::connectionRefused);
  const Timestamp unreachableSince = now;
  const auto tickFor = [&](policy::Duration duration) {
    for (const Timestamp end = now + duration; now < end; now += 50ms) health->onTick(now);
    collectChanges();
  };
  while (probes[0] == 0 && now < unreachableSince + 60s) {
    health->delegateProbing(now, 0, now + 5s);
    tickFor(200ms);
  }
  EXPECT_GE(now - unreachableSince, settings.delegationMaxDuration);
  EXPECT_LE(now - unreachableSince, settings.delegationMaxDuration + 1s);
  runAttempt(0, Outcome::connectFailed, FailureReason::connectionRefused);
  health->delegateProbing(now, 0, now + 1s);
  tickFor(900ms);
  EXPECT_EQ(probes[0], 1);
  tickFor(2s);
  EXPECT_EQ(probes[0], 2) << "the delegation has ended";
}

// Another gateway reports that an endpoint accepts connections: first with a result that is older than this
// gateway's own failure, then with a newer one.
TEST_F(EndpointHealthTest, RemoteProbeResultMakesReachableUnlessThisGatewayFailedSince) {
  applyList(2);
  runAttempt(0, Outcome::connectFailed, FailureReason::connectionRefused);
  const Timestamp refusedAt = now;
  now += 3s;
  health->onRemoteProbeResult(now, 0, 4s);
  collectChanges();
  EXPECT_EQ(reachability[0], Reachability::unreachable) << "older than the refusal here";
  health->onRemoteProbeResult(now, 0, 1s);
  collectChanges();
  EXPECT_EQ(reachability[0], Reachability::reachable);
  EXPECT_EQ(startedAfter[0], refusedAt) << "a new process";
  health->onRemoteProbeResult(now, 1, 0s);
  health->onRemoteProbeResult(now, 77, 0s);
  EXPECT_TRUE(health->takeChanges().empty()) << "for a reachable and for an unknown endpoint";
}

}  // namespace
}  // namespace cairnjunction

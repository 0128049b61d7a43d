// Tests of the LoadBalancer as a whole: priority score and cutoff, endpoint choice, and its four rules:
// 1. each request is answered once and in time; 2. no request takes effect twice; 3. draining and removed
// endpoints get no new attempts; 4. endpoints in slow start get limited load. Random event sequences with
// fixed seeds check rules 1 to 3 on every action.
#include <random>
#include <set>

#include "driver.hpp"

namespace cairnjunction::policy::testing {
namespace {

// --- Priority score and cutoff ---

TEST(Cutoff, IsZeroUpToHalfOfTheInFlightLimitThenCubic) {
  Driver driver(makeSettings(), 10);  // the initial in-flight limit is 6 per endpoint: 60
  bool roseAbove5 = false, wasZeroUnderLoad = false;
  double smoothedInFlight = 0;
  for (int i = 0; i < 300; ++i) {
    const double inFlight = static_cast<double>(driver.inFlight.size());
    const std::size_t inFlightBefore = driver.inFlight.size();
    driver.request(0);
    smoothedInFlight += 0.05 * (inFlight - smoothedInFlight);
    const double overload = std::clamp((smoothedInFlight / 60 - 0.5) / 0.5, 0.0, 1.0);
    wasZeroUnderLoad |= overload == 0 && smoothedInFlight > 15;
    EXPECT_NEAR(driver.balancer.cutoff(), 100 * overload * overload * overload, 1e-6)
        << "with " << inFlightBefore << " in flight";
    roseAbove5 |= driver.balancer.cutoff() > 5;
  }
  EXPECT_TRUE(roseAbove5);
  EXPECT_TRUE(wasZeroUnderLoad);
}

TEST(PriorityScore, LowPriorityWeightIsRejectedBeforeHigh) {
  Driver driver(makeSettings(), 10);
  int rejectedLow = 0, rejectedHigh = 0;
  std::mt19937 engine(3);
  for (int i = 0; i < 400; ++i) {
    const std::uint32_t classIndex = engine() % 4 == 0 ? 0 : 1;
    const RequestId id = driver.request(classIndex);
    if (driver.inFlight.size() > 44)
      driver.reportServed(SentAttempt(driver.inFlight[engine() % driver.inFlight.size()]));
    // The scores of class 0 fill the top quarter of the range. A cutoff near it may reject some of them.
    if (driver.balancer.cutoff() > 60) continue;
    rejectedLow += classIndex == 1 && driver.isRejected(id);
    rejectedHigh += classIndex == 0 && driver.isRejected(id);
  }
  EXPECT_GT(rejectedLow, 10);
  EXPECT_EQ(rejectedHigh, 0);
}

TEST(PriorityScore, ClassesOfEqualWeightAreRejectedEquallyOften) {
  Settings settings = makeSettings();
  Driver driver(settings, 10);
  std::map<std::uint32_t, int> rejected;
  std::mt19937 engine(5);
  for (int i = 0; i < 12000; ++i) {
    const std::uint32_t classIndex = 1 + engine() % 2;
    const RequestId id = driver.request(classIndex);
    rejected[classIndex] += driver.isRejected(id);
    if (driver.inFlight.size() > 42)
      driver.reportServed(SentAttempt(driver.inFlight[engine() % driver.inFlight.size()]));
  }
  EXPECT_GT(rejected[1], 50);
  EXPECT_LT(std::abs(rejected[1] - rejected[2]), (rejected[1] + rejected[2]) / 3);
}

TEST(Cutoff, RisesWithErrorsOfAllEndpointsAndFallsBackToZero) {
  Driver driver(makeSettings());
  driver.warmUp(0, 60);
  for (int i = 0; i < 60; ++i) {
    driver.request(1);
    driver.advance(milliseconds(20));
    while (!driver.inFlight.empty())
      driver.reportResult(SentAttempt(driver.inFlight.front()), Outcome::error, false);
  }
  EXPECT_GT(driver.balancer.cutoff(), 1);
  driver.warmUp(0, 200);
  EXPECT_EQ(driver.balancer.cutoff(), 0);
}

TEST(RetryAfter, IsLongerForLowerScoresAndZeroWhereNotAllowed) {
  for (bool allowed : {true, false}) {
    Settings settings = makeSettings();
    settings.retryAfterAllowed = allowed;
    settings.maxRetryAfter = milliseconds(1000);
    Driver driver(settings, 10);
    double sums[2] = {0, 0};
    int counts[2] = {0, 0};
    for (int i = 0; i < 2000; ++i) {
      const std::uint32_t classIndex = i % 2;
      const RequestId id = driver.request(classIndex);
      if (!driver.isRejected(id)) continue;
      ++counts[classIndex];
      sums[classIndex] += static_cast<double>(driver.retryAfters[id].count());
      EXPECT_LE(driver.retryAfters[id], settings.maxRetryAfter);
    }
    ASSERT_GT(counts[0], 0);
    ASSERT_GT(counts[1], 0);
    if (allowed) EXPECT_GT(sums[1] / counts[1], sums[0] / counts[0]);
    else EXPECT_EQ(sums[0] + sums[1], 0);
  }
}

// --- Endpoint choice ---

TEST(EndpointChoice, PrefersIdleEndpoints) {
  Driver driver(makeSettings(), 6);
  std::set<EndpointId> used;
  for (int i = 0; i < 6; ++i) {
    driver.request(0);
    used.insert(driver.lastSent().endpoint);
  }
  EXPECT_EQ(used.size(), 6u) << "each endpoint gets one before any gets a second";
}

TEST(EndpointChoice, SlowEndpointsGetFewerRequests) {
  Driver driver(makeSettings(), 4);
  const EndpointId slow = driver.endpoint(0);
  for (int i = 0; i < 400; ++i) {
    driver.request(0);
    driver.advance(milliseconds(10));
    for (std::size_t k = 0; k < driver.inFlight.size();) {
      const SentAttempt attempt = driver.inFlight[k];
      if (driver.now - attempt.sentAt >= milliseconds(attempt.endpoint == slow ? 90 : 30))
        driver.reportServed(attempt);
      else ++k;
    }
  }
  EXPECT_LT(driver.countSentTo(slow) * 3, driver.countSentTo(driver.endpoint(1)) * 2);
  EXPECT_GT(driver.countSentTo(slow), 5u);
}

TEST(EndpointChoice, KeyAffinityIsTheSameAtEveryGateway) {
  Settings settings = makeSettings();
  settings.keyAffinity = true;
  Driver firstGateway(settings, 8);
  settings.seed = 99;
  Driver secondGateway(settings, 8);
  std::set<EndpointId> used;
  for (std::uint64_t key = 1; key <= 60; ++key) {
    firstGateway.request(0, milliseconds(1000), key);
    secondGateway.request(0, milliseconds(1000), key);
    EXPECT_EQ(firstGateway.lastSent().endpoint, secondGateway.lastSent().endpoint);
    used.insert(firstGateway.lastSent().endpoint);
    firstGateway.reportServed(firstGateway.lastSent());
    secondGateway.reportServed(secondGateway.lastSent());
  }
  EXPECT_EQ(used.size(), 8u);
}

TEST(EndpointChoice, PrefersItsOwnZoneAndSpillsOver) {
  Settings settings = makeSettings();
  Driver driver(settings, 0);
  driver.balancer.onEndpoints(driver.now, EndpointListKind::replace,
                              {makeHost(0), makeHost(1), makeHost(2, "west"), makeHost(3, "west")});
  for (int i = 0; i < 200; ++i) {
    driver.request(0);
    driver.reportServed(driver.lastSent());
  }
  const std::size_t own = driver.countSentTo(driver.endpoint(0)) + driver.countSentTo(driver.endpoint(1));
  EXPECT_GT(own, 115u);
  EXPECT_LT(own, 200u);
  driver.clearHistory();
  for (int i = 0; i < 4; ++i) driver.request(0);
  EXPECT_GT(driver.countSentTo(driver.endpoint(2)) + driver.countSentTo(driver.endpoint(3)), 0u);
}

// --- Rule 1: each request is answered once and in time ---

TEST(Answers, NoEndpointOrNoTimeLeftIsRejectedAtOnce) {
  Driver none(makeSettings(), 0);
  EXPECT_TRUE(none.isRejected(none.request(1)));
  Driver driver(makeSettings());
  EXPECT_TRUE(driver.isRejected(driver.request(1, Duration{})));
  EXPECT_TRUE(driver.isRejected(driver.request(1, milliseconds(-3))));
  EXPECT_EQ(driver.sentAttempts.size(), 0u);
}

TEST(Answers, RequestFailsAtItsDeadlineWithoutAnAttemptResult) {
  Driver driver(makeSettings());
  const RequestId id = driver.request(1);
  driver.advance(milliseconds(1000));
  EXPECT_TRUE(driver.isFailed(id));
  EXPECT_EQ(driver.countActions(ActionKind::cancel), 1u);
}

TEST(Answers, AttemptTimeLimitEndsBeforeTheDeadline) {
  Driver driver(makeSettings());
  driver.request(0, milliseconds(300));
  EXPECT_LE(driver.lastSent().timeLimit, milliseconds(300));
  EXPECT_GE(driver.lastSent().timeLimit, milliseconds(200));
}

TEST(Answers, NoRetryAndNoAnswerAfterTheClientDisconnected) {
  Driver driver(makeSettings());
  const RequestId id = driver.request(0);
  const SentAttempt first = driver.lastSent();
  driver.balancer.onClientDisconnected(driver.now, id);
  driver.collectActions();
  EXPECT_EQ(driver.countActions(ActionKind::cancel), 1u);
  driver.reportResult(first, Outcome::connectFailed, false);
  EXPECT_EQ(driver.sentAttempts.size(), 1u);
  EXPECT_EQ(driver.answers.count(id), 0u);
  EXPECT_EQ(driver.balancer.activeRequests(), 0u);
}

TEST(Answers, UnknownClassIsTreatedAsUnsafe) {
  Driver driver(makeSettings());
  const RequestId id = driver.request(57);
  driver.reportResult(driver.lastSent(), Outcome::error, false);
  EXPECT_TRUE(driver.isFailed(id));
  EXPECT_EQ(driver.sentAttempts.size(), 1u);
}

TEST(Answers, EventsOfUnknownRequestsAndAttemptsAreIgnored) {
  Driver driver(makeSettings());
  const RequestId id = driver.request(0);
  const SentAttempt attempt = driver.lastSent();
  driver.balancer.onResult(driver.now, {id + 50, 0, attempt.endpoint, Outcome::error, {}, false});
  driver.balancer.onResult(driver.now, {id, 3, attempt.endpoint, Outcome::error, {}, false});
  driver.balancer.onClientDisconnected(driver.now, 999);
  driver.balancer.onResponseStarted(driver.now, 999, 0);
  driver.request(0);
  driver.collectActions();
  EXPECT_EQ(driver.answers.size(), 0u);
  driver.reportServed(attempt);
  driver.balancer.onResult(driver.now, {id, 0, attempt.endpoint, Outcome::served, {}, true});
  EXPECT_EQ(driver.balancer.activeRequests(), 1u);
}

TEST(Answers, AStartedResponseIsNeitherTimedOutNorRetried) {
  Settings settings = makeSettings();
  Driver driver(settings);
  const RequestId id = driver.request(0);
  driver.balancer.onResponseStarted(driver.now, id, 0);
  driver.advance(seconds(3));
  EXPECT_EQ(driver.answers.count(id), 0u);
  driver.reportResult(driver.lastSent(), Outcome::reset, true);
  EXPECT_EQ(driver.sentAttempts.size(), 1u);
  EXPECT_EQ(driver.balancer.activeRequests(), 0u);
}

// --- Rule 2: no request takes effect twice ---

TEST(Retries, UnsafeRequestsAreRetriedOnlyIfTheyNeverRan) {
  for (Outcome outcome : {Outcome::error, Outcome::timeout, Outcome::reset, Outcome::cancelled}) {
    Driver driver(makeSettings());
    const RequestId id = driver.request(1);
    driver.reportResult(driver.lastSent(), outcome, false);
    EXPECT_EQ(driver.sentAttempts.size(), 1u);
    EXPECT_TRUE(driver.isFailed(id)) << "rejecting it would claim that it is safe to repeat";
  }
  for (Outcome outcome : {Outcome::overloaded, Outcome::connectFailed}) {
    Driver driver(makeSettings());
    driver.request(1);
    const EndpointId first = driver.lastSent().endpoint;
    driver.reportResult(driver.lastSent(), outcome, false);
    ASSERT_EQ(driver.sentAttempts.size(), 2u);
    EXPECT_NE(driver.lastSent().endpoint, first);
  }
}

TEST(Retries, UnsafeRequestIsRejectedIfNoAttemptRan) {
  Driver driver(makeSettings());
  const RequestId id = driver.request(1);
  for (int i = 0; i < 4; ++i) driver.reportResult(driver.lastSent(), Outcome::overloaded, false);
  EXPECT_EQ(driver.sentAttempts.size(), 4u) << "maxAttempts";
  EXPECT_TRUE(driver.isRejected(id));
}

TEST(Retries, KeyedRequestsStayWithinDedupScopeAndWindow) {
  for (DedupScope scope : {DedupScope::cell, DedupScope::zone}) {
    Settings settings = makeSettings();
    settings.classes[2].dedupScope = scope;
    for (std::uint64_t seed = 1; seed < 20; ++seed) {
      settings.seed = seed;
      Driver driver(settings, 0);
      std::vector<EndpointInfo> list;
      for (int i = 0; i < 8; ++i) list.push_back(makeHost(i, i < 4 ? "east" : "west", i / 2));
      driver.balancer.onEndpoints(driver.now, EndpointListKind::replace, list);
      const RequestId id = driver.request(2);
      const int first = std::stoi(driver.balancer.address(driver.lastSent().endpoint).substr(5)) - 100;
      driver.reportResult(driver.lastSent(), Outcome::reset, false);
      ASSERT_EQ(driver.sentAttempts.size(), 2u);
      const int second = std::stoi(driver.balancer.address(driver.lastSent().endpoint).substr(5)) - 100;
      EXPECT_EQ(first / (scope == DedupScope::cell ? 2 : 4), second / (scope == DedupScope::cell ? 2 : 4));
      while (!driver.inFlight.empty()) {
        const int next = std::stoi(driver.balancer.address(driver.lastSent().endpoint).substr(5)) - 100;
        EXPECT_EQ(first / (scope == DedupScope::cell ? 2 : 4), next / (scope == DedupScope::cell ? 2 : 4));
        driver.reportResult(driver.lastSent(), Outcome::timeout, false);
      }
      EXPECT_TRUE(driver.isFailed(id))
          << "not rejected: endpoints outside of the dedup scope would run it again";
    }
  }
  Settings late = makeSettings();
  late.classes[2].dedupWindow = milliseconds(100);
  Driver driver(late);
  const RequestId id = driver.request(2);
  driver.advance(milliseconds(150));
  driver.reportResult(driver.lastSent(), Outcome::reset, false);
  EXPECT_EQ(driver.sentAttempts.size(), 1u);
  EXPECT_TRUE(driver.isFailed(id));
}

TEST(Retries, KeyedRequestOfScopeAllMayBeRejectedAfterAnError) {
  Settings settings = makeSettings();
  settings.classes[2].dedupScope = DedupScope::all;
  settings.maxAttempts = 1;
  Driver driver(settings);
  const RequestId id = driver.request(2);
  driver.reportResult(driver.lastSent(), Outcome::error, false);
  EXPECT_TRUE(driver.isRejected(id));
}

// --- Rule 3: draining and removed endpoints get no new attempts ---

TEST(EndpointList, DrainingAndRemovedEndpointsGetNoNewAttempts) {
  Driver driver(makeSettings(), 3);
  EndpointInfo draining = makeHost(0), removed = makeHost(1);
  draining.state = EndpointState::draining;
  removed.state = EndpointState::removed;
  driver.balancer.onEndpoints(driver.now, EndpointListKind::update, {draining, removed});
  driver.clearHistory();
  for (int i = 0; i < 30; ++i) {
    driver.request(0);
    while (!driver.inFlight.empty()) driver.reportServed(SentAttempt(driver.inFlight.front()));
  }
  EXPECT_EQ(driver.countSentTo(driver.endpoint(2)), 30u);
}

TEST(EndpointList, ReplaceRemovesEndpointsThatItOmits) {
  Driver driver(makeSettings(), 3);
  driver.balancer.onEndpoints(driver.now, EndpointListKind::replace, {makeHost(2)});
  driver.clearHistory();
  for (int i = 0; i < 10; ++i) {
    driver.request(0);
    driver.reportServed(driver.lastSent());
  }
  EXPECT_EQ(driver.countSentTo(driver.endpoint(2)), 10u);
}

TEST(Discovery, PollsAtOnceAndRetriesWithinMaxPollInterval) {
  Settings settings = makeSettings();
  settings.pollDiscovery = true;
  settings.maxPollInterval = seconds(3);
  Driver driver(settings, 3);
  EXPECT_EQ(driver.countActions(ActionKind::pollEndpoints), 1u);
  Timestamp lastPoll = driver.now;
  for (int i = 0; i < 8; ++i) {
    driver.balancer.onEndpoints(driver.now, EndpointListKind::unavailable, {});
    driver.collectActions();
    const std::size_t before = driver.countActions(ActionKind::pollEndpoints);
    while (driver.countActions(ActionKind::pollEndpoints) == before &&
           driver.now - lastPoll < settings.maxPollInterval)
      driver.advance(milliseconds(50));
    EXPECT_EQ(driver.countActions(ActionKind::pollEndpoints), before + 1);
    EXPECT_GT(driver.now, lastPoll) << "polls must not follow without a pause";
    EXPECT_LT(driver.now - lastPoll, settings.maxPollInterval);
    lastPoll = driver.now;
  }
  driver.request(0);
  EXPECT_EQ(driver.sentAttempts.size(), 1u) << "the last endpoint list stays in use";
}

TEST(Discovery, PollsAgainOnlyIfAnAnswerIsMissing) {
  Settings settings = makeSettings();
  settings.pollDiscovery = true;
  settings.maxPollInterval = seconds(3);
  Driver driver(settings, 3);
  driver.advance(seconds(2), milliseconds(50));
  EXPECT_EQ(driver.countActions(ActionKind::pollEndpoints), 2u);
  driver.balancer.onEndpoints(driver.now, EndpointListKind::update, {});
  driver.advance(seconds(10), milliseconds(50));
  EXPECT_EQ(driver.countActions(ActionKind::pollEndpoints), 2u);
}

// --- Rule 4: endpoints in slow start get limited load ---

TEST(SlowStart, LimitsAttemptsWithinACollapseWindow) {
  Settings settings = makeSettings();
  settings.gatewayCount = 2;
  Driver driver(settings, 4);
  driver.warmUp(0, 100, milliseconds(10));
  EndpointInfo inSlowStart = makeHost(9);
  inSlowStart.startedAt = driver.now;
  driver.balancer.onEndpoints(driver.now, EndpointListKind::update, {inSlowStart});
  driver.clearHistory();
  std::size_t sentToWarm = 0;
  // Two seconds. The endpoint in slow start is always overloaded; such attempts count against its limit too.
  for (int i = 0; i < 200; ++i) {
    driver.request(0);
    driver.advance(milliseconds(10));
    while (!driver.inFlight.empty()) {
      const SentAttempt attempt = driver.inFlight.front();
      if (attempt.endpoint == driver.endpoint(9)) driver.reportResult(attempt, Outcome::overloaded, false);
      else driver.reportServed(attempt);
    }
  }
  sentToWarm = driver.countSentTo(driver.endpoint(0));
  EXPECT_GT(driver.countSentTo(driver.endpoint(9)), 0u);
  EXPECT_LT(static_cast<double>(driver.countSentTo(driver.endpoint(9))),
            0.6 * static_cast<double>(sentToWarm));
}

TEST(SlowStart, LimitsAttemptsIfAllEndpointsAreInSlowStart) {
  Settings settings = makeSettings();
  Driver driver(settings, 0);
  std::vector<EndpointInfo> list;
  for (int i = 0; i < 3; ++i) {
    list.push_back(makeHost(i));
    list.back().startedAt = driver.now;
  }
  driver.balancer.onEndpoints(driver.now, EndpointListKind::replace, list);
  for (int i = 0; i < 400; ++i) {
    driver.request(0);
    driver.advance(milliseconds(5));
    while (!driver.inFlight.empty()) driver.reportServed(SentAttempt(driver.inFlight.front()));
  }
  EXPECT_GT(driver.sentAttempts.size(), 0u);
  EXPECT_LT(driver.sentAttempts.size(), 170u)
      << "of 400: an even share, times what an endpoint in slow start may get";
}

// --- Settings ---

// Messages name a setting by the operators' key or by the class that it belongs to.
TEST(SettingsValidation, InvalidSettingThrowsWithItsName) {
  const auto message = [](const Settings& settings) -> std::string {
    try {
      LoadBalancer balancer(settings, Timestamp{});
    } catch (const std::invalid_argument& e) {
      return e.what();
    }
    return "";
  };
  EXPECT_EQ(message(makeSettings()), "");
  Settings settings = makeSettings();
  settings.classes.clear();
  EXPECT_NE(message(settings).find("class"), std::string::npos);
  settings = makeSettings();
  settings.gatewayCount = 0;
  EXPECT_NE(message(settings).find("groupSize"), std::string::npos);
  settings = makeSettings();
  settings.slowStartInitialFraction = 0;
  EXPECT_NE(message(settings).find("coldShare"), std::string::npos);
  settings = makeSettings();
  settings.classes[1].latencyObjective = Duration{};
  EXPECT_NE(message(settings).find("write"), std::string::npos);
  settings = makeSettings();
  settings.classes[1].priorityWeight = std::nan("");
  EXPECT_NE(message(settings).find("worth"), std::string::npos);
}

// --- Random sequences of valid events: rules 1 to 3 hold, and equal events give equal actions ---

enum class AttemptState { inFlight, neverRan, mayHaveRun };

struct TrackedRequest {
  std::uint32_t classIndex;
  Timestamp deadline;
  bool over = false;  // answered, or its client has disconnected
  std::vector<SentAttempt> attempts;
  std::vector<AttemptState> states;  // of the attempts
};

// Feeds a load balancer 4000 random events, and checks rules 1 to 3 on its actions. Returns the actions as
// text.
std::string playRandomEvents(std::uint64_t seed) {
  Settings settings = makeSettings();
  settings.seed = seed;
  settings.keyAffinity = seed % 2 == 0;
  settings.classes[2].dedupScope = static_cast<DedupScope>(seed % 3);
  std::mt19937_64 engine(seed * 77 + 1);
  const auto below = [&](std::uint64_t n) { return engine() % n; };
  Timestamp now{seconds(50)};
  LoadBalancer balancer(settings, now);
  std::map<RequestId, TrackedRequest> requests;
  std::map<EndpointId, EndpointInfo> entries;
  std::string trace;
  RequestId lastRequest = 0;
  std::vector<EndpointInfo> list;
  for (int i = 0; i < 6; ++i) list.push_back(makeHost(i, i % 3 ? "east" : "west", i % 3));
  balancer.onEndpoints(now, EndpointListKind::restored, list);
  for (const EndpointInfo& info : list) entries[balancer.findEndpoint(info.address)] = info;

  const auto check = [&] {
    for (const Action& action : balancer.actions()) {
      trace +=
          std::to_string(static_cast<int>(action.kind)) + ":" + std::to_string(action.request) + ":" +
          std::to_string(action.endpoint) + ":" +
          std::to_string((action.timeLimit + action.retryAfter + action.wakeAt.time_since_epoch()).count()) +
          " ";
      if (action.kind == ActionKind::scheduleWake || action.kind == ActionKind::log ||
          action.kind == ActionKind::pollEndpoints || action.kind == ActionKind::closeIdle ||
          action.kind == ActionKind::forgetEndpoint)
        continue;
      EXPECT_TRUE(requests.count(action.request));
      TrackedRequest& tracked = requests[action.request];
      const ClassSettings& classSettings = settings.classes[tracked.classIndex];
      bool mayHaveRun = false, hasInFlight = false;
      for (std::size_t i = 0; i < tracked.attempts.size(); ++i) {
        mayHaveRun |= tracked.states[i] != AttemptState::neverRan;
        hasInFlight |= tracked.states[i] == AttemptState::inFlight;
      }
      if (action.kind == ActionKind::send) {
        EXPECT_FALSE(tracked.over);
        EXPECT_LT(now, tracked.deadline);
        EXPECT_LE(now + action.timeLimit, tracked.deadline);
        EXPECT_EQ(entries.at(action.endpoint).state, EndpointState::active);
        EXPECT_EQ(action.attempt, tracked.attempts.size());
        EXPECT_LT(action.attempt, settings.maxAttempts);
        EXPECT_FALSE(hasInFlight);
        if (classSettings.idempotency == Idempotency::unsafe) EXPECT_FALSE(mayHaveRun);
        if (classSettings.idempotency == Idempotency::keyed)
          for (std::size_t i = 0; i < tracked.attempts.size(); ++i) {
            if (tracked.states[i] == AttemptState::neverRan) continue;
            const EndpointInfo &earlier = entries.at(tracked.attempts[i].endpoint),
                               &next = entries.at(action.endpoint);
            if (classSettings.dedupScope != DedupScope::all) EXPECT_EQ(earlier.zone, next.zone);
            if (classSettings.dedupScope == DedupScope::cell) EXPECT_EQ(earlier.cell, next.cell);
            EXPECT_LE(now, tracked.attempts[i].sentAt + classSettings.dedupWindow);
          }
        tracked.attempts.push_back({action.request, action.attempt, action.endpoint, now, action.timeLimit});
        tracked.states.push_back(AttemptState::inFlight);
      } else if (action.kind == ActionKind::reject || action.kind == ActionKind::fail) {
        EXPECT_FALSE(tracked.over);
        EXPECT_LE(now, tracked.deadline);
        tracked.over = true;
        if (action.kind == ActionKind::reject && mayHaveRun) {
          EXPECT_NE(classSettings.idempotency, Idempotency::unsafe);
          if (classSettings.idempotency == Idempotency::keyed)
            EXPECT_EQ(classSettings.dedupScope, DedupScope::all);
        }
      }
    }
    balancer.actions().clear();
  };
  check();
  for (int i = 0; i < 4000; ++i) {
    now += milliseconds(5) * static_cast<int>(below(2));
    const std::uint64_t eventKind = below(10);
    if (eventKind < 4) {
      Request request;
      request.id = ++lastRequest;
      request.classIndex = static_cast<std::uint32_t>(below(3));
      request.timeRemaining = milliseconds(static_cast<int>(below(1000)) + 1);
      request.hasKey = true;
      request.key = below(20);
      requests[request.id] = {request.classIndex, now + request.timeRemaining, false, {}, {}};
      balancer.onRequest(now, request);
    } else if (eventKind < 8 && !requests.empty()) {
      std::vector<std::pair<RequestId, std::size_t>> open;
      for (auto& [id, tracked] : requests)
        for (std::size_t k = 0; k < tracked.attempts.size(); ++k)
          if (tracked.states[k] == AttemptState::inFlight) open.emplace_back(id, k);
      if (!open.empty()) {
        const auto [id, k] = open[below(open.size())];
        TrackedRequest& tracked = requests[id];
        const auto outcome = static_cast<Outcome>(below(9));
        tracked.states[k] =
            outcome == Outcome::overloaded || outcome == Outcome::connectFailed || outcome == Outcome::notSent
                ? AttemptState::neverRan
                : AttemptState::mayHaveRun;
        const bool endsRequest = tracked.over || outcome == Outcome::served;
        if (endsRequest) tracked.over = true;
        balancer.onResult(now, {id, static_cast<std::uint32_t>(k), tracked.attempts[k].endpoint, outcome,
                                now - tracked.attempts[k].sentAt, endsRequest});
      }
    } else if (eventKind == 8 && below(10) == 0) {
      EndpointInfo& info = list[below(list.size())];
      info.state = static_cast<EndpointState>(below(3));
      if (below(3) == 0) info.startedAt = now;
      balancer.onEndpoints(now, EndpointListKind::update, {info});
      // A removed endpoint keeps its id while an open request has attempts there; then the id may be reused.
      if (const EndpointId id = balancer.findEndpoint(info.address); id != kNone) entries[id] = info;
    } else if (below(20) == 0 && lastRequest > 0) {
      const RequestId id = 1 + below(lastRequest);
      if (!requests[id].over) {
        requests[id].over = true;
        balancer.onClientDisconnected(now, id);
      }
    } else {
      balancer.onWake(now);
    }
    check();
    for (auto it = requests.begin(); it != requests.end();) {
      if (!it->second.over)
        EXPECT_LT(now, it->second.deadline + milliseconds(20)) << "request without an answer";
      bool hasInFlight = false;
      for (const AttemptState state : it->second.states) hasInFlight |= state == AttemptState::inFlight;
      if (it->second.over && !hasInFlight) it = requests.erase(it);
      else ++it;
    }
    balancer.onWake(now);  // after every event, since Settings::eventInterval bounds the delay of onWake()
    check();
    if (::testing::Test::HasFailure()) break;
  }
  return trace;
}

TEST(RandomEvents, InvariantsHoldForFixedSeeds) {
  for (std::uint64_t seed = 1; seed <= 24 && !HasFailure(); ++seed) {
    SCOPED_TRACE(seed);
    const std::string trace = playRandomEvents(seed);
    EXPECT_GT(trace.size(), 1000u);
    if (seed <= 6) EXPECT_TRUE(trace == playRandomEvents(seed)) << "equal events must give equal actions";
  }
}

}  // namespace
}  // namespace cairnjunction::policy::testing

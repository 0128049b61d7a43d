// Tests the engine on its own, with a simulated clock: the rules that it enforces regardless of the
// protocols. A scripted upstream ends attempts in any order, also from within start(). Random runs are
// reproducible by their seed.
#include "core/engine.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <random>
#include <set>

namespace cairnjunction {
namespace {

using namespace std::chrono_literals;
using policy::Duration;
using policy::EndpointListKind;
using policy::Idempotency;
using policy::Outcome;
using policy::Timestamp;

policy::Settings settings(std::uint64_t seed) {
  policy::Settings settings;
  settings.seed = seed;
  settings.cancelAllowed = true;
  settings.maxAttempts = 6;
  settings.eventInterval = 5ms;
  for (const auto& [name, idempotency] :
       {std::pair{"read", Idempotency::safe}, std::pair{"write", Idempotency::unsafe},
        std::pair{"put", Idempotency::keyed}}) {
    policy::ClassSettings requestClass;
    requestClass.name = name;
    requestClass.idempotency = idempotency;
    requestClass.latencyObjective = 400ms;
    requestClass.clientTimeout = 1s;
    requestClass.dedupWindow = 2s;
    settings.classes.push_back(requestClass);
  }
  return settings;
}

struct TestRuntime final : Runtime {
  Timestamp at{24h};  // the current time
  Timestamp wake{};   // requested wake-up; zero: none
  int polls = 0;
  Timestamp now() const override { return at; }
  void wakeAt(Timestamp time) override { wake = time; }
  void pollEndpoints() override { ++polls; }
  void requestResync() override {}
  void log(const std::string&) override {}
};

struct TestUpstream final : Upstream {
  struct Started {
    policy::EndpointId endpoint;
    std::string externalId;
    AttemptTimeouts timeouts;
    Timestamp startedAt;
  };
  Engine* engine = nullptr;
  TestRuntime* runtime = nullptr;
  std::map<CallId, std::map<std::uint32_t, Started>> inFlight;  // by call and attempt number
  std::map<std::string, int> started;                           // attempts, by external id
  // Returns the outcome with which an attempt ends within start(), or nothing if it stays in flight.
  std::function<std::optional<Outcome>()> outcomeOnStart;
  std::vector<AttemptKey> cancels, cancelledIfUnsent;
  bool endCancelled = true;  // cancel() ends the attempt
  bool unwritten = false;    // no attempt is written yet, so cancelIfUnsent() ends it
  // Violations: attempts started while another one of the call was in flight, at or after the deadline of the
  // call, or with a write timeout that is not within its dedup window.
  std::size_t overlaps = 0, late = 0, outsideWindow = 0;
  std::map<std::string, Timestamp> windowEnd;  // of keyed calls that may have been executed, by external id
  std::map<std::string, Timestamp> deadlines;  // by external id
  std::set<std::string> mayHaveExecuted;  // external ids of calls that an ended attempt may have executed

  void start(AttemptKey key, policy::EndpointId endpoint, const Call& call,
             const AttemptTimeouts& timeouts) override {
    overlaps += !inFlight[key.call].empty();
    late += deadlines.count(call.externalId) && runtime->at >= deadlines[call.externalId];
    ++started[call.externalId];
    inFlight[key.call].insert_or_assign(key.attempt,
                                        Started{endpoint, call.externalId, timeouts, runtime->at});
    const auto window = windowEnd.find(call.externalId);
    outsideWindow += window != windowEnd.end() &&
                     (timeouts.write <= Duration{} || timeouts.write > window->second - runtime->at);
    if (outcomeOnStart)
      if (const auto outcome = outcomeOnStart()) end(key, *outcome);
  }
  void cancel(AttemptKey key) override {
    cancels.push_back(key);
    if (endCancelled && inFlight[key.call].count(key.attempt)) end(key, Outcome::cancelled);
  }
  void cancelIfUnsent(AttemptKey key) override {
    cancelledIfUnsent.push_back(key);
    if (unwritten && inFlight[key.call].count(key.attempt)) end(key, Outcome::connectFailed);
  }
  void closeIdle(policy::EndpointId) override {}
  void forget(policy::EndpointId) override {}
  // Ends an attempt in flight; the body of its response is the external id of the call.
  void end(AttemptKey key, Outcome outcome) {
    const Started attempt = inFlight.at(key.call).at(key.attempt);
    inFlight[key.call].erase(key.attempt);
    if (outcome != Outcome::overloaded && outcome != Outcome::connectFailed)
      mayHaveExecuted.insert(attempt.externalId);
    AttemptOutcome ended{key, attempt.endpoint, outcome, 1ms, {}};
    ended.response.body = attempt.externalId;
    engine->attemptEnded(std::move(ended));
  }
  std::vector<AttemptKey> keysInFlight() const {
    std::vector<AttemptKey> keys;
    for (const auto& [call, attempts] : inFlight)
      for (const auto& [attempt, unused] : attempts) keys.push_back({call, attempt});
    return keys;
  }
};

struct TestSink final : ReplySink {
  std::map<std::uint64_t, std::vector<Reply>> replies;  // by frontend token
  std::function<void(std::uint64_t)> afterReply;        // called from within onReply() with the token
  void onReply(std::uint64_t token, Reply reply) override {
    replies[token].push_back(std::move(reply));
    if (afterReply) afterReply(token);
  }
};

class EngineTest : public ::testing::Test {
 protected:
  TestRuntime runtime;
  TestUpstream upstream;
  TestSink sink;
  std::unique_ptr<Engine> engine;
  std::uint64_t token = 0;  // frontend token of the last call

  void start(std::uint64_t seed = 7, int endpoints = 3) { start(settings(seed), endpoints); }
  // Creates the engine, with a list of `endpoints` endpoints.
  void start(const policy::Settings& policySettings, int endpoints = 3) {
    engine = std::make_unique<Engine>(policySettings, runtime, upstream);
    upstream.engine = engine.get();
    upstream.runtime = &runtime;
    std::vector<policy::EndpointInfo> entries;
    for (int i = 0; i < endpoints; ++i) {
      policy::EndpointInfo entry;
      entry.address = "h" + std::to_string(i);
      entries.push_back(entry);
    }
    engine->updateEndpoints(EndpointListKind::replace, entries);
  }
  // Passes a call to the engine, which must accept it. Class indexes: 0 safe, 1 unsafe, 2 keyed.
  CallId acceptCall(std::uint32_t classIndex, const std::string& externalId, Duration timeRemaining = 900ms) {
    Call call;
    call.externalId = externalId;
    call.attributes.classIndex = classIndex;
    call.attributes.timeRemaining = timeRemaining;
    upstream.deadlines[externalId] = runtime.at + timeRemaining;
    CallId id = 0;
    EXPECT_EQ(engine->accept(std::move(call), sink, ++token, &id), Engine::AcceptResult::accepted);
    return id;
  }
  // Advances the clock, with all wake-ups that the engine requests.
  void advance(Duration duration) {
    const Timestamp until = runtime.at + duration;
    while (runtime.wake > Timestamp{} && runtime.wake <= until) {
      runtime.at = std::max(runtime.at, runtime.wake);
      runtime.wake = Timestamp{};
      engine->wake();
    }
    runtime.at = until;
  }
};

TEST_F(EngineTest, ServedCallGetsOneReplyWithTheWorkersAnswer) {
  start();
  const CallId id = acceptCall(1, "a");
  ASSERT_EQ(upstream.keysInFlight().size(), 1u);
  upstream.end({id, 0}, Outcome::served);
  ASSERT_EQ(sink.replies[1].size(), 1u);
  EXPECT_EQ(sink.replies[1][0].status, ReplyStatus::ok);
  EXPECT_EQ(sink.replies[1][0].message.body, "a");
  EXPECT_EQ(engine->activeCalls(), 0u);
}

TEST_F(EngineTest, ExternalIdOfAnOpenCallIsNotAcceptedAgainUntilTheCallIsFinished) {
  start();
  const CallId id = acceptCall(1, "a");
  Call again;
  again.externalId = "a";
  again.attributes.classIndex = 1;
  again.attributes.timeRemaining = 900ms;
  EXPECT_EQ(engine->accept(again, sink, 99), Engine::AcceptResult::idInUse);
  EXPECT_EQ(upstream.started["a"], 1);
  upstream.end({id, 0}, Outcome::served);
  EXPECT_EQ(engine->accept(again, sink, 99), Engine::AcceptResult::accepted);
}

TEST_F(EngineTest, ExternalIdStaysInUseWhileAnAttemptIsInFlightAfterTheClientDisconnected) {
  upstream.endCancelled = false;
  start();
  const CallId id = acceptCall(1, "a");
  engine->clientDisconnected(id);
  EXPECT_EQ(upstream.cancels.size(), 1u);
  Call again;
  again.externalId = "a";
  EXPECT_EQ(engine->accept(again, sink, 99), Engine::AcceptResult::idInUse) << "it may still run";
  upstream.end({id, 0}, Outcome::cancelled);
  EXPECT_EQ(engine->activeCalls(), 0u);
  EXPECT_TRUE(sink.replies.empty()) << "the client has disconnected";
}

TEST_F(EngineTest, ExternalIdOfACallThatMayHaveRunIsNotAcceptedAgainForAMinute) {
  upstream.endCancelled = false;
  start();
  const CallId id = acceptCall(1, "a");
  engine->clientDisconnected(id);
  upstream.end({id, 0}, Outcome::cancelled);
  Call again;
  again.externalId = "a";
  again.attributes.classIndex = 1;
  again.attributes.timeRemaining = 900ms;
  EXPECT_EQ(engine->accept(again, sink, 99), Engine::AcceptResult::idInUse);
  advance(61s);
  EXPECT_EQ(engine->accept(again, sink, 99), Engine::AcceptResult::accepted);
}

TEST_F(EngineTest, ExternalIdOfACallThatNeverRanIsAcceptedAgain) {
  upstream.endCancelled = false;
  start();
  const CallId id = acceptCall(1, "a");
  engine->clientDisconnected(id);
  upstream.end({id, 0}, Outcome::connectFailed);
  acceptCall(1, "a");
}

// The process is about to be killed. Each call gets its final reply before that, whether it is in flight,
// queued by key or between two attempts, and no attempt of it starts afterwards.
TEST_F(EngineTest, EachCallGetsItsReplyBeforeTheKill) {
  for (const bool cancel : {true, false}) {
    SCOPED_TRACE(cancel);
    policy::Settings policySettings = settings(7);
    policySettings.cancelAllowed = cancel;
    policySettings.classes[1].serializedByKey = true;
    start(policySettings);
    sink.replies.clear();
    upstream.inFlight.clear();
    upstream.started.clear();
    token = 0;
    for (const std::string name : {"sent", "in turn"}) {
      Call call;
      call.externalId = name;
      call.attributes.classIndex = 1;
      call.attributes.timeRemaining = 900ms;
      call.attributes.key = 5;
      call.attributes.hasKey = true;
      upstream.deadlines[name] = runtime.at + 900ms;
      engine->accept(std::move(call), sink, ++token);
    }
    const CallId keyed = acceptCall(2, "keyed");
    upstream.end({keyed, 0}, Outcome::reset);
    const CallId endsBefore = acceptCall(0, "within", 400ms);
    ASSERT_EQ(upstream.started["sent"], 1);
    ASSERT_EQ(upstream.started["in turn"], 0);
    engine->expectKillAt(runtime.at + 460ms);
    advance(100ms);
    upstream.end({endsBefore, 0}, Outcome::served);
    advance(199ms);
    ASSERT_EQ(sink.replies.size(), 1u) << "the others are left alone until 160 ms before the kill";
    advance(1ms);
    const auto statusOf = [&](std::uint64_t replyToken) { return sink.replies[replyToken].at(0).status; };
    ASSERT_EQ(sink.replies.size(), 4u);
    EXPECT_EQ(statusOf(1), ReplyStatus::failed) << "it may be executed";
    EXPECT_EQ(statusOf(2), ReplyStatus::rejected) << "it was never sent";
    EXPECT_EQ(statusOf(3), ReplyStatus::failed) << "its first attempt may have been executed";
    EXPECT_EQ(statusOf(4), ReplyStatus::ok) << "it was answered before";
    EXPECT_EQ(engine->awaitingReply(), 0u);
    const auto started = upstream.started;
    for (const AttemptKey key : upstream.keysInFlight()) upstream.end(key, Outcome::reset);
    EXPECT_EQ(upstream.started, started);
    EXPECT_EQ(engine->activeCalls(), 0u);
    for (const auto& [replyToken, replies] : sink.replies) EXPECT_EQ(replies.size(), 1u);
  }
}

// Even if the settings do not allow cancelling, an attempt that is not completely written yet is cancelled
// when its client disconnects.
TEST_F(EngineTest, UnsentAttemptIsCancelledOnDisconnectRegardlessOfTheSettings) {
  for (const bool cancel : {true, false})
    for (const std::uint32_t classIndex : {0u, 1u, 2u}) {
      SCOPED_TRACE(std::to_string(cancel) + " " + std::to_string(classIndex));
      upstream.cancelledIfUnsent.clear();
      upstream.endCancelled = false;
      upstream.unwritten = true;
      policy::Settings policySettings = settings(7);
      policySettings.cancelAllowed = cancel;
      start(policySettings);
      const CallId id = acceptCall(classIndex, "a");
      engine->clientDisconnected(id);
      ASSERT_EQ(upstream.cancelledIfUnsent.size(), 1u);
      EXPECT_EQ(upstream.cancelledIfUnsent[0], (AttemptKey{id, 0}));
      EXPECT_EQ(engine->activeCalls(), 0u);
      EXPECT_EQ(upstream.started["a"], 1) << "no other attempt is started instead";
      upstream.started.clear();
    }
}

TEST_F(EngineTest, WrittenAttemptContinuesAfterDisconnectIfCancellingIsNotAllowed) {
  policy::Settings policySettings = settings(7);
  policySettings.cancelAllowed = false;
  start(policySettings);
  const CallId id = acceptCall(1, "a");
  engine->clientDisconnected(id);
  EXPECT_TRUE(upstream.cancels.empty());
  EXPECT_EQ(engine->activeCalls(), 1u) << "its external id stays in use";
  upstream.end({id, 0}, Outcome::served);
  EXPECT_EQ(engine->activeCalls(), 0u);
  EXPECT_TRUE(sink.replies.empty());
}

// Workers drop repeats for a limited time only. The dedup window counts from the first attempt that may have
// been executed, although later attempts may have been executed too.
TEST_F(EngineTest, KeyedCallIsRepeatedOnlyWithinTheDedupWindowOfItsFirstPossibleExecution) {
  policy::Settings policySettings = settings(7);
  policySettings.classes[2].dedupWindow = 300ms;
  start(policySettings);
  const CallId id = acceptCall(2, "a");
  EXPECT_EQ(upstream.inFlight[id].at(0).timeouts.write, Duration::max()) << "no execution is possible yet";
  advance(40ms);
  upstream.end({id, 0}, Outcome::connectFailed);
  ASSERT_EQ(upstream.started["a"], 2);
  EXPECT_EQ(upstream.inFlight[id].at(1).timeouts.write, Duration::max()) << "still not executed";
  advance(100ms);
  upstream.end({id, 1}, Outcome::reset);
  ASSERT_EQ(upstream.started["a"], 3);
  const Duration writeTimeout = upstream.inFlight[id].at(2).timeouts.write;
  EXPECT_LT(writeTimeout, 200ms) << "counted from the start of the attempt that may have been executed";
  EXPECT_GT(writeTimeout, 180ms);
  advance(50ms);
  upstream.end({id, 2}, Outcome::reset);
  ASSERT_EQ(upstream.started["a"], 4);
  EXPECT_EQ(upstream.inFlight[id].at(3).timeouts.write, writeTimeout - 50ms)
      << "not counted from the later attempt";
  advance(160ms);
  upstream.end({id, 3}, Outcome::connectFailed);
  EXPECT_EQ(upstream.started["a"], 4) << "the dedup window has ended";
  ASSERT_EQ(sink.replies[1].size(), 1u);
}

TEST_F(EngineTest, DuplicateOutcomeAndOutcomeOfAnUnknownCallAreIgnored) {
  start();
  const CallId id = acceptCall(1, "a");
  engine->attemptEnded({{id, 0}, 0, Outcome::served, 1ms, {}});
  engine->attemptEnded({{id, 0}, 0, Outcome::served, 1ms, {}});
  engine->attemptEnded({{77, 0}, 0, Outcome::reset, 1ms, {}});
  EXPECT_EQ(sink.replies[1].size(), 1u);
}

TEST_F(EngineTest, CallGetsItsReplyByItsDeadlineIfTheUpstreamReportsNothing) {
  upstream.endCancelled = false;
  start();
  acceptCall(1, "unsafe");
  acceptCall(0, "safe");
  advance(900ms);
  ASSERT_EQ(sink.replies[1].size(), 1u);
  EXPECT_EQ(sink.replies[1][0].status, ReplyStatus::failed) << "it may have been executed";
  ASSERT_EQ(sink.replies[2].size(), 1u);
  EXPECT_EQ(sink.replies[2][0].status, ReplyStatus::rejected);
  EXPECT_EQ(upstream.started["unsafe"], 1);
}

TEST_F(EngineTest, AttemptsOfACallNeverOverlapIfTheLoadBalancerHedges) {
  policy::Settings policySettings = settings(7);
  policySettings.hedging = true;  // requests a second attempt if the first one is slow
  engine = std::make_unique<Engine>(policySettings, runtime, upstream);
  upstream.engine = engine.get();
  upstream.runtime = &runtime;
  policy::EndpointInfo a, b;
  a.address = "a";
  b.address = "b";
  engine->updateEndpoints(EndpointListKind::replace, {a, b});
  for (int i = 0; i < 20; ++i) upstream.end({acceptCall(0, "quick" + std::to_string(i)), 0}, Outcome::served);
  const CallId slow = acceptCall(0, "slow");
  advance(200ms);  // many times the usual latency
  EXPECT_GT(engine->violations(), 0u) << "the load balancer requested a hedge";
  EXPECT_EQ(upstream.overlaps, 0u);
  EXPECT_EQ(upstream.started["slow"], 1);
  upstream.end({slow, 0}, Outcome::served);
  ASSERT_EQ(sink.replies[token].size(), 1u);
  EXPECT_EQ(sink.replies[token][0].status, ReplyStatus::ok);
  EXPECT_EQ(engine->activeCalls(), 0u);
}

// A large answer is streamed: the client gets the reply when the answer starts, but whether the call was
// served is known only at its end.
TEST_F(EngineTest, StreamedAnswerIsTheReplyAtItsStartAndIsCountedAtItsEnd) {
  start();
  const CallId id = acceptCall(1, "a");
  AttemptOutcome responseStart{{id, 0}, upstream.inFlight[id].at(0).endpoint, Outcome::served, 1ms, {}};
  responseStart.response.rest = std::make_shared<BodyStream>(16);
  engine->responseStarted(responseStart);
  ASSERT_EQ(sink.replies[1].size(), 1u);
  EXPECT_EQ(sink.replies[1][0].status, ReplyStatus::ok);
  EXPECT_EQ(engine->awaitingReply(), 1u);
  EXPECT_EQ(engine->replyCounts()[1].ok, 0u);
  upstream.end({id, 0}, Outcome::reset);
  EXPECT_EQ(sink.replies[1].size(), 1u);
  EXPECT_EQ(engine->replyCounts()[1].failed, 1u) << "the answer is incomplete";
  EXPECT_EQ(engine->awaitingReply(), 0u);
  EXPECT_EQ(engine->activeCalls(), 0u);
}

// The client's connection breaks while the first bytes of a streamed answer are written to it: the attempt
// ends from within the reply, and the call is removed before the reply returns.
TEST_F(EngineTest, StreamedAnswerMayEndFromWithinItsReply) {
  start();
  const CallId id = acceptCall(1, "a");
  sink.afterReply = [&](std::uint64_t) { upstream.end({id, 0}, Outcome::cancelled); };
  engine->responseStarted({{id, 0}, upstream.inFlight[id].at(0).endpoint, Outcome::served, 1ms, {}});
  EXPECT_EQ(sink.replies[1].size(), 1u);
  EXPECT_EQ(engine->activeCalls(), 0u);
  EXPECT_EQ(engine->awaitingReply(), 0u);
}

TEST_F(EngineTest, StreamedAnswerIsDroppedAfterTheClientDisconnected) {
  upstream.endCancelled = false;
  start();
  const CallId id = acceptCall(1, "a");
  engine->clientDisconnected(id);
  AttemptOutcome responseStart{{id, 0}, upstream.inFlight[id].at(0).endpoint, Outcome::served, 1ms, {}};
  responseStart.response.rest = std::make_shared<BodyStream>(16);
  engine->responseStarted(responseStart);
  EXPECT_TRUE(responseStart.response.rest->left());
  EXPECT_TRUE(sink.replies.empty());
}

class DelayedAnswer : public EngineTest {
 protected:
  // The upstream reports that the answer has begun and is not complete at the objective.
  void delay(CallId id, std::uint32_t attempt = 0) {
    engine->responseDelayed(
        {{id, attempt}, upstream.inFlight[id].at(attempt).endpoint, Outcome::served, 1ms, {}});
  }
  // A call whose attempt 0 has ended with `first`, and the answer to whose attempt 1 is delayed.
  CallId delayedAfter(Outcome first, std::uint32_t classIndex, const std::string& externalId) {
    const CallId id = acceptCall(classIndex, externalId);
    upstream.end({id, 0}, first);
    EXPECT_EQ(upstream.inFlight[id].count(1), 1u) << externalId << " was not retried";
    if (upstream.inFlight[id].contains(1)) delay(id, 1);
    return id;
  }
  // The status of the latest call's only reply.
  std::optional<ReplyStatus> replyStatus() const {
    const auto replies = sink.replies.find(token);
    if (replies == sink.replies.end() || replies->second.size() != 1) return std::nullopt;
    return replies->second.front().status;
  }
};

// The load balancer's deadline for the reply must not end the call: the endpoint has answered.
TEST_F(DelayedAnswer, IsTheReplyAsSoonAsItIsComplete) {
  start();
  const CallId id = acceptCall(1, "a");
  advance(390ms);
  delay(id);
  advance(500ms);
  EXPECT_TRUE(sink.replies.empty());
  EXPECT_EQ(engine->awaitingReply(), 1u);
  upstream.end({id, 0}, Outcome::served);
  ASSERT_EQ(sink.replies[token].size(), 1u);
  EXPECT_EQ(sink.replies[token][0].status, ReplyStatus::ok);
  EXPECT_EQ(sink.replies[token][0].message.body, "a");
  EXPECT_EQ(engine->replyCounts()[1].ok, 1u);
  EXPECT_EQ(engine->activeCalls(), 0u);
  EXPECT_TRUE(upstream.cancels.empty());
}

TEST_F(DelayedAnswer, ThatBreaksIsNotRetried) {
  start();
  for (const std::uint32_t classIndex : {0u, 1u, 2u}) {
    const CallId id = acceptCall(classIndex, "a" + std::to_string(classIndex));
    delay(id);
    upstream.end({id, 0}, Outcome::reset);
    ASSERT_EQ(sink.replies[token].size(), 1u);
    EXPECT_EQ(sink.replies[token][0].status, classIndex == 0 ? ReplyStatus::rejected : ReplyStatus::failed);
    EXPECT_EQ(upstream.started["a" + std::to_string(classIndex)], 1);
  }
  EXPECT_EQ(engine->activeCalls(), 0u);
}

// A call that an earlier attempt may have executed was rejected because its delayed attempt never ran, and
// its client sent it again.
TEST_F(DelayedAnswer, ThatSaysItNeverRanDoesNotRejectACallThatMayHaveRunBefore) {
  for (const Outcome first : {Outcome::reset, Outcome::timeout, Outcome::error, Outcome::cancelled})
    for (const Outcome second : {Outcome::overloaded, Outcome::connectFailed}) {
      start();
      SCOPED_TRACE(std::string(nameOf(first)) + ", then " + std::string(nameOf(second)));
      const CallId keyed = delayedAfter(first, 2, "keyed");
      upstream.end({keyed, 1}, second);
      EXPECT_EQ(replyStatus(), ReplyStatus::failed);
      const CallId safe = delayedAfter(first, 0, "safe");
      upstream.end({safe, 1}, second);
      EXPECT_EQ(replyStatus(), ReplyStatus::rejected) << "a safe call may always be repeated";
      EXPECT_EQ(engine->activeCalls(), 0u);
    }
}

TEST_F(DelayedAnswer, ThatSaysItNeverRanRejectsACallThatNeverRan) {
  for (const Outcome first : {Outcome::overloaded, Outcome::connectFailed})
    for (const std::uint32_t classIndex : {0u, 1u, 2u}) {
      start();
      SCOPED_TRACE(std::string(nameOf(first)) + ", class " + std::to_string(classIndex));
      const CallId id = delayedAfter(first, classIndex, "a");
      upstream.end({id, 1}, Outcome::overloaded);
      EXPECT_EQ(replyStatus(), ReplyStatus::rejected);
      const CallId atOnce = acceptCall(classIndex, "b");
      delay(atOnce);
      upstream.end({atOnce, 0}, Outcome::overloaded);
      EXPECT_EQ(replyStatus(), ReplyStatus::rejected);
    }
}

// An attempt whose answer is delayed may have been executed until its end says otherwise.
TEST_F(DelayedAnswer, IsNoProofThatAnUnsafeCallNeverRan) {
  start();
  const CallId overdue = delayedAfter(Outcome::connectFailed, 1, "overdue");
  advance(2s);
  EXPECT_EQ(replyStatus(), ReplyStatus::failed);
  EXPECT_EQ(upstream.cancels.back(), (AttemptKey{overdue, 1}));
  delayedAfter(Outcome::connectFailed, 1, "killed");
  engine->expectKillAt(runtime.at + 260ms);
  advance(100ms);
  EXPECT_EQ(replyStatus(), ReplyStatus::failed);
}

// The client is owed its final answer, however long the upstream takes to end the attempt.
TEST_F(DelayedAnswer, HasItsReplyHalfASecondBehindItsDeadlineAtTheLatest) {
  start();
  for (const std::uint32_t classIndex : {0u, 1u, 2u}) {
    const CallId id = acceptCall(classIndex, "a" + std::to_string(classIndex));
    const policy::Timestamp deadline = runtime.at + 900ms;
    delay(id);
    while (sink.replies[token].empty() && runtime.at < deadline + 2s) advance(10ms);
    EXPECT_GE(runtime.at, deadline + 300ms) << "its answer is under way";
    EXPECT_LE(runtime.at, deadline + 350ms);
    ASSERT_EQ(sink.replies[token].size(), 1u);
    EXPECT_EQ(sink.replies[token][0].status, classIndex == 0 ? ReplyStatus::rejected : ReplyStatus::failed);
    EXPECT_EQ(upstream.cancels.back(), (AttemptKey{id, 0}));
  }
}

TEST_F(DelayedAnswer, MayBeStreamedLater) {
  start();
  const CallId id = acceptCall(1, "a");
  delay(id);
  engine->responseStarted({{id, 0}, upstream.inFlight[id].at(0).endpoint, Outcome::served, 1ms, {}});
  ASSERT_EQ(sink.replies[token].size(), 1u);
  upstream.end({id, 0}, Outcome::served);
  EXPECT_EQ(sink.replies[token].size(), 1u);
  EXPECT_EQ(engine->replyCounts()[1].ok, 1u);
  EXPECT_EQ(engine->activeCalls(), 0u);
}

TEST_F(DelayedAnswer, IsCancelledWhenItsClientLeaves) {
  start();
  const CallId id = acceptCall(1, "a");
  delay(id);
  engine->clientDisconnected(id);
  EXPECT_EQ(upstream.cancels, (std::vector<AttemptKey>{{id, 0}}));
  EXPECT_TRUE(sink.replies.empty());
  EXPECT_EQ(engine->activeCalls(), 0u);
}

TEST_F(DelayedAnswer, GetsItsReplyBeforeTheKill) {
  start();
  const CallId id = acceptCall(1, "a");
  delay(id);
  engine->expectKillAt(runtime.at + 260ms);
  advance(99ms);
  EXPECT_TRUE(sink.replies[token].empty()) << "its answer is under way";
  advance(1ms);
  ASSERT_EQ(sink.replies[token].size(), 1u);
  EXPECT_EQ(sink.replies[token][0].status, ReplyStatus::failed) << "it may have run";
  EXPECT_EQ(engine->activeCalls(), 0u);
}

// A call that was accepted late in a shutdown: its answer was awaited past its deadline, and past the kill.
TEST_F(DelayedAnswer, OfACallThatWasAcceptedLateIsNotAwaitedPastTheKill) {
  for (const Duration behindDeadline : {-50ms, 0ms, 50ms}) {
    start();
    engine->expectKillAt(runtime.at + 700ms);
    engine->limitTimeRemaining(400ms);
    const CallId id = acceptCall(1, "a");
    advance(350ms);
    delay(id);
    advance(50ms + behindDeadline);
    EXPECT_TRUE(sink.replies[token].empty());
    advance(140ms - behindDeadline);
    EXPECT_EQ(replyStatus(), ReplyStatus::failed) << "160 ms before the kill";
    EXPECT_EQ(upstream.cancels.back(), (AttemptKey{id, 0}));
  }
}

// Also where its class has more time than the process, and no limit was set when it was accepted.
TEST_F(EngineTest, CallAcceptedAfterTheLastReplyIsRejectedAndNotSent) {
  start();
  engine->expectKillAt(runtime.at + 200ms);
  acceptCall(1, "before");
  EXPECT_EQ(upstream.started["before"], 1);
  advance(100ms);
  for (const std::uint32_t classIndex : {0u, 1u, 2u}) {
    acceptCall(classIndex, "behind" + std::to_string(classIndex));
    ASSERT_EQ(sink.replies[token].size(), 1u);
    EXPECT_EQ(sink.replies[token][0].status, ReplyStatus::rejected);
  }
  EXPECT_EQ(upstream.started.size(), 1u);
}

// Slow answers of sound endpoints must not look like failures, by which others would be rejected.
TEST_F(DelayedAnswer, IsNoFailureOfItsEndpoint) {
  start();
  for (int i = 0; i < 60; ++i) {
    const CallId id = acceptCall(1, "a" + std::to_string(i));
    ASSERT_FALSE(upstream.inFlight[id].empty()) << "rejected: " << i;
    advance(50ms);
    delay(id);
    upstream.end({id, 0}, Outcome::served);
  }
  EXPECT_EQ(engine->replyCounts()[1].ok, 60u);
  EXPECT_EQ(engine->endpointCounts().avoided, 0u);
}

// The load balancer may reject a keyed call whose repeat any endpoint would drop. Its client may come back
// when the dedup window is over, and the call ran twice.
TEST_F(EngineTest, KeyedCallThatMayHaveRunIsFailedThoughEachEndpointWouldDropItsRepeat) {
  for (const auto& [outcome, status] :
       {std::pair{Outcome::reset, ReplyStatus::failed}, std::pair{Outcome::error, ReplyStatus::failed},
        std::pair{Outcome::timeout, ReplyStatus::failed},
        std::pair{Outcome::overloaded, ReplyStatus::rejected}}) {
    policy::Settings policySettings = settings(7);
    policySettings.classes[2].dedupScope = policy::DedupScope::all;
    policySettings.maxAttempts = 1;
    start(policySettings);
    const CallId id = acceptCall(2, "a");
    upstream.end({id, 0}, outcome);
    ASSERT_EQ(sink.replies[token].size(), 1u);
    EXPECT_EQ(sink.replies[token][0].status, status);
    EXPECT_EQ(engine->violations(), 0u) << "its rules allow it";
  }
}

TEST_F(EngineTest, NextCallMayBeAcceptedFromWithinAReply) {
  start();
  upstream.outcomeOnStart = [] { return Outcome::served; };
  int remaining = 50;
  sink.afterReply = [&](std::uint64_t) {
    if (remaining-- > 0) acceptCall(0, "next" + std::to_string(remaining));
  };
  acceptCall(0, "first");
  EXPECT_EQ(sink.replies.size(), 51u);
  EXPECT_EQ(engine->activeCalls(), 0u);
}

// Random events of all kinds. Expected in every run: each call has one reply, or none if its client has
// disconnected; no attempts of a call overlap; none starts at or after the deadline, or after its client has
// disconnected; an unsafe call is repeated only if no attempt of it may have been executed, and a keyed call
// only within its dedup window; neither is rejected if an attempt of it may have been executed.
class EngineProperty : public EngineTest, public ::testing::WithParamInterface<int> {};

TEST_P(EngineProperty, OneReplyAndNoOverlapUnderRandomEvents) {
  std::mt19937_64 random(static_cast<std::uint64_t>(GetParam()));
  const auto below = [&](std::uint64_t n) { return random() % n; };
  upstream.endCancelled = GetParam() % 2 == 0;
  upstream.unwritten = GetParam() % 5 == 0;
  policy::Settings policySettings = settings(random());
  policySettings.cancelAllowed = GetParam() % 4 != 1;
  policySettings.classes[2].dedupWindow = GetParam() % 3 == 1 ? 150ms : 2000ms;
  policySettings.classes[2].dedupScope =
      GetParam() % 2 == 0 ? policy::DedupScope::zone : policy::DedupScope::all;  // the zone has all endpoints
  start(policySettings, 4);
  const std::vector<Outcome> outcomes{Outcome::served,  Outcome::error, Outcome::overloaded,
                                      Outcome::timeout, Outcome::reset, Outcome::connectFailed,
                                      Outcome::served};
  if (GetParam() % 3 == 0)
    upstream.outcomeOnStart = [&]() -> std::optional<Outcome> {
      if (below(4)) return std::nullopt;
      return below(2) ? Outcome::connectFailed : Outcome::overloaded;
    };
  std::map<CallId, std::uint64_t> tokens;
  std::set<std::uint64_t> disconnected;             // tokens
  std::map<std::string, bool> mayHaveExecutedOnce;  // by external id
  std::map<CallId, std::string> externalIds;
  std::map<std::string, int> startedAtDisconnect;  // number of attempts, by external id
  Timestamp lastReplyAt = Timestamp::max();
  for (int i = 0; i < 3000; ++i) {
    switch (below(10)) {
      case 0:
      case 1:
      case 2: {
        const auto classIndex = static_cast<std::uint32_t>(below(3));
        const std::string externalId = std::to_string(classIndex) + "-" + std::to_string(i);
        const CallId id = acceptCall(classIndex, externalId, std::chrono::milliseconds(below(1000)));
        tokens[id] = token;
        externalIds[id] = externalId;
        break;
      }
      case 3:
      case 4:
      case 5: {
        const auto keys = upstream.keysInFlight();
        if (keys.empty()) break;
        const AttemptKey key = keys[below(keys.size())];
        const Outcome outcome = outcomes[below(outcomes.size())];
        const TestUpstream::Started attempt = upstream.inFlight[key.call].at(key.attempt);
        const std::string& externalId = attempt.externalId;
        const int startedBefore = upstream.started[externalId];
        const bool executionPossible = outcome != Outcome::overloaded && outcome != Outcome::connectFailed;
        if (executionPossible) mayHaveExecutedOnce[externalId] = true;
        if (executionPossible && externalId[0] == '2')
          upstream.windowEnd.emplace(externalId, attempt.startedAt + policySettings.classes[2].dedupWindow);
        upstream.end(key, outcome);
        if (externalId[0] == '1' && mayHaveExecutedOnce[externalId])
          EXPECT_EQ(upstream.started[externalId], startedBefore) << externalId;
        break;
      }
      case 6: {
        if (tokens.empty()) break;
        auto it = tokens.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(below(tokens.size())));
        const auto& [id, callToken] = *it;
        if (!sink.replies.count(callToken) && disconnected.insert(callToken).second)
          startedAtDisconnect[externalIds[id]] = upstream.started[externalIds[id]];
        engine->clientDisconnected(id);
        break;
      }
      case 7:
        advance(std::chrono::milliseconds(below(40)));
        if (runtime.at >= lastReplyAt) EXPECT_EQ(engine->awaitingReply(), 0u) << "the kill is near";
        break;
      case 8:
        lastReplyAt = runtime.at + std::chrono::milliseconds(below(below(2) == 0 ? 40 : 4000));
        engine->expectKillAt(lastReplyAt + 160ms);
        break;
      case 9: {
        const auto keys = upstream.keysInFlight();
        if (keys.empty()) break;
        const AttemptKey key = keys[below(keys.size())];
        const TestUpstream::Started attempt = upstream.inFlight[key.call].at(key.attempt);
        mayHaveExecutedOnce[attempt.externalId] = true;
        if (attempt.externalId[0] == '2')
          upstream.windowEnd.emplace(attempt.externalId,
                                     attempt.startedAt + policySettings.classes[2].dedupWindow);
        engine->responseDelayed({key, attempt.endpoint, Outcome::served, 1ms, {}});
      }
    }
  }
  advance(2s);
  for (const AttemptKey key : upstream.keysInFlight()) upstream.end(key, Outcome::timeout);
  advance(2s);
  EXPECT_EQ(upstream.overlaps, 0u);
  EXPECT_EQ(upstream.late, 0u);
  EXPECT_EQ(upstream.outsideWindow, 0u) << "keyed calls written after their dedup window";
  for (const auto& [externalId, started] : startedAtDisconnect)
    EXPECT_EQ(upstream.started[externalId], started)
        << externalId << " was started after its client had disconnected";
  EXPECT_EQ(engine->violations(), 0u) << "the load balancer requested an attempt that was denied";
  EXPECT_EQ(engine->activeCalls(), 0u);
  for (const auto& [id, callToken] : tokens)
    EXPECT_EQ(sink.replies.count(callToken) ? sink.replies[callToken].size() : 0u,
              disconnected.count(callToken) ? 0u : 1u)
        << callToken;
  for (const auto& [id, callToken] : tokens) {
    const bool rejected =
        sink.replies.count(callToken) && sink.replies[callToken].front().status == ReplyStatus::rejected;
    const std::string& externalId = externalIds[id];
    if (rejected && externalId[0] != '0')
      EXPECT_FALSE(upstream.mayHaveExecuted.contains(externalId)) << externalId;
  }
}
INSTANTIATE_TEST_SUITE_P(Seeds, EngineProperty, ::testing::Range(1, 25));

}  // namespace
}  // namespace cairnjunction

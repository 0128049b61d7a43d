// The engine alone, in a time of its own: what it enforces whatever the protocols around it do. A scripted
// upstream ends attempts in any order, also at once; a seed reproduces a run.
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
  policy::Settings s;
  s.seed = seed;
  s.cancelAllowed = true;
  s.maxAttempts = 6;
  s.eventInterval = 5ms;
  for (const auto& [name, effect] :
       {std::pair{"read", Idempotency::safe}, std::pair{"write", Idempotency::unsafe},
        std::pair{"put", Idempotency::keyed}}) {
    policy::ClassSettings c;
    c.name = name;
    c.idempotency = effect;
    c.latencyObjective = 400ms;
    c.clientTimeout = 1s;
    c.dedupWindow = 2s;
    s.classes.push_back(c);
  }
  return s;
}

struct TestRuntime final : Runtime {
  Timestamp at{24h};
  Timestamp wake{};
  int polls = 0;
  Timestamp now() const override { return at; }
  void wakeAt(Timestamp t) override { wake = t; }
  void pollEndpoints() override { ++polls; }
  void requestResync() override {}
  void log(const std::string&) override {}
};

struct TestUpstream final : Upstream {
  struct Started {
    policy::EndpointId host;
    std::string name;
    AttemptTimeouts limits;
    Timestamp at;
  };
  Engine* engine = nullptr;
  std::map<CallId, std::map<std::uint32_t, Started>> out;
  std::map<std::string, int> started;
  std::function<std::optional<Outcome>()> atOnce;  // how an attempt ends within start(), if it does
  std::vector<AttemptKey> cancels, cancelledIfUnsent;
  bool endCancelled = true, unwritten = false;  // the latter: no attempt is written yet
  std::size_t overlaps = 0, late = 0, outside = 0;
  std::map<std::string, Timestamp> windowEnd;  // of keyed calls that may have run
  TestRuntime* runtime = nullptr;
  std::map<std::string, Timestamp> deadlines;

  void start(AttemptKey key, policy::EndpointId host, const Call& call,
             const AttemptTimeouts& limits) override {
    overlaps += !out[key.call].empty();
    late += deadlines.count(call.externalId) && runtime->at >= deadlines[call.externalId];
    ++started[call.externalId];
    out[key.call].insert_or_assign(key.attempt, Started{host, call.externalId, limits, runtime->at});
    const auto window = windowEnd.find(call.externalId);
    outside += window != windowEnd.end() &&
               (limits.write <= Duration{} || limits.write > window->second - runtime->at);
    if (atOnce)
      if (const auto outcome = atOnce()) end(key, *outcome);
  }
  void cancel(AttemptKey key) override {
    cancels.push_back(key);
    if (endCancelled && out[key.call].count(key.attempt)) end(key, Outcome::cancelled);
  }
  void cancelIfUnsent(AttemptKey key) override {
    cancelledIfUnsent.push_back(key);
    if (unwritten && out[key.call].count(key.attempt)) end(key, Outcome::connectFailed);
  }
  void closeIdle(policy::EndpointId) override {}
  void forget(policy::EndpointId) override {}
  void end(AttemptKey key, Outcome outcome) {
    const Started o = out.at(key.call).at(key.attempt);
    out[key.call].erase(key.attempt);
    AttemptOutcome e{key, o.host, outcome, 1ms, {}};
    e.response.body = o.name;
    engine->attemptEnded(std::move(e));
  }
  std::vector<AttemptKey> open() const {
    std::vector<AttemptKey> keys;
    for (const auto& [call, attempts] : out)
      for (const auto& [attempt, unused] : attempts) keys.push_back({call, attempt});
    return keys;
  }
};

struct TestSink final : ReplySink {
  std::map<std::uint64_t, std::vector<Reply>> replies;
  std::function<void(std::uint64_t)> then;
  void onReply(std::uint64_t token, Reply reply) override {
    replies[token].push_back(std::move(reply));
    if (then) then(token);
  }
};

class EngineTest : public ::testing::Test {
 protected:
  TestRuntime runtime;
  TestUpstream upstream;
  TestSink sink;
  std::unique_ptr<Engine> engine;
  std::uint64_t token = 0;

  void start(std::uint64_t seed = 7, int hosts = 3) { start(settings(seed), hosts); }
  void start(const policy::Settings& with, int hosts = 3) {
    engine = std::make_unique<Engine>(with, runtime, upstream);
    upstream.engine = engine.get();
    upstream.runtime = &runtime;
    std::vector<policy::EndpointInfo> entries;
    for (int i = 0; i < hosts; ++i) {
      policy::EndpointInfo e;
      e.address = "h" + std::to_string(i);
      entries.push_back(e);
    }
    engine->updateEndpoints(EndpointListKind::replace, entries);
  }
  CallId acceptCall(std::uint32_t classIndex, const std::string& name, Duration left = 900ms) {
    Call call;
    call.externalId = name;
    call.attributes.classIndex = classIndex;
    call.attributes.timeRemaining = left;
    upstream.deadlines[name] = runtime.at + left;
    CallId id = 0;
    EXPECT_EQ(engine->accept(std::move(call), sink, ++token, &id), Engine::AcceptResult::accepted);
    return id;
  }
  void advance(Duration time) {
    const Timestamp until = runtime.at + time;
    while (runtime.wake > Timestamp{} && runtime.wake <= until) {
      runtime.at = std::max(runtime.at, runtime.wake);
      runtime.wake = Timestamp{};
      engine->wake();
    }
    runtime.at = until;
  }
};

TEST_F(EngineTest, ServedOnceWithTheWorkersAnswer) {
  start();
  const CallId id = acceptCall(1, "a");
  ASSERT_EQ(upstream.open().size(), 1u);
  upstream.end({id, 0}, Outcome::served);
  ASSERT_EQ(sink.replies[1].size(), 1u);
  EXPECT_EQ(sink.replies[1][0].status, ReplyStatus::ok);
  EXPECT_EQ(sink.replies[1][0].message.body, "a");
  EXPECT_EQ(engine->activeCalls(), 0u);
}

TEST_F(EngineTest, TheExternalIdOfAnOpenCallIsNotAcceptedTwiceAndIsFreeAfterwards) {
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

TEST_F(EngineTest, TheExternalIdStaysInUseWhileAnAttemptOfACallThatNobodyWaitsForIsInFlight) {
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
  EXPECT_TRUE(sink.replies.empty()) << "nobody waits for it";
}

// The process is about to be killed. Whatever a call with a later deadline waits for, it gets its final
// answer before that, and nothing of it is begun afterwards.
TEST_F(EngineTest, CallsWithADeadlineAfterTheKillEndBeforeIt) {
  for (const bool cancel : {true, false}) {
    SCOPED_TRACE(cancel);
    policy::Settings with = settings(7);
    with.cancelAllowed = cancel;
    with.classes[1].serializedByKey = true;
    start(with);
    sink.replies.clear();
    upstream.out.clear();
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
    const CallId again = acceptCall(2, "keyed");
    upstream.end({again, 0}, Outcome::reset);
    const CallId before = acceptCall(0, "within", 400ms);
    ASSERT_EQ(upstream.started["sent"], 1);
    ASSERT_EQ(upstream.started["in turn"], 0);
    engine->failCallsPast(runtime.at + 500ms);
    const auto verdict = [&](std::uint64_t of) { return sink.replies[of].at(0).status; };
    ASSERT_EQ(sink.replies.size(), 3u);
    EXPECT_EQ(verdict(1), ReplyStatus::failed) << "it may run";
    EXPECT_EQ(verdict(2), ReplyStatus::rejected) << "it was never sent";
    EXPECT_EQ(verdict(3), ReplyStatus::failed) << "its first attempt may have run";
    EXPECT_EQ(engine->awaitingReply(), 1u);
    const auto started = upstream.started;
    for (const AttemptKey key : upstream.open())
      if (key.call != before) upstream.end(key, Outcome::reset);
    EXPECT_EQ(upstream.started, started);
    upstream.end({before, 0}, Outcome::served);
    EXPECT_EQ(verdict(4), ReplyStatus::ok) << "it had no time beyond";
    EXPECT_EQ(engine->activeCalls(), 0u);
    for (const auto& [of, replies] : sink.replies) EXPECT_EQ(replies.size(), 1u);
  }
}

// The settings may rule out cancelling: what is not written yet is tokens back all the same.
TEST_F(EngineTest, AnUnsentAttemptIsCancelledWhenItsClientDisconnectsWhateverTheSettingsSay) {
  for (const bool cancel : {true, false})
    for (const std::uint32_t classIndex : {0u, 1u, 2u}) {
      SCOPED_TRACE(std::to_string(cancel) + " " + std::to_string(classIndex));
      upstream.cancelledIfUnsent.clear();
      upstream.endCancelled = false;
      upstream.unwritten = true;
      policy::Settings with = settings(7);
      with.cancelAllowed = cancel;
      start(with);
      const CallId id = acceptCall(classIndex, "a");
      engine->clientDisconnected(id);
      ASSERT_EQ(upstream.cancelledIfUnsent.size(), 1u);
      EXPECT_EQ(upstream.cancelledIfUnsent[0], (AttemptKey{id, 0}));
      EXPECT_EQ(engine->activeCalls(), 0u);
      EXPECT_EQ(upstream.started["a"], 1) << "and none is begun in its place";
      upstream.started.clear();
    }
}

TEST_F(EngineTest, AWrittenAttemptGoesOnWhereItMayNotBeCancelled) {
  policy::Settings with = settings(7);
  with.cancelAllowed = false;
  start(with);
  const CallId id = acceptCall(1, "a");
  engine->clientDisconnected(id);
  EXPECT_TRUE(upstream.cancels.empty());
  EXPECT_EQ(engine->activeCalls(), 1u) << "its name stays tokens";
  upstream.end({id, 0}, Outcome::served);
  EXPECT_EQ(engine->activeCalls(), 0u);
  EXPECT_TRUE(sink.replies.empty());
}

// Workers drop repeats for a limited time only. Later attempts may have been executed too, so the window
// counts from the first.
TEST_F(EngineTest, AKeyedCallThatMayHaveRunIsWrittenOnlyWithinItsWindowFromThatAttempt) {
  policy::Settings with = settings(7);
  with.classes[2].dedupWindow = 300ms;
  start(with);
  const CallId id = acceptCall(2, "a");
  EXPECT_EQ(upstream.out[id].at(0).limits.write, Duration::max()) << "nothing has run";
  advance(40ms);
  upstream.end({id, 0}, Outcome::connectFailed);
  ASSERT_EQ(upstream.started["a"], 2);
  EXPECT_EQ(upstream.out[id].at(1).limits.write, Duration::max()) << "nor now";
  advance(100ms);
  upstream.end({id, 1}, Outcome::reset);
  ASSERT_EQ(upstream.started["a"], 3);
  const Duration left = upstream.out[id].at(2).limits.write;
  EXPECT_LT(left, 200ms) << "from the start of the attempt that may have run";
  EXPECT_GT(left, 180ms);
  advance(50ms);
  upstream.end({id, 2}, Outcome::reset);
  ASSERT_EQ(upstream.started["a"], 4);
  EXPECT_EQ(upstream.out[id].at(3).limits.write, left - 50ms) << "not from the later one";
  advance(160ms);
  upstream.end({id, 3}, Outcome::connectFailed);
  EXPECT_EQ(upstream.started["a"], 4) << "the window is over";
  ASSERT_EQ(sink.replies[1].size(), 1u);
}

TEST_F(EngineTest, AnOutcomeThatComesTwiceOrOfAnUnknownCallIsIgnored) {
  start();
  const CallId id = acceptCall(1, "a");
  engine->attemptEnded({{id, 0}, 0, Outcome::served, 1ms, {}});
  engine->attemptEnded({{id, 0}, 0, Outcome::served, 1ms, {}});
  engine->attemptEnded({{77, 0}, 0, Outcome::reset, 1ms, {}});
  EXPECT_EQ(sink.replies[1].size(), 1u);
}

TEST_F(EngineTest, AtTheDeadlineItIsAnsweredThoughTheUpstreamSaysNothing) {
  upstream.endCancelled = false;
  start();
  acceptCall(1, "unsafe");
  acceptCall(0, "safe");
  advance(900ms);
  ASSERT_EQ(sink.replies[1].size(), 1u);
  EXPECT_EQ(sink.replies[1][0].status, ReplyStatus::failed) << "it may have run";
  ASSERT_EQ(sink.replies[2].size(), 1u);
  EXPECT_EQ(sink.replies[2][0].status, ReplyStatus::rejected);
  EXPECT_EQ(upstream.started["unsafe"], 1);
}

TEST_F(EngineTest, TwoAttemptsOfACallNeverOverlapThoughTheLoadBalancerHedges) {
  policy::Settings s = settings(7);
  s.hedging = true;  // a second copy when the first is slow
  engine = std::make_unique<Engine>(s, runtime, upstream);
  upstream.engine = engine.get();
  upstream.runtime = &runtime;
  policy::EndpointInfo a, b;
  a.address = "a";
  b.address = "b";
  engine->updateEndpoints(EndpointListKind::replace, {a, b});
  for (int i = 0; i < 20; ++i) upstream.end({acceptCall(0, "quick" + std::to_string(i)), 0}, Outcome::served);
  const CallId slow = acceptCall(0, "slow");
  advance(200ms);  // many times the usual
  EXPECT_GT(engine->violations(), 0u) << "the load balancer did try";
  EXPECT_EQ(upstream.overlaps, 0u);
  EXPECT_EQ(upstream.started["slow"], 1);
  upstream.end({slow, 0}, Outcome::served);
  ASSERT_EQ(sink.replies[token].size(), 1u);
  EXPECT_EQ(sink.replies[token][0].status, ReplyStatus::ok);
  EXPECT_EQ(engine->activeCalls(), 0u);
}

// A large answer is passed on while it comes: the client has its reply when it begins, and whether the call
// was served is known only when it ends.
TEST_F(EngineTest, AStreamedAnswerIsTheReplyAtItsBeginAndIsCountedAtItsEnd) {
  start();
  const CallId id = acceptCall(1, "a");
  AttemptOutcome begun{{id, 0}, upstream.out[id].at(0).host, Outcome::served, 1ms, {}};
  begun.response.rest = std::make_shared<BodyStream>(16);
  engine->responseStarted(begun);
  ASSERT_EQ(sink.replies[1].size(), 1u);
  EXPECT_EQ(sink.replies[1][0].status, ReplyStatus::ok);
  EXPECT_EQ(engine->awaitingReply(), 1u);
  EXPECT_EQ(engine->replyCounts()[1].ok, 0u);
  upstream.end({id, 0}, Outcome::reset);
  EXPECT_EQ(sink.replies[1].size(), 1u);
  EXPECT_EQ(engine->replyCounts()[1].failed, 1u) << "it broke off";
  EXPECT_EQ(engine->awaitingReply(), 0u);
  EXPECT_EQ(engine->activeCalls(), 0u);
}

// The client's connection breaks while the first bytes of a streamed answer are written to it: the attempt
// ends from within the reply, and the call is gone before the reply returns.
TEST_F(EngineTest, AStreamedAnswerMayEndFromWithinItsReply) {
  start();
  const CallId id = acceptCall(1, "a");
  sink.then = [&](std::uint64_t) { upstream.end({id, 0}, Outcome::cancelled); };
  engine->responseStarted({{id, 0}, upstream.out[id].at(0).host, Outcome::served, 1ms, {}});
  EXPECT_EQ(sink.replies[1].size(), 1u);
  EXPECT_EQ(engine->activeCalls(), 0u);
  EXPECT_EQ(engine->awaitingReply(), 0u);
}

TEST_F(EngineTest, AStreamedAnswerThatNobodyWaitsForIsLeft) {
  upstream.endCancelled = false;
  start();
  const CallId id = acceptCall(1, "a");
  engine->clientDisconnected(id);
  AttemptOutcome begun{{id, 0}, upstream.out[id].at(0).host, Outcome::served, 1ms, {}};
  begun.response.rest = std::make_shared<BodyStream>(16);
  engine->responseStarted(begun);
  EXPECT_TRUE(begun.response.rest->left());
  EXPECT_TRUE(sink.replies.empty());
}

TEST_F(EngineTest, AReplyMayLeadToTheNextCallFromWithin) {
  start();
  upstream.atOnce = [] { return Outcome::served; };
  int more = 50;
  sink.then = [&](std::uint64_t) {
    if (more-- > 0) acceptCall(0, "next" + std::to_string(more));
  };
  acceptCall(0, "first");
  EXPECT_EQ(sink.replies.size(), 51u);
  EXPECT_EQ(engine->activeCalls(), 0u);
}

// Random events of all kinds. Whatever happens: each call has one reply, or none if disconnected; no attempts
// of one call overlap; none starts late, or after its client left; an unsafe call is started again only if no
// attempt of it may have run, and a keyed one only to be written within its window.
class EngineProperty : public EngineTest, public ::testing::WithParamInterface<int> {};

TEST_P(EngineProperty, OneAnswerAndNoOverlapWhateverHappens) {
  std::mt19937_64 random(static_cast<std::uint64_t>(GetParam()));
  const auto below = [&](std::uint64_t n) { return random() % n; };
  upstream.endCancelled = GetParam() % 2 == 0;
  upstream.unwritten = GetParam() % 5 == 0;
  policy::Settings with = settings(random());
  with.cancelAllowed = GetParam() % 4 != 1;
  with.classes[2].dedupWindow = GetParam() % 3 == 1 ? 150ms : 2000ms;
  start(with, 4);
  const std::vector<Outcome> ends{Outcome::served,  Outcome::error, Outcome::overloaded,
                                  Outcome::timeout, Outcome::reset, Outcome::connectFailed,
                                  Outcome::served};
  if (GetParam() % 3 == 0)
    upstream.atOnce = [&]() -> std::optional<Outcome> {
      if (below(4)) return std::nullopt;
      return below(2) ? Outcome::connectFailed : Outcome::overloaded;
    };
  std::map<CallId, std::uint64_t> tokens;
  std::set<std::uint64_t> disconnected;
  std::map<std::string, bool> ranOnce;  // of unsafe calls: an attempt may have run
  std::map<CallId, std::string> names;
  std::map<std::string, int> startedWhenLeft;
  for (int i = 0; i < 3000; ++i) {
    switch (below(9)) {
      case 0:
      case 1:
      case 2: {
        const auto classIndex = static_cast<std::uint32_t>(below(3));
        const std::string name = std::to_string(classIndex) + "-" + std::to_string(i);
        const CallId id = acceptCall(classIndex, name, std::chrono::milliseconds(below(1000)));
        tokens[id] = token;
        names[id] = name;
        break;
      }
      case 3:
      case 4:
      case 5: {
        const auto open = upstream.open();
        if (open.empty()) break;
        const AttemptKey key = open[below(open.size())];
        const Outcome outcome = ends[below(ends.size())];
        const std::string name = upstream.out[key.call].at(key.attempt).name;
        const int before = upstream.started[name];
        const bool mayHaveRun = outcome != Outcome::overloaded && outcome != Outcome::connectFailed;
        if (mayHaveRun) ranOnce[name] = true;
        if (mayHaveRun && name[0] == '2')
          upstream.windowEnd.emplace(name,
                                     upstream.out[key.call].at(key.attempt).at + with.classes[2].dedupWindow);
        upstream.end(key, outcome);
        if (name[0] == '1' && ranOnce[name]) EXPECT_EQ(upstream.started[name], before) << name;
        break;
      }
      case 6: {
        if (tokens.empty()) break;
        auto it = tokens.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(below(tokens.size())));
        if (!sink.replies.count(it->second) && disconnected.insert(it->second).second)
          startedWhenLeft[names[it->first]] = upstream.started[names[it->first]];
        engine->clientDisconnected(it->first);
        break;
      }
      case 7: advance(std::chrono::milliseconds(below(40))); break;
      case 8: engine->failCallsPast(runtime.at + std::chrono::milliseconds(below(4000)));
    }
  }
  advance(2s);
  for (const AttemptKey key : upstream.open()) upstream.end(key, Outcome::timeout);
  advance(2s);
  EXPECT_EQ(upstream.overlaps, 0u);
  EXPECT_EQ(upstream.late, 0u);
  EXPECT_EQ(upstream.outside, 0u) << "keyed, past its window";
  for (const auto& [name, started] : startedWhenLeft)
    EXPECT_EQ(upstream.started[name], started) << name << " was started after its client had left";
  EXPECT_EQ(engine->violations(), 0u) << "the load balancer asked for nothing that had to be denied";
  EXPECT_EQ(engine->activeCalls(), 0u);
  for (const auto& [id, t] : tokens)
    EXPECT_EQ(sink.replies.count(t) ? sink.replies[t].size() : 0u, disconnected.count(t) ? 0u : 1u) << t;
}
INSTANTIATE_TEST_SUITE_P(Seeds, EngineProperty, ::testing::Range(1, 25));

}  // namespace
}  // namespace cairnjunction

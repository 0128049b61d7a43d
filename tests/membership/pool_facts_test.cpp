// What a pool tells of an attempt's end, for both protocols, over real sockets: why a connection failed,
// which one carried the attempt, whether it was kept, and each change of the count.
#include <deque>

#include "http/upstream.hpp"
#include "jsonrpc/peers.hpp"
#include "jsonrpc/upstream.hpp"
#include "raw_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using policy::ConnectionUse;
using policy::Duration;
using policy::FailureReason;
using policy::Outcome;

struct Setting {
  const char* name;
  bool jsonRpc;
};

class PoolFacts : public LoopTest, public ::testing::WithParamInterface<Setting> {
 protected:
  std::unique_ptr<EndpointUpstream> pool;
  std::deque<AttemptOutcome> ends;
  std::deque<Call> calls;
  std::vector<EndpointConnections> told;
  CallId last = 0;

  std::chrono::milliseconds quiet = 5ms;  // behind an answer, over HTTP

  void make(std::size_t connections = 10, std::chrono::milliseconds connectTimeout = 60s) {
    const auto ended = [this](AttemptOutcome end) { ends.push_back(std::move(end)); };
    if (GetParam().jsonRpc) {
      jsonrpc::Upstream::Limits limits;
      limits.connections = connections;
      limits.connectTimeout = connectTimeout;
      limits.streams = 1;
      pool = std::make_unique<jsonrpc::Upstream>(io, limits, ended);
    } else {
      HttpUpstream::Limits limits;
      limits.quiet = quiet;
      limits.connections = connections;
      limits.connectTimeout = connectTimeout;
      pool = std::make_unique<HttpUpstream>(io, limits, ended);
    }
    pool->onConnections([this](policy::EndpointId host, EndpointConnections now) {
      EXPECT_EQ(host, 1u);
      EXPECT_LE(now.established, now.open);
      told.push_back(now);
    });
  }
  AttemptKey send(const AttemptTimeouts& limits = Duration(60s), std::size_t bodyBytes = 0) {
    calls.emplace_back();  // each lives as long as its attempt
    Call& call = calls.back();
    call.externalId = "c" + std::to_string(++last);
    call.message.operation = "read";
    call.message.target = "/read";
    if (bodyBytes > 0) {
      call.message.format = Format::json;
      call.message.verb = "POST";
      call.message.body = "[\"" + std::string(bodyBytes, 'x') + "\"]";
    }
    pool->start({last, 0}, 1, call, limits);
    return {last, 0};
  }
  AttemptOutcome end() {
    EXPECT_TRUE(until([&] { return !ends.empty(); }));
    if (ends.empty()) return {};
    AttemptOutcome e = std::move(ends.front());
    ends.pop_front();
    return e;
  }
  EndpointConnections now() const { return pool->connectionsOf(1); }

  // A host of either protocol that serves all, or says `instead`.
  std::unique_ptr<Peer> http;
  std::unique_ptr<Worker> rpc;
  std::string instead;
  tcp::endpoint serve() {
    if (!GetParam().jsonRpc) {
      http = std::make_unique<Peer>(
          io, [this](PeerConnection& c) { c.reply(instead.empty() ? answerText(200, "", "ok") : instead); });
      return http->endpoint;
    }
    rpc = std::make_unique<Worker>(io, [this](Lines& from, const json& request) {
      if (instead.empty()) from.say(result(request["id"], "ok"));
      else from.send(instead);
    });
    return rpc->endpoint;
  }
};

TEST_P(PoolFacts, AnAnswerTellsItsConnectionAndThatItWasKept) {
  make();
  pool->updateEndpoint(1, serve(), true);
  ASSERT_EQ(told.size(), 1u) << "also that there is none";
  send();
  AttemptOutcome e = end();
  EXPECT_EQ(e.outcome, Outcome::served);
  EXPECT_EQ(e.connectionUse, ConnectionUse::opened);
  EXPECT_TRUE(e.connectionKept);
  EXPECT_EQ(now().open, 1u);
  send();
  e = end();
  EXPECT_EQ(e.connectionUse, ConnectionUse::reused);
  EXPECT_TRUE(e.connectionKept);
  EXPECT_EQ(now().established, 1u);
  pool->closeIdle(1);
  EXPECT_EQ(now().open, 0u);
  EXPECT_EQ(told.back().open, 0u);
}

TEST_P(PoolFacts, RefusedIsToldAsRefused) {
  make();
  const ReservedPort nobody(io);
  pool->updateEndpoint(1, nobody.endpoint, true);
  send();
  const AttemptOutcome e = end();
  EXPECT_EQ(e.outcome, Outcome::connectFailed);
  EXPECT_EQ(e.failureReason, FailureReason::connectionRefused);
  EXPECT_EQ(e.connectionUse, ConnectionUse::none);
  EXPECT_FALSE(e.connectionKept);
  EXPECT_EQ(now().open, 0u);
}

TEST_P(PoolFacts, AConnectionThatDoesNotComeUpInItsTimeIsSilent) {
  FullListener full(io);
  make(10, 80ms);
  pool->updateEndpoint(1, full.endpoint, true);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  send();
  const AttemptOutcome e = end();
  EXPECT_EQ(e.outcome, Outcome::connectFailed);
  EXPECT_EQ(e.failureReason, FailureReason::connectTimeout);
  EXPECT_EQ(now().open, 0u);
}

TEST_P(PoolFacts, AnAttemptWhoseOwnTimeEndsBeforeThatSaysNothingOfTheHost) {
  FullListener full(io);
  make();
  pool->updateEndpoint(1, full.endpoint, true);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  send(Duration(80ms));
  const AttemptOutcome e = end();
  EXPECT_EQ(e.outcome, Outcome::connectFailed);
  EXPECT_EQ(e.failureReason, FailureReason::attemptTimeout);
}

TEST_P(PoolFacts, WithNoDescriptorLeftNothingIsTried) {
  make(0);
  pool->updateEndpoint(1, serve(), true);
  send();
  const AttemptOutcome e = end();
  EXPECT_EQ(e.outcome, Outcome::connectFailed);
  EXPECT_EQ(e.failureReason, FailureReason::noDescriptor);
  EXPECT_EQ(e.connectionUse, ConnectionUse::none);
  EXPECT_EQ(now().open, 0u);
}

// A drain told while an attempt is dialling: nothing of it may reach the host any more.
TEST_P(PoolFacts, WhatIsDialledWhenItsHostIsDrainedIsTakenBack) {
  FullListener full(io);
  make();
  pool->updateEndpoint(1, full.endpoint, true);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  send();
  EXPECT_EQ(now().open, 1u);
  EXPECT_EQ(now().established, 0u);
  pool->updateEndpoint(1, full.endpoint, false);
  // Over JSON-RPC at once, so its connection may never come up; over HTTP when that does.
  const std::size_t least = GetParam().jsonRpc ? 1 : 2;
  if (GetParam().jsonRpc) ASSERT_TRUE(until([&] { return !ends.empty(); }));
  full.acceptAll();
  const AttemptOutcome e = end();
  EXPECT_EQ(e.outcome, Outcome::connectFailed);
  EXPECT_EQ(e.failureReason, FailureReason::cancelledBeforeSend);
  EXPECT_EQ(now().open, 0u);
  full.dropFillers();
  ASSERT_TRUE(until([&] { return full.taken.size() >= least && full.allEnded(); }));
  EXPECT_EQ(full.received(), 0u);
}

// The same for one that was given another address: the machine at the old one is not this host any more.
TEST_P(PoolFacts, WhatIsDialledWhenItsHostMovesIsTakenBack) {
  FullListener full(io);
  make();
  pool->updateEndpoint(1, full.endpoint, true);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  send();
  EXPECT_TRUE(pool->updateEndpoint(1, serve(), true));
  const std::size_t least = GetParam().jsonRpc ? 1 : 2;
  if (GetParam().jsonRpc) ASSERT_TRUE(until([&] { return !ends.empty(); }));
  full.acceptAll();
  const AttemptOutcome e = end();
  EXPECT_EQ(e.outcome, Outcome::connectFailed);
  EXPECT_EQ(e.failureReason, FailureReason::cancelledBeforeSend);
  full.dropFillers();
  ASSERT_TRUE(until([&] { return full.taken.size() >= least && full.allEnded(); }));
  EXPECT_EQ(full.received(), 0u);
  send();
  EXPECT_EQ(end().outcome, Outcome::served) << "at the new address";
}

// --- What comes behind an answer --------------------------------------------------------------------------

// Over HTTP nothing tells whose answer it is: so nothing is written while one more may come. Over JSON-RPC
// the id does, and it is nobody's.
TEST_P(PoolFacts, ASecondAnswerIsNeverTakenForThatToTheNextCall) {
  if (GetParam().jsonRpc) return;  // EndTheCallsAsTheTableSays has it
  quiet = 600s;
  make();
  pool->updateEndpoint(1, serve(), true);
  send();
  EXPECT_EQ(end().outcome, Outcome::served);
  send();
  http->connections.front()->reply(answerText(200, "", "once more"));
  const AttemptOutcome e = end();
  EXPECT_EQ(e.outcome, Outcome::connectFailed) << "it was never written";
  EXPECT_EQ(e.failureReason, FailureReason::brokenWhileWriting);
  EXPECT_EQ(http->requests.size(), 1u);
  EXPECT_EQ(now().open, 0u);
  send();
  EXPECT_EQ(end().outcome, Outcome::served) << "on another connection";
}

// Whatever ends the attempt while its connection rests, nothing of it came to the host.
TEST_P(PoolFacts, WhileItsConnectionRestsAnAttemptMayEndInAnyWay) {
  if (GetParam().jsonRpc) return;
  quiet = 600s;
  for (const int way : {0, 1, 2, 3, 4, 5}) {
    SCOPED_TRACE(way);
    make();
    pool->updateEndpoint(1, serve(), true);
    send();
    EXPECT_EQ(end().outcome, Outcome::served);
    const AttemptKey key = send();
    Outcome expected = Outcome::connectFailed;
    if (way == 0) pool->cancelIfUnsent(key);
    if (way == 1) pool->cancel(key), expected = Outcome::cancelled;
    if (way == 2) http->connections.front()->close();
    if (way == 3) http->connections.front()->reset();
    if (way >= 4) {
      // The host is drained, or moves: found out when it would be written, so with a shorter rest.
      HttpUpstream::Limits limits;
      limits.quiet = 1s;  // long enough that the list is told within it
      limits.connectTimeout = 60s;
      static_cast<HttpUpstream&>(*pool).setLimits(limits);
      pool->cancelIfUnsent(key);
      end();
      send();
      EXPECT_EQ(end().outcome, Outcome::served);
      send();
      if (way == 4) pool->updateEndpoint(1, http->endpoint, false);
      else pool->updateEndpoint(1, loopback(9), true);
    }
    const std::size_t before = http->requests.size();
    const AttemptOutcome e = end();
    EXPECT_EQ(e.outcome, expected);
    if (way >= 4) EXPECT_EQ(e.failureReason, FailureReason::cancelledBeforeSend);
    EXPECT_EQ(http->requests.size(), before);
    EXPECT_EQ(now().open, 0u);
  }
}

TEST_P(PoolFacts, AConnectionThatHasRestedIsUsedAgain) {
  quiet = 30ms;
  make();
  pool->updateEndpoint(1, serve(), true);
  for (int i = 0; i < 3; ++i) {
    send();
    const AttemptOutcome e = end();
    EXPECT_EQ(e.outcome, Outcome::served);
    EXPECT_EQ(e.connectionUse, i == 0 ? ConnectionUse::opened : ConnectionUse::reused);
  }
  EXPECT_EQ(now().open, 1u);
}

// Of several the latest that has rested, so that few are kept in use; where none has, the first that will
// have.
TEST_P(PoolFacts, OfSeveralTheLatestThatHasRestedIsUsed) {
  if (GetParam().jsonRpc) return;
  for (const bool rested : {false, true}) {
    quiet = rested ? 0ms : 600s;
    make();
    http = std::make_unique<Peer>(io, nullptr);  // answers when it is told to
    pool->updateEndpoint(1, http->endpoint, true);
    for (int i = 0; i < 3; ++i) send();
    ASSERT_TRUE(until([&] { return http->requests.size() == 3; }));
    for (const auto& connection : http->connections) {
      connection->reply(answerText(200, "", "ok"));
      EXPECT_EQ(end().outcome, Outcome::served);
    }
    send();
    http->connections[rested ? 2 : 0]->close();
    EXPECT_EQ(end().outcome, rested ? Outcome::reset : Outcome::connectFailed) << "it was on that one";
    EXPECT_EQ(now().open, 2u);
  }
}

// A host is told the time that is left when it is asked, not when the attempt began to dial.
TEST_P(PoolFacts, TheTimeToldIsWhatIsLeftWhenItIsWritten) {
  if (GetParam().jsonRpc) return;
  using Clock = std::chrono::steady_clock;
  const auto told = [](const std::string& text) {
    const std::string name = "X-Deadline-Ms: ";
    return std::chrono::milliseconds(std::stoll(text.substr(text.find(name) + name.size())));
  };
  make();
  FullListener full(io);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  pool->updateEndpoint(1, full.endpoint, true);
  const auto begun = Clock::now();
  send(Duration(30s));
  ASSERT_TRUE(until([&] { return Clock::now() - begun > 100ms; }));
  const auto dialled = std::chrono::floor<std::chrono::milliseconds>(Clock::now() - begun);
  full.takeAll();
  const auto asked = [&] {
    return std::find_if(full.taken.begin(), full.taken.end(),
                        [](const auto& c) { return c->text.ends_with("\r\n\r\n"); });
  };
  ASSERT_TRUE(until([&] { return asked() != full.taken.end(); }));
  EXPECT_LE(told((*asked())->text), 30s - dialled);
}

// --- What is not written yet ------------------------------------------------------------------------------

TEST_P(PoolFacts, WhatIsDialledIsWithdrawnAndNeverWritten) {
  FullListener full(io);
  make();
  pool->updateEndpoint(1, full.endpoint, true);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  pool->cancelIfUnsent(send());
  const AttemptOutcome e = end();
  EXPECT_EQ(e.outcome, Outcome::connectFailed);
  EXPECT_EQ(e.failureReason, FailureReason::cancelledBeforeSend);
  EXPECT_EQ(now().open, 0u);
  full.takeAll();
  ASSERT_TRUE(until([&] { return full.allLeft(); }));
  EXPECT_EQ(full.received(), 0u);
}

TEST_P(PoolFacts, WhatIsHalfWrittenIsWithdrawnAndNeverWhole) {
  DeafListener deaf(io);
  make();
  pool->updateEndpoint(1, deaf.endpoint, true);
  const AttemptKey key = send(Duration(60s), kMoreThanFits);
  ASSERT_TRUE(until([&] { return now().established == 1 && !deaf.taken.empty(); }));
  EXPECT_EQ(pool->attemptsWritten(), 0u);
  pool->cancelIfUnsent(key);
  const AttemptOutcome e = end();
  EXPECT_EQ(e.outcome, Outcome::connectFailed) << "a host begins with the last byte: it never ran";
  EXPECT_EQ(now().open, 0u);
  deaf.readAll();
  ASSERT_TRUE(until([&] { return deaf.taken.front()->closedByPeer; }));
  EXPECT_LT(deaf.taken.front()->received, kMoreThanFits);
}

TEST_P(PoolFacts, WhatIsWrittenIsNotWithdrawn) {
  make();
  pool->updateEndpoint(1, serve(), true);
  const AttemptKey key = send();
  ASSERT_TRUE(until([&] { return pool->attemptsWritten() == 1; }));
  pool->cancelIfUnsent(key);
  pool->cancelIfUnsent({99, 0});
  EXPECT_EQ(end().outcome, Outcome::served);
}

TEST_P(PoolFacts, WhatIsNotWrittenInItsTimeNeverIs) {
  FullListener full(io);
  make();
  pool->updateEndpoint(1, full.endpoint, true);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  send({60s, 30ms});
  const AttemptOutcome e = end();
  EXPECT_EQ(e.outcome, Outcome::connectFailed);
  EXPECT_EQ(e.failureReason, FailureReason::attemptTimeout);
  full.takeAll();
  ASSERT_TRUE(until([&] { return full.allLeft(); }));
  EXPECT_EQ(full.received(), 0u);
}

TEST_P(PoolFacts, WhatIsHalfWrittenWhenItsTimeIsOverNeverIsWhole) {
  DeafListener deaf(io);
  make();
  pool->updateEndpoint(1, deaf.endpoint, true);
  send({60s, 100ms}, kMoreThanFits);
  const AttemptOutcome e = end();
  EXPECT_EQ(e.outcome, Outcome::connectFailed);
  EXPECT_EQ(e.failureReason, FailureReason::attemptTimeout);
  deaf.readAll();
  ASSERT_TRUE(until([&] { return deaf.taken.front()->closedByPeer; }));
  EXPECT_LT(deaf.taken.front()->received, kMoreThanFits);
}

// Its time is over when the event loop comes to it: on a new connection and on one that rests.
TEST_P(PoolFacts, ALateLoopWritesNothingPastItsTime) {
  make();
  pool->updateEndpoint(1, serve(), true);
  for (const bool fresh : {true, false}) {
    SCOPED_TRACE(fresh);
    send({60s, Duration::zero()});
    const AttemptOutcome e = end();
    EXPECT_EQ(e.outcome, Outcome::connectFailed);
    EXPECT_EQ(e.failureReason, FailureReason::attemptTimeout);
    EXPECT_EQ(pool->attemptsWritten(), fresh ? 0u : 1u);
    send();
    EXPECT_EQ(end().outcome, Outcome::served);
    if (!fresh) break;
  }
  EXPECT_EQ(pool->attemptsWritten(), 2u);
}

TEST_P(PoolFacts, WhatIsWrittenInItsTimeHasAllOfItsTimeForTheAnswer) {
  make();
  pool->updateEndpoint(1, serve(), true);
  std::shared_ptr<PeerConnection> held;
  if (GetParam().jsonRpc) return;  // UpstreamTest has it
  http->script = [&](PeerConnection& c) { held = c.shared_from_this(); };
  send({60s, 40ms});
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  asio::steady_timer passed(io, 100ms);
  bool over = false;
  passed.async_wait([&](error_code) { over = true; });
  ASSERT_TRUE(until([&] { return over; }));
  EXPECT_TRUE(ends.empty());
  held->reply(answerText(200, "", "ok"));
  EXPECT_EQ(end().outcome, Outcome::served);
}

TEST_P(PoolFacts, WhatCannotBeReadIsSpoiltAndItsConnectionIsClosed) {
  make();
  instead = "no protocol at all\r\n\r\n";
  pool->updateEndpoint(1, serve(), true);
  send();
  const AttemptOutcome e = end();
  EXPECT_EQ(e.failureReason, FailureReason::malformedResponse);
  EXPECT_TRUE(e.outcome == Outcome::error || e.outcome == Outcome::reset) << "it may have run";
  EXPECT_FALSE(e.connectionKept);
  EXPECT_EQ(now().open, 0u);
}

TEST_P(PoolFacts, TheEndOfAnIdleConnectionIsToldWithoutAnyAttempt) {
  make();
  pool->updateEndpoint(1, serve(), true);
  send();
  end();
  ASSERT_EQ(now().open, 1u);
  told.clear();
  if (http) http->connections[0]->close();
  else rpc->connections[0]->close();
  ASSERT_TRUE(until([&] { return !told.empty(); }));
  EXPECT_EQ(told.back().open, 0u);
  EXPECT_EQ(told.back().established, 0u);
}

INSTANTIATE_TEST_SUITE_P(All, PoolFacts, ::testing::Values(Setting{"Http", false}, Setting{"JsonRpc", true}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace cairnjunction::testing

// What an upstream reports of the end of an attempt, for both protocols, over loopback sockets: why a
// connection failed, which connection carried the attempt, whether it was kept, and each change of their
// number.
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

struct Protocol {
  const char* name;
  bool jsonRpc;
};

class UpstreamReportTest : public LoopTest, public ::testing::WithParamInterface<Protocol> {
 public:
  std::unique_ptr<EndpointUpstream> upstream;
  std::deque<AttemptOutcome> outcomes;
  std::deque<Call> calls;
  std::vector<EndpointConnections> reported;
  CallId lastCall = 0;

  std::chrono::milliseconds quiet = 5ms;  // after an answer, over HTTP: the connection is not reused before

  void create(std::size_t connections = 10, std::chrono::milliseconds connectTimeout = 60s) {
    const auto ended = [this](AttemptOutcome outcome) { outcomes.push_back(std::move(outcome)); };
    if (GetParam().jsonRpc) {
      jsonrpc::Upstream::Limits limits;
      limits.connections = connections;
      limits.connectTimeout = connectTimeout;
      limits.streams = 1;
      upstream = std::make_unique<jsonrpc::Upstream>(io, limits, ended);
    } else {
      HttpUpstream::Limits limits;
      limits.quiet = quiet;
      limits.connections = connections;
      limits.connectTimeout = connectTimeout;
      upstream = std::make_unique<HttpUpstream>(io, limits, ended);
    }
    upstream->onConnections([this](policy::EndpointId endpoint, EndpointConnections current) {
      EXPECT_EQ(endpoint, 1u);
      EXPECT_LE(current.established, current.open);
      reported.push_back(current);
    });
  }
  AttemptKey send(const AttemptTimeouts& limits = Duration(60s), std::size_t bodyBytes = 0) {
    calls.emplace_back();  // each lives as long as its attempt
    Call& call = calls.back();
    call.externalId = "c" + std::to_string(++lastCall);
    call.message.operation = "read";
    call.message.target = "/read";
    if (bodyBytes > 0) {
      call.message.format = Format::json;
      call.message.verb = "POST";
      call.message.body = "[\"" + std::string(bodyBytes, 'x') + "\"]";
    }
    upstream->start({lastCall, 0}, 1, call, limits);
    return {lastCall, 0};
  }
  AttemptOutcome nextOutcome() {
    EXPECT_TRUE(until([&] { return !outcomes.empty(); }));
    if (outcomes.empty()) return {};
    AttemptOutcome outcome = std::move(outcomes.front());
    outcomes.pop_front();
    return outcome;
  }
  EndpointConnections connections() const { return upstream->connectionsOf(1); }

  // An endpoint of either protocol that serves all, or answers with `rawAnswer` if that is set.
  std::unique_ptr<Peer> httpPeer;
  std::unique_ptr<Worker> jsonRpcPeer;
  std::string rawAnswer;
  tcp::endpoint serve() {
    if (!GetParam().jsonRpc) {
      httpPeer = std::make_unique<Peer>(io, [this](PeerConnection& connection) {
        connection.reply(rawAnswer.empty() ? answerText(200, "", "ok") : rawAnswer);
      });
      return httpPeer->endpoint;
    }
    jsonRpcPeer = std::make_unique<Worker>(io, [this](Lines& from, const json& request) {
      if (rawAnswer.empty()) from.say(result(request["id"], "ok"));
      else from.send(rawAnswer);
    });
    return jsonRpcPeer->endpoint;
  }
};

TEST_P(UpstreamReportTest, ResponseNamesItsConnectionAndThatItWasKept) {
  create();
  upstream->updateEndpoint(1, serve(), true);
  ASSERT_EQ(reported.size(), 1u) << "also that there are none";
  send();
  AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::served);
  EXPECT_EQ(outcome.connectionUse, ConnectionUse::opened);
  EXPECT_TRUE(outcome.connectionKept);
  EXPECT_EQ(connections().open, 1u);
  send();
  outcome = nextOutcome();
  EXPECT_EQ(outcome.connectionUse, ConnectionUse::reused);
  EXPECT_TRUE(outcome.connectionKept);
  EXPECT_EQ(connections().established, 1u);
  upstream->closeIdle(1);
  EXPECT_EQ(connections().open, 0u);
  EXPECT_EQ(reported.back().open, 0u);
}

TEST_P(UpstreamReportTest, RefusalIsReportedAsRefused) {
  create();
  const ReservedPort nobody(io);
  upstream->updateEndpoint(1, nobody.endpoint, true);
  send();
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed);
  EXPECT_EQ(outcome.failureReason, FailureReason::connectionRefused);
  EXPECT_EQ(outcome.connectionUse, ConnectionUse::none);
  EXPECT_FALSE(outcome.connectionKept);
  EXPECT_EQ(connections().open, 0u);
}

TEST_P(UpstreamReportTest, ConnectionThatDoesNotComeUpInItsTimeIsAConnectTimeout) {
  FullListener full(io);
  create(10, 80ms);
  upstream->updateEndpoint(1, full.endpoint, true);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  send();
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed);
  EXPECT_EQ(outcome.failureReason, FailureReason::connectTimeout);
  EXPECT_EQ(connections().open, 0u);
}

TEST_P(UpstreamReportTest, AttemptThatEndsBeforeItsConnectTimeoutSaysNothingOfTheEndpoint) {
  FullListener full(io);
  create();
  upstream->updateEndpoint(1, full.endpoint, true);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  send(Duration(80ms));
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed);
  EXPECT_EQ(outcome.failureReason, FailureReason::attemptTimeout);
}

TEST_P(UpstreamReportTest, WithoutADescriptorNoConnectionIsTried) {
  create(0);
  upstream->updateEndpoint(1, serve(), true);
  send();
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed);
  EXPECT_EQ(outcome.failureReason, FailureReason::noDescriptor);
  EXPECT_EQ(outcome.connectionUse, ConnectionUse::none);
  EXPECT_EQ(connections().open, 0u);
}

// An endpoint is drained while an attempt to it connects. Nothing of the attempt may reach it any more.
TEST_P(UpstreamReportTest, AttemptThatConnectsWhenItsEndpointIsDrainedIsNotSent) {
  FullListener full(io);
  create();
  upstream->updateEndpoint(1, full.endpoint, true);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  send();
  EXPECT_EQ(connections().open, 1u);
  EXPECT_EQ(connections().established, 0u);
  upstream->updateEndpoint(1, full.endpoint, false);
  // Over JSON-RPC at once, so its connection may never come up; over HTTP when that does.
  const std::size_t least = GetParam().jsonRpc ? 1 : 2;
  if (GetParam().jsonRpc) ASSERT_TRUE(until([&] { return !outcomes.empty(); }));
  full.acceptAll();
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed);
  EXPECT_EQ(outcome.failureReason, FailureReason::cancelledBeforeSend);
  EXPECT_EQ(connections().open, 0u);
  full.dropFillers();
  ASSERT_TRUE(until([&] { return full.taken.size() >= least && full.allEnded(); }));
  EXPECT_EQ(full.received(), 0u);
}

// An endpoint gets another address while an attempt to it connects. What is at the old address is not this
// endpoint any more.
TEST_P(UpstreamReportTest, AttemptThatConnectsWhenItsEndpointMovesIsNotSent) {
  FullListener full(io);
  create();
  upstream->updateEndpoint(1, full.endpoint, true);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  send();
  EXPECT_TRUE(upstream->updateEndpoint(1, serve(), true));
  const std::size_t least = GetParam().jsonRpc ? 1 : 2;
  if (GetParam().jsonRpc) ASSERT_TRUE(until([&] { return !outcomes.empty(); }));
  full.acceptAll();
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed);
  EXPECT_EQ(outcome.failureReason, FailureReason::cancelledBeforeSend);
  full.dropFillers();
  ASSERT_TRUE(until([&] { return full.taken.size() >= least && full.allEnded(); }));
  EXPECT_EQ(full.received(), 0u);
  send();
  EXPECT_EQ(nextOutcome().outcome, Outcome::served) << "at the new address";
}

// --- What comes after a response --------------------------------------------------------------------------

// An endpoint answers one call twice. Over HTTP nothing says which call a response belongs to, so nothing is
// written for a quiet time. Over JSON-RPC the id says it belongs to no open call.
TEST_P(UpstreamReportTest, SecondResponseIsNeverTakenForThatToTheNextCall) {
  if (GetParam().jsonRpc) return;  // EndTheCallsAsTheTableSays has it
  quiet = 600s;
  create();
  upstream->updateEndpoint(1, serve(), true);
  send();
  EXPECT_EQ(nextOutcome().outcome, Outcome::served);
  send();
  httpPeer->connections.front()->reply(answerText(200, "", "once more"));
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed) << "it was never written";
  EXPECT_EQ(outcome.failureReason, FailureReason::brokenWhileWriting);
  EXPECT_EQ(httpPeer->requests.size(), 1u);
  EXPECT_EQ(connections().open, 0u);
  send();
  EXPECT_EQ(nextOutcome().outcome, Outcome::served) << "on another connection";
}

// An attempt waits for its connection's quiet time and ends in each way meanwhile. Nothing of it reached the
// endpoint.
TEST_P(UpstreamReportTest, AttemptMayEndInAnyWayWhileItsConnectionIsQuiet) {
  if (GetParam().jsonRpc) return;
  quiet = 600s;
  for (const int way : {0, 1, 2, 3, 4, 5}) {
    SCOPED_TRACE(way);
    create();
    upstream->updateEndpoint(1, serve(), true);
    send();
    EXPECT_EQ(nextOutcome().outcome, Outcome::served);
    const AttemptKey key = send();
    Outcome expected = Outcome::connectFailed;
    if (way == 0) upstream->cancelIfUnsent(key);
    if (way == 1) {
      upstream->cancel(key);
      expected = Outcome::cancelled;
    }
    if (way == 2) httpPeer->connections.front()->close();
    if (way == 3) httpPeer->connections.front()->reset();
    if (way >= 4) {
      // The endpoint is drained, or moves: noticed when the attempt would be written, so with a shorter quiet
      // time.
      HttpUpstream::Limits limits;
      limits.quiet = 1s;  // long enough for the change to come within it
      limits.connectTimeout = 60s;
      static_cast<HttpUpstream&>(*upstream).setLimits(limits);
      upstream->cancelIfUnsent(key);
      nextOutcome();
      send();
      EXPECT_EQ(nextOutcome().outcome, Outcome::served);
      send();
      if (way == 4) upstream->updateEndpoint(1, httpPeer->endpoint, false);
      else upstream->updateEndpoint(1, loopback(9), true);
    }
    const std::size_t before = httpPeer->requests.size();
    const AttemptOutcome outcome = nextOutcome();
    EXPECT_EQ(outcome.outcome, expected);
    if (way >= 4) EXPECT_EQ(outcome.failureReason, FailureReason::cancelledBeforeSend);
    EXPECT_EQ(httpPeer->requests.size(), before);
    EXPECT_EQ(connections().open, 0u);
  }
}

TEST_P(UpstreamReportTest, ConnectionIsReusedAfterItsQuietTime) {
  quiet = 30ms;
  create();
  upstream->updateEndpoint(1, serve(), true);
  for (int i = 0; i < 3; ++i) {
    send();
    const AttemptOutcome outcome = nextOutcome();
    EXPECT_EQ(outcome.outcome, Outcome::served);
    EXPECT_EQ(outcome.connectionUse, i == 0 ? ConnectionUse::opened : ConnectionUse::reused);
  }
  EXPECT_EQ(connections().open, 1u);
}

// Three connections are free. The latest past its quiet time is reused, so that few are kept in use; if none
// is past it, the first that will be.
TEST_P(UpstreamReportTest, LatestConnectionPastItsQuietTimeIsReused) {
  if (GetParam().jsonRpc) return;
  for (const bool rested : {false, true}) {
    quiet = rested ? 0ms : 600s;
    create();
    httpPeer = std::make_unique<Peer>(io, nullptr);  // answers when the test does
    upstream->updateEndpoint(1, httpPeer->endpoint, true);
    for (int i = 0; i < 3; ++i) send();
    ASSERT_TRUE(until([&] { return httpPeer->requests.size() == 3; }));
    for (const auto& connection : httpPeer->connections) {
      connection->reply(answerText(200, "", "ok"));
      EXPECT_EQ(nextOutcome().outcome, Outcome::served);
    }
    send();
    httpPeer->connections[rested ? 2 : 0]->close();
    EXPECT_EQ(nextOutcome().outcome, rested ? Outcome::reset : Outcome::connectFailed)
        << "it was on that one";
    EXPECT_EQ(connections().open, 2u);
  }
}

// A connection takes 100 ms to come up. The endpoint reads the time that is left when the request is written,
// not when the attempt began.
TEST_P(UpstreamReportTest, DeadlineSentIsWhatIsLeftWhenTheRequestIsWritten) {
  if (GetParam().jsonRpc) return;
  using Clock = std::chrono::steady_clock;
  const auto deadlineIn = [](const std::string& text) {
    const std::string name = "X-Deadline-Ms: ";
    return std::chrono::milliseconds(std::stoll(text.substr(text.find(name) + name.size())));
  };
  create();
  FullListener full(io);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  upstream->updateEndpoint(1, full.endpoint, true);
  const auto begun = Clock::now();
  send(Duration(30s));
  ASSERT_TRUE(until([&] { return Clock::now() - begun > 100ms; }));
  const auto connecting = std::chrono::floor<std::chrono::milliseconds>(Clock::now() - begun);
  full.takeAll();
  const auto requestRead = [&] {
    return std::find_if(full.taken.begin(), full.taken.end(),
                        [](const auto& connection) { return connection->text.ends_with("\r\n\r\n"); });
  };
  ASSERT_TRUE(until([&] { return requestRead() != full.taken.end(); }));
  EXPECT_LE(deadlineIn((*requestRead())->text), 30s - connecting);
}

// --- What is not written yet ------------------------------------------------------------------------------

TEST_P(UpstreamReportTest, AttemptCancelledWhileConnectingIsNeverWritten) {
  FullListener full(io);
  create();
  upstream->updateEndpoint(1, full.endpoint, true);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  upstream->cancelIfUnsent(send());
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed);
  EXPECT_EQ(outcome.failureReason, FailureReason::cancelledBeforeSend);
  EXPECT_EQ(connections().open, 0u);
  full.takeAll();
  ASSERT_TRUE(until([&] { return full.allLeft(); }));
  EXPECT_EQ(full.received(), 0u);
}

TEST_P(UpstreamReportTest, AttemptCancelledWhileWritingIsNeverComplete) {
  DeafListener deaf(io);
  create();
  upstream->updateEndpoint(1, deaf.endpoint, true);
  const AttemptKey key = send(Duration(60s), kMoreThanFits);
  ASSERT_TRUE(until([&] { return connections().established == 1 && !deaf.taken.empty(); }));
  EXPECT_EQ(upstream->attemptsWritten(), 0u);
  upstream->cancelIfUnsent(key);
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed) << "an endpoint begins with the last byte: it never ran";
  EXPECT_EQ(connections().open, 0u);
  deaf.readAll();
  ASSERT_TRUE(until([&] { return deaf.taken.front()->closedByPeer; }));
  EXPECT_LT(deaf.taken.front()->received, kMoreThanFits);
}

TEST_P(UpstreamReportTest, AttemptThatIsWrittenIsNotCancelled) {
  create();
  upstream->updateEndpoint(1, serve(), true);
  const AttemptKey key = send();
  ASSERT_TRUE(until([&] { return upstream->attemptsWritten() == 1; }));
  upstream->cancelIfUnsent(key);
  upstream->cancelIfUnsent({99, 0});
  EXPECT_EQ(nextOutcome().outcome, Outcome::served);
}

TEST_P(UpstreamReportTest, AttemptNotWrittenInItsTimeNeverIs) {
  FullListener full(io);
  create();
  upstream->updateEndpoint(1, full.endpoint, true);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  send({60s, 30ms});
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed);
  EXPECT_EQ(outcome.failureReason, FailureReason::attemptTimeout);
  full.takeAll();
  ASSERT_TRUE(until([&] { return full.allLeft(); }));
  EXPECT_EQ(full.received(), 0u);
}

TEST_P(UpstreamReportTest, AttemptHalfWrittenWhenItsTimeIsOverIsNeverComplete) {
  DeafListener deaf(io);
  create();
  upstream->updateEndpoint(1, deaf.endpoint, true);
  send({60s, 100ms}, kMoreThanFits);
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed);
  EXPECT_EQ(outcome.failureReason, FailureReason::attemptTimeout);
  deaf.readAll();
  ASSERT_TRUE(until([&] { return deaf.taken.front()->closedByPeer; }));
  EXPECT_LT(deaf.taken.front()->received, kMoreThanFits);
}

// The time to write is over when the event loop comes to it, on a new connection and on a quiet one.
TEST_P(UpstreamReportTest, LateEventLoopWritesNothingPastItsTime) {
  create();
  upstream->updateEndpoint(1, serve(), true);
  for (const bool fresh : {true, false}) {
    SCOPED_TRACE(fresh);
    send({60s, Duration::zero()});
    const AttemptOutcome outcome = nextOutcome();
    EXPECT_EQ(outcome.outcome, Outcome::connectFailed);
    EXPECT_EQ(outcome.failureReason, FailureReason::attemptTimeout);
    EXPECT_EQ(upstream->attemptsWritten(), fresh ? 0u : 1u);
    send();
    EXPECT_EQ(nextOutcome().outcome, Outcome::served);
    if (!fresh) break;
  }
  EXPECT_EQ(upstream->attemptsWritten(), 2u);
}

TEST_P(UpstreamReportTest, AttemptWrittenInItsTimeMayWaitForItsResponse) {
  create();
  upstream->updateEndpoint(1, serve(), true);
  std::shared_ptr<PeerConnection> held;
  if (GetParam().jsonRpc) return;  // UpstreamTest has it
  httpPeer->script = [&](PeerConnection& connection) { held = connection.shared_from_this(); };
  send({60s, 40ms});
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  asio::steady_timer passed(io, 100ms);
  bool over = false;
  passed.async_wait([&](error_code) { over = true; });
  ASSERT_TRUE(until([&] { return over; }));
  EXPECT_TRUE(outcomes.empty());
  held->reply(answerText(200, "", "ok"));
  EXPECT_EQ(nextOutcome().outcome, Outcome::served);
}

TEST_P(UpstreamReportTest, MalformedResponseClosesItsConnection) {
  create();
  rawAnswer = "no protocol at all\r\n\r\n";
  upstream->updateEndpoint(1, serve(), true);
  send();
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.failureReason, FailureReason::malformedResponse);
  EXPECT_TRUE(outcome.outcome == Outcome::error || outcome.outcome == Outcome::reset) << "it may have run";
  EXPECT_FALSE(outcome.connectionKept);
  EXPECT_EQ(connections().open, 0u);
}

TEST_P(UpstreamReportTest, EndOfAnIdleConnectionIsReportedWithoutAnAttempt) {
  create();
  upstream->updateEndpoint(1, serve(), true);
  send();
  nextOutcome();
  ASSERT_EQ(connections().open, 1u);
  reported.clear();
  if (httpPeer) httpPeer->connections[0]->close();
  else jsonRpcPeer->connections[0]->close();
  ASSERT_TRUE(until([&] { return !reported.empty(); }));
  EXPECT_EQ(reported.back().open, 0u);
  EXPECT_EQ(reported.back().established, 0u);
}

INSTANTIATE_TEST_SUITE_P(All, UpstreamReportTest,
                         ::testing::Values(Protocol{"Http", false}, Protocol{"JsonRpc", true}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace cairnjunction::testing

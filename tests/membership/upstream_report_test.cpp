// Tests what an upstream reports at the end of an attempt, for both protocols, over loopback sockets: why a
// connection failed, whether the attempt used a new connection, whether the connection stays open, and each
// change of the number of connections.
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
  std::vector<EndpointConnections> reported;  // each reported change of the number of connections
  CallId lastCall = 0;

  std::chrono::milliseconds quiet = 5ms;  // HTTP: time after an answer before the connection is reused

  // Creates the upstream; `connections` is the limit of all connections together.
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
      limits.silence.ofNew = 0ms;
      limits.silence.ofUsed = quiet;
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
  // Starts an attempt to endpoint 1.
  AttemptKey send(const AttemptTimeouts& timeouts = Duration(60s), std::size_t bodyBytes = 0) {
    calls.emplace_back();  // a call must stay valid until its attempt has ended
    Call& call = calls.back();
    call.externalId = "c" + std::to_string(++lastCall);
    call.message.operation = "read";
    call.message.target = "/read";
    if (bodyBytes > 0) {
      call.message.format = Format::json;
      call.message.verb = "POST";
      call.message.body = "[\"" + std::string(bodyBytes, 'x') + "\"]";
    }
    upstream->start({lastCall, 0}, 1, call, timeouts);
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

  std::unique_ptr<Peer> httpPeer;
  std::unique_ptr<Worker> jsonRpcPeer;
  std::string rawAnswer;
  // Starts an endpoint of the tested protocol that serves all requests, or answers with `rawAnswer` if that
  // is not empty. Returns its address.
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

TEST_P(UpstreamReportTest, OutcomeReportsNewOrReusedConnectionAndThatItStaysOpen) {
  create();
  upstream->updateEndpoint(1, serve(), true);
  ASSERT_EQ(reported.size(), 1u) << "reported also for a new endpoint without connections";
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

TEST_P(UpstreamReportTest, RefusedConnectionIsReportedAsRefused) {
  create();
  const ReservedPort unusedPort(io);
  upstream->updateEndpoint(1, unusedPort.endpoint, true);
  send();
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed);
  EXPECT_EQ(outcome.failureReason, FailureReason::connectionRefused);
  EXPECT_EQ(outcome.connectionUse, ConnectionUse::none);
  EXPECT_FALSE(outcome.connectionKept);
  EXPECT_EQ(connections().open, 0u);
}

TEST_P(UpstreamReportTest, ConnectionNotEstablishedInTimeIsAConnectTimeout) {
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

TEST_P(UpstreamReportTest, AttemptThatEndsBeforeTheConnectTimeoutIsAnAttemptTimeout) {
  FullListener full(io);
  create();
  upstream->updateEndpoint(1, full.endpoint, true);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  send(Duration(80ms));
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed);
  EXPECT_EQ(outcome.failureReason, FailureReason::attemptTimeout);
}

TEST_P(UpstreamReportTest, WithoutADescriptorNoConnectionIsOpened) {
  create(0);
  upstream->updateEndpoint(1, serve(), true);
  send();
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed);
  EXPECT_EQ(outcome.failureReason, FailureReason::noDescriptor);
  EXPECT_EQ(outcome.connectionUse, ConnectionUse::none);
  EXPECT_EQ(connections().open, 0u);
}

// An endpoint is drained while an attempt to it is connecting. No byte of the attempt may reach it.
TEST_P(UpstreamReportTest, AttemptThatConnectsWhenItsEndpointIsDrainedIsNotSent) {
  FullListener full(io);
  create();
  upstream->updateEndpoint(1, full.endpoint, true);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  send();
  EXPECT_EQ(connections().open, 1u);
  EXPECT_EQ(connections().established, 0u);
  upstream->updateEndpoint(1, full.endpoint, false);
  // JSON-RPC ends the attempt at once, so its connection may never be established; HTTP ends it when the
  // connection is established.
  const std::size_t minAccepted = GetParam().jsonRpc ? 1 : 2;
  if (GetParam().jsonRpc) ASSERT_TRUE(until([&] { return !outcomes.empty(); }));
  full.acceptAll();
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed);
  EXPECT_EQ(outcome.failureReason, FailureReason::cancelledBeforeSend);
  EXPECT_EQ(connections().open, 0u);
  full.dropFillers();
  ASSERT_TRUE(until([&] { return full.taken.size() >= minAccepted && full.allEnded(); }));
  EXPECT_EQ(full.received(), 0u);
}

// An endpoint gets another address while an attempt to it is connecting. The process at the old address is
// not this endpoint any more.
TEST_P(UpstreamReportTest, AttemptThatConnectsWhenItsEndpointChangesAddressIsNotSent) {
  FullListener full(io);
  create();
  upstream->updateEndpoint(1, full.endpoint, true);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  send();
  EXPECT_TRUE(upstream->updateEndpoint(1, serve(), true));
  const std::size_t minAccepted = GetParam().jsonRpc ? 1 : 2;
  if (GetParam().jsonRpc) ASSERT_TRUE(until([&] { return !outcomes.empty(); }));
  full.acceptAll();
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed);
  EXPECT_EQ(outcome.failureReason, FailureReason::cancelledBeforeSend);
  full.dropFillers();
  ASSERT_TRUE(until([&] { return full.taken.size() >= minAccepted && full.allEnded(); }));
  EXPECT_EQ(full.received(), 0u);
  send();
  EXPECT_EQ(nextOutcome().outcome, Outcome::served) << "at the new address";
}

// --- Reuse of a connection after a response ---------------------------------------------------------------

// An endpoint answers one call twice. An HTTP response does not identify its call, so nothing is written to
// the connection during a quiet time after each response. A JSON-RPC response has an id, which then belongs
// to no open call.
TEST_P(UpstreamReportTest, SecondResponseIsNeverTakenForTheAnswerToTheNextCall) {
  if (GetParam().jsonRpc) return;  // tested by EndTheCallsAsTheTableSays
  quiet = 600s;
  create(1);  // at the limit an attempt waits for the connection
  upstream->updateEndpoint(1, serve(), true);
  send();
  EXPECT_EQ(nextOutcome().outcome, Outcome::served);
  send();
  httpPeer->connections.front()->reply(answerText(200, "", "once more"));
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed) << "it was never written";
  EXPECT_EQ(outcome.failureReason, FailureReason::unsolicitedBytes);
  EXPECT_EQ(httpPeer->requests.size(), 1u);
  EXPECT_EQ(connections().open, 0u);
  send();
  EXPECT_EQ(nextOutcome().outcome, Outcome::served) << "on another connection";
}

// An attempt that waits for the end of its connection's quiet time ends in each possible way. No byte of it
// reaches the endpoint.
TEST_P(UpstreamReportTest, AttemptThatEndsDuringTheQuietTimeOfItsConnectionIsNotSent) {
  if (GetParam().jsonRpc) return;
  quiet = 600s;
  for (const int way : {0, 1, 2, 3, 4, 5}) {
    SCOPED_TRACE(way);
    create(1);
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
      // The endpoint is drained, or gets another address. The upstream notices this when it would write the
      // attempt, so the quiet time is shorter here.
      HttpUpstream::Limits limits;
      limits.silence.ofNew = 0ms;
      limits.silence.ofUsed = 1s;  // long enough for the change to happen within it
      limits.connectTimeout = 60s;
      limits.connections = 1;
      static_cast<HttpUpstream&>(*upstream).setLimits(limits);
      upstream->cancelIfUnsent(key);
      nextOutcome();
      send();
      EXPECT_EQ(nextOutcome().outcome, Outcome::served);
      send();
      if (way == 4) upstream->updateEndpoint(1, httpPeer->endpoint, false);
      else upstream->updateEndpoint(1, loopback(9), true);
    }
    const std::size_t requestsBefore = httpPeer->requests.size();
    const AttemptOutcome outcome = nextOutcome();
    EXPECT_EQ(outcome.outcome, expected);
    if (way >= 4) EXPECT_EQ(outcome.failureReason, FailureReason::cancelledBeforeSend);
    EXPECT_EQ(httpPeer->requests.size(), requestsBefore);
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

// Three connections are idle. The one used last among those past their quiet time is reused, so that few
// connections stay in use. If none is past it and no further one may be opened, the one whose quiet time ends
// first is reused.
TEST_P(UpstreamReportTest, LastUsedConnectionPastItsQuietTimeIsReused) {
  if (GetParam().jsonRpc) return;
  for (const bool pastQuietTime : {false, true}) {
    quiet = pastQuietTime ? 0ms : 600s;
    create(3);
    httpPeer = std::make_unique<Peer>(io, nullptr);  // the test answers its requests
    upstream->updateEndpoint(1, httpPeer->endpoint, true);
    for (int i = 0; i < 3; ++i) send();
    ASSERT_TRUE(until([&] { return httpPeer->requests.size() == 3; }));
    for (const auto& connection : httpPeer->connections) {
      connection->reply(answerText(200, "", "ok"));
      EXPECT_EQ(nextOutcome().outcome, Outcome::served);
    }
    send();
    httpPeer->connections[pastQuietTime ? 2 : 0]->close();
    EXPECT_EQ(nextOutcome().outcome, pastQuietTime ? Outcome::reset : Outcome::connectFailed)
        << "the attempt used the closed connection";
    EXPECT_EQ(connections().open, 2u);
  }
}

// A connection takes 100 ms to be established. The deadline sent to the endpoint is the time remaining when
// the request is written, not when the attempt started.
TEST_P(UpstreamReportTest, DeadlineSentIsTheTimeRemainingWhenTheRequestIsWritten) {
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
  const auto startedAt = Clock::now();
  send(Duration(30s));
  ASSERT_TRUE(until([&] { return Clock::now() - startedAt > 100ms; }));
  const auto connectTime = std::chrono::floor<std::chrono::milliseconds>(Clock::now() - startedAt);
  full.takeAll();
  const auto requestRead = [&] {
    return std::find_if(full.taken.begin(), full.taken.end(),
                        [](const auto& connection) { return connection->text.ends_with("\r\n\r\n"); });
  };
  ASSERT_TRUE(until([&] { return requestRead() != full.taken.end(); }));
  EXPECT_LE(deadlineIn((*requestRead())->text), 30s - connectTime);
}

// --- Attempts that are not completely written -------------------------------------------------------------

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
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed)
      << "an endpoint executes a request only after its last byte, so it was not executed";
  EXPECT_EQ(connections().open, 0u);
  deaf.readAll();
  ASSERT_TRUE(until([&] { return deaf.taken.front()->closedByPeer; }));
  EXPECT_LT(deaf.taken.front()->received, kMoreThanFits);
}

TEST_P(UpstreamReportTest, WrittenAttemptIsNotCancelled) {
  create();
  upstream->updateEndpoint(1, serve(), true);
  const AttemptKey key = send();
  ASSERT_TRUE(until([&] { return upstream->attemptsWritten() == 1; }));
  upstream->cancelIfUnsent(key);
  upstream->cancelIfUnsent({99, 0});
  EXPECT_EQ(nextOutcome().outcome, Outcome::served);
}

TEST_P(UpstreamReportTest, AttemptNotStartedWritingWithinItsWriteTimeoutIsNeverWritten) {
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

TEST_P(UpstreamReportTest, AttemptPartlyWrittenAtItsWriteTimeoutIsNeverCompleted) {
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

// The write timeout has already passed when the event loop gets to write, on a new connection and on one in
// its quiet time.
TEST_P(UpstreamReportTest, DelayedEventLoopWritesNothingAfterTheWriteTimeout) {
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

TEST_P(UpstreamReportTest, WrittenAttemptMayWaitForItsResponseBeyondTheWriteTimeout) {
  create();
  upstream->updateEndpoint(1, serve(), true);
  std::shared_ptr<PeerConnection> unanswered;
  if (GetParam().jsonRpc) return;  // tested by UpstreamTest
  httpPeer->script = [&](PeerConnection& connection) { unanswered = connection.shared_from_this(); };
  send({60s, 40ms});
  ASSERT_TRUE(until([&] { return unanswered != nullptr; }));
  asio::steady_timer timer(io, 100ms);
  bool expired = false;
  timer.async_wait([&](error_code) { expired = true; });
  ASSERT_TRUE(until([&] { return expired; }));
  EXPECT_TRUE(outcomes.empty());
  unanswered->reply(answerText(200, "", "ok"));
  EXPECT_EQ(nextOutcome().outcome, Outcome::served);
}

TEST_P(UpstreamReportTest, MalformedResponseClosesItsConnection) {
  create();
  rawAnswer = "no protocol at all\r\n\r\n";
  upstream->updateEndpoint(1, serve(), true);
  send();
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.failureReason, FailureReason::malformedResponse);
  EXPECT_TRUE(outcome.outcome == Outcome::error || outcome.outcome == Outcome::reset)
      << "it may have been executed";
  EXPECT_FALSE(outcome.connectionKept);
  EXPECT_EQ(connections().open, 0u);
}

TEST_P(UpstreamReportTest, CloseOfAnIdleConnectionIsReported) {
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

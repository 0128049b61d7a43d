// Endpoints that send bytes without being asked: no attempt is answered by them.
#include <gtest/gtest.h>

#include <deque>

#include "http/upstream.hpp"
#include "raw_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using policy::Duration;
using policy::FailureReason;
using policy::Outcome;

class UnsolicitedBytesTest : public LoopTest {
 protected:
  std::unique_ptr<HttpUpstream> upstream;
  HttpUpstream::Limits limits;
  std::deque<AttemptOutcome> outcomes;
  std::vector<UnsolicitedBytes> found;
  std::deque<Call> calls;
  CallId lastCallId = 0;
  std::unique_ptr<Peer> peer;

  UnsolicitedBytesTest() {
    limits.connectTimeout = 60s;
    limits.silence = {0ms, 0ms, 0ms, 50ms, 60s};
  }
  void makeUpstream(PeerConnection::Script script) {
    peer = std::make_unique<Peer>(io, std::move(script));
    makeUpstream(peer->endpoint);
  }
  void makeUpstream(const tcp::endpoint& endpoint) {
    upstream = std::make_unique<HttpUpstream>(
        io, limits, [this](AttemptOutcome outcome) { outcomes.push_back(std::move(outcome)); });
    upstream->onUnsolicitedBytes([this](const UnsolicitedBytes& bytes) { found.push_back(bytes); });
    upstream->updateEndpoint(1, endpoint, true);
  }
  void start(Duration timeout = 60s, std::size_t bodyBytes = 0) {
    calls.emplace_back();
    calls.back().externalId = "c" + std::to_string(++lastCallId);
    calls.back().message.target = "/read";
    if (bodyBytes > 0) {
      calls.back().message.format = Format::json;
      calls.back().message.verb = "POST";
      calls.back().message.body = std::string(bodyBytes, '1');
    }
    upstream->start({lastCallId, 0}, 1, calls.back(), timeout);
  }
  AttemptOutcome nextOutcome() {
    EXPECT_TRUE(until([&] { return !outcomes.empty(); }));
    if (outcomes.empty()) return {};
    AttemptOutcome outcome = std::move(outcomes.front());
    outcomes.pop_front();
    return outcome;
  }
  static void answer(PeerConnection& connection) { connection.reply(answerText(200, "", "own")); }
};

TEST_F(UnsolicitedBytesTest, ResponseOnANewConnectionIsNotTheResponseToItsRequest) {
  limits.silence.ofNew = 600s;
  makeUpstream(answer);
  start();
  ASSERT_TRUE(until([&] { return peer->connections.size() == 1; }));
  peer->connections.front()->reply(answerText(503, "X-Not-Run: 1\r\n", ""));
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed) << "it was never written";
  EXPECT_EQ(outcome.failureReason, FailureReason::unsolicitedBytes);
  EXPECT_FALSE(outcome.connectionKept);
  ASSERT_EQ(found.size(), 1u);
  EXPECT_EQ(found.front().after, UnsolicitedAfter::connecting);
  EXPECT_TRUE(found.front().first);
  EXPECT_EQ(upstream->unsolicitedBytes(), 1u);
  EXPECT_TRUE(peer->requests.empty());
}

TEST_F(UnsolicitedBytesTest, LateSecondResponseEndsTheAttemptsOnUsedConnectionsOfItsEndpoint) {
  limits.silence.covered = -1ms;  // whenever it comes, it is late
  makeUpstream(nullptr);
  start();
  start();
  ASSERT_TRUE(until([&] { return peer->requests.size() == 2; }));
  for (const auto& connection : peer->connections) answer(*connection);
  EXPECT_TRUE(nextOutcome().connectionKept);
  EXPECT_TRUE(nextOutcome().connectionKept);
  start();  // on the connection used last
  ASSERT_TRUE(until([&] { return peer->requests.size() == 3; }));
  peer->connections.front()->reply(answerText(200, "", "once more"));
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::error) << "it may have been executed";
  EXPECT_EQ(outcome.failureReason, FailureReason::unsolicitedBytes);
  EXPECT_EQ(found.front().after, UnsolicitedAfter::responseLate);
}

// Bytes that nobody asked for come at once, so a response in parts is its request's own.
TEST_F(UnsolicitedBytesTest, LateSecondResponseDoesNotCutOffAResponseUnderWayOnAnotherConnection) {
  const std::string text = answerText(200, "", "its own response");
  for (const std::size_t part : {std::size_t(5), text.size() - 8, text.size() - 1}) {
    SCOPED_TRACE(part);
    limits.silence.covered = -1ms;
    makeUpstream(nullptr);
    start();
    start();
    ASSERT_TRUE(until([&] { return peer->requests.size() == 2; }));
    for (const auto& connection : peer->connections) answer(*connection);
    nextOutcome();
    nextOutcome();
    start();  // on the connection used last
    ASSERT_TRUE(until([&] { return peer->requests.size() == 3; }));
    peer->connections.back()->reply(text.substr(0, part));
    // Time for the part to be read; nothing shows that it was.
    const auto read = std::chrono::steady_clock::now() + 50ms;
    ASSERT_TRUE(until([&] { return std::chrono::steady_clock::now() > read; }));
    peer->connections.front()->reply(answerText(200, "", "once more"));
    ASSERT_TRUE(until([&] { return !found.empty(); }));
    EXPECT_TRUE(outcomes.empty());
    peer->connections.back()->reply(text.substr(part));
    const AttemptOutcome outcome = nextOutcome();
    EXPECT_EQ(outcome.outcome, Outcome::served);
    EXPECT_EQ(outcome.response.body, "its own response");
    EXPECT_FALSE(outcome.connectionKept);
    found.clear();
  }
}

TEST_F(UnsolicitedBytesTest, BehindALateSecondResponseEachConnectionCarriesOneRequest) {
  limits.silence.covered = -1ms;
  makeUpstream(answer);
  start();
  EXPECT_TRUE(nextOutcome().connectionKept);
  peer->connections.front()->reply(answerText(200, "", "once more"));
  ASSERT_TRUE(until([&] { return !found.empty(); }));
  for (int i = 0; i < 3; ++i) {
    start();
    const AttemptOutcome outcome = nextOutcome();
    EXPECT_EQ(outcome.outcome, Outcome::served);
    EXPECT_FALSE(outcome.connectionKept);
  }
  EXPECT_EQ(peer->requests.size(), 4u);
  EXPECT_GE(upstream->connectionsOpened(), 4u) << "some are opened ahead";
}

TEST_F(UnsolicitedBytesTest, SecondResponseInTheSameReadIsNotKeptForTheNextRequest) {
  makeUpstream([](PeerConnection& connection) {
    connection.reply(answerText(200, "", "own") + answerText(200, "", "once more"));
  });
  for (int i = 0; i < 2; ++i) {
    start();
    const AttemptOutcome outcome = nextOutcome();
    EXPECT_EQ(outcome.outcome, Outcome::served);
    EXPECT_EQ(outcome.response.body, "own");
    EXPECT_FALSE(outcome.connectionKept);
  }
  EXPECT_EQ(found.size(), 2u);
}

// The endpoint answers before the request is whole; what it answers can't be that request.
TEST_F(UnsolicitedBytesTest, ResponseBeforeTheLastByteOfTheRequestIsNotItsResponse) {
  DeafListener deaf(io);
  makeUpstream(deaf.endpoint);
  start(60s, kMoreThanFits);
  ASSERT_TRUE(until([&] { return deaf.taken.size() == 1; }));
  deaf.taken.front()->send(answerText(200, "", "early"));
  deaf.readAll();
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed) << "its last byte was never written";
  EXPECT_EQ(outcome.failureReason, FailureReason::unsolicitedBytes);
}

TEST_F(UnsolicitedBytesTest, NewConnectionThatWasNotWrittenToIsKeptForTheNextAttempt) {
  limits.silence.ofNew = 600s;
  makeUpstream(answer);
  start(50ms);
  const AttemptOutcome outcome = nextOutcome();
  EXPECT_EQ(outcome.outcome, Outcome::connectFailed);
  EXPECT_EQ(outcome.failureReason, FailureReason::attemptTimeout);
  EXPECT_TRUE(outcome.connectionKept);
  limits.silence.ofNew = 0ms;
  upstream->setLimits(limits);
  start();
  EXPECT_EQ(nextOutcome().outcome, Outcome::served);
  EXPECT_EQ(peer->connections.size(), 1u);
}

// Some servers close an idle connection with a response (RFC 9110, 15.5.9).
TEST_F(UnsolicitedBytesTest, RequestTimeoutOnAnIdleConnectionIsItsEndAndNoFault) {
  makeUpstream(answer);
  start();
  EXPECT_TRUE(nextOutcome().connectionKept);
  peer->connections.front()->reply(answerText(408, "Connection: close\r\n", ""), true);
  ASSERT_TRUE(until([&] { return upstream->connectionCount() == 0; }));
  EXPECT_TRUE(found.empty());
}

}  // namespace
}  // namespace cairnjunction::testing

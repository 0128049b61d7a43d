// Responses over real sockets that have begun and are not complete when the load balancer's limit for their
// begin is over: what becomes of the attempt, and which limit ends it.
#include <gtest/gtest.h>

#include <deque>

#include "http/upstream.hpp"
#include "net_peers.hpp"
#include "raw_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using policy::Duration;
using policy::FailureReason;
using policy::Outcome;

constexpr auto kResponseStart = 40ms;

class DelayedResponseTest : public LoopTest {
 protected:
  std::unique_ptr<Peer> peer;
  std::unique_ptr<HttpUpstream> upstream;
  std::deque<AttemptOutcome> outcomes, delayed, started;
  Call call;
  std::chrono::steady_clock::time_point startedAt;
  Duration responseSilence = 60s;
  bool acceptsStreaming = true;
  std::string body;  // of the request

  // Starts an attempt at an endpoint that begins with `first`.
  void begin(const std::string& first, Duration clientWaits = 60s) {
    peer = std::make_unique<Peer>(io, [first](PeerConnection& c) {
      if (!first.empty()) c.reply(first);
    });
    startAt(peer->endpoint, kResponseStart, clientWaits);
  }
  void startAt(const tcp::endpoint& endpoint, Duration responseStart, Duration clientWaits) {
    HttpUpstream::Limits limits;
    limits.connectTimeout = 60s;
    limits.silence.ofNew = 0ms;
    limits.responseSilence = responseSilence;
    upstream = std::make_unique<HttpUpstream>(
        io, limits, [this](AttemptOutcome outcome) { outcomes.push_back(std::move(outcome)); },
        ResponseEvents{[this](AttemptOutcome outcome) { started.push_back(std::move(outcome)); },
                       [this](AttemptOutcome outcome) { delayed.push_back(std::move(outcome)); }});
    upstream->updateEndpoint(1, endpoint, true);
    call = {};
    call.externalId = "c1";
    call.message.target = "/read";
    call.message.body = body;
    call.acceptsStreaming = acceptsStreaming;
    startedAt = std::chrono::steady_clock::now();
    upstream->start({1, 0}, 1, call, {responseStart, Duration::max(), clientWaits});
  }
  // Runs the event loop until well past the limit for the begin of the response.
  void passTheLimit() {
    ASSERT_TRUE(until([&] { return std::chrono::steady_clock::now() > startedAt + 2 * kResponseStart; }));
  }
  PeerConnection& connection() { return *peer->connections.front(); }
  AttemptOutcome outcome() {
    EXPECT_TRUE(until([&] { return !outcomes.empty(); }));
    return outcomes.empty() ? AttemptOutcome{} : outcomes.front();
  }
};

struct SplitResponse {
  const char* name;
  std::string first, rest;
  std::string body = "body";
};
const std::vector<SplitResponse> kSplitResponses = {
    {"length", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbo", "dy"},
    {"head without a body", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n", "body"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo", "\r\n2\r\ndy\r\n0\r\n\r\n"},
    {"no byte by chunks, in pieces", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r", "\n",
     ""},
    {"no byte by chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0\r\n\r\n", ""},
    {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: ", "y\r\n\r\n"},
    {"part of the head", "HTTP/1.1 200 OK\r\nConte", "nt-Length: 4\r\n\r\nbody"},
    {"first byte", "H", "TTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"},
    {"head behind an interim one", "HTTP/1.1 103 X\r\n\r\nHTTP/1.1 2",
     "00 OK\r\nContent-Length: 4\r\n\r\nbody"}};

TEST_F(DelayedResponseTest, RestOfAResponseThatHasBegunIsAwaited) {
  for (const SplitResponse& response : kSplitResponses) {
    SCOPED_TRACE(response.name);
    outcomes.clear();
    delayed.clear();
    begin(response.first);
    passTheLimit();
    ASSERT_TRUE(outcomes.empty());
    EXPECT_LE(delayed.size(), 1u);
    connection().reply(response.rest);
    const AttemptOutcome ended = outcome();
    EXPECT_EQ(ended.outcome, Outcome::served);
    EXPECT_EQ(ended.response.body, response.body);
    EXPECT_TRUE(ended.connectionKept);
    EXPECT_EQ(upstream->connectionsOf(1).open, 1u);
    EXPECT_EQ(outcomes.size(), 1u);
  }
}

TEST_F(DelayedResponseTest, ResponseWithoutALengthEndsWithItsConnection) {
  begin("HTTP/1.1 200 OK\r\n\r\nbo");
  ASSERT_TRUE(until([&] { return delayed.size() == 1; }));
  EXPECT_EQ(upstream->connectionsOf(1).open, 0u) << "its endpoint has answered: only the transfer remains";
  connection().reply("dy", true);
  EXPECT_EQ(outcome().outcome, Outcome::served);
  EXPECT_EQ(outcome().response.body, "body");
}

TEST_F(DelayedResponseTest, SilentEndpointIsGivenUpAtTheLimitAsBefore) {
  for (const char* first : {"", "HTTP/1.1 103 X\r\nA: b\r\n\r\n"}) {
    SCOPED_TRACE(first);
    outcomes.clear();
    begin(first);
    const AttemptOutcome ended = outcome();
    EXPECT_EQ(ended.outcome, Outcome::timeout);
    EXPECT_EQ(ended.limit, AttemptLimit::responseStart);
    EXPECT_GE(ended.elapsed, kResponseStart);
    EXPECT_LT(ended.elapsed, 1s);
    EXPECT_TRUE(delayed.empty());
  }
}

TEST_F(DelayedResponseTest, StatusThatIsNoSuccessEndsTheAttemptAtTheLimit) {
  begin("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-Length: 9\r\n\r\nbo");
  EXPECT_EQ(outcome().outcome, Outcome::overloaded) << "it never ran, whatever the rest says";
  outcomes.clear();
  begin("HTTP/1.1 500 X\r\nContent-Length: 9\r\n\r\nbo");
  EXPECT_EQ(outcome().outcome, Outcome::error);
  EXPECT_TRUE(delayed.empty());
}

TEST_F(DelayedResponseTest, WhatHasComeIsPassedOnBeforeTheClientsTimeIsOver) {
  struct {
    const char *first, *body;
  } const cases[] = {{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbo", "bo"},
                     {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", ""},
                     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", ""},
                     {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n5", "bo"},
                     {"HTTP/1.1 200 OK\r\n\r\nbo", "bo"}};
  for (const auto& each : cases) {
    SCOPED_TRACE(each.first);
    outcomes.clear();
    delayed.clear();
    started.clear();
    responseSilence = 400ms;
    begin(each.first, 600ms);
    ASSERT_TRUE(until([&] { return !started.empty(); }));
    const auto passedOnAt = std::chrono::steady_clock::now() - startedAt;
    EXPECT_GE(passedOnAt, 400ms) << "before, a broken one is still a failure that its client can repeat";
    EXPECT_LE(passedOnAt, 600ms);
    EXPECT_EQ(started.front().streamReason, StreamReason::clientTime);
    EXPECT_EQ(started.front().response.body, each.body);
    EXPECT_EQ(delayed.size(), 1u);
    EXPECT_TRUE(outcomes.empty());
    const AttemptOutcome ended = outcome();
    EXPECT_EQ(ended.outcome, Outcome::reset);
    EXPECT_EQ(ended.limit, AttemptLimit::silence);
    EXPECT_EQ(started.front().response.rest->state(), BodyStream::State::broken);
  }
}

TEST_F(DelayedResponseTest, PassedOnResponseGoesOnBehindItsClientsTime) {
  for (const SplitResponse& response : kSplitResponses) {
    SCOPED_TRACE(response.name);
    outcomes.clear();
    started.clear();
    begin(response.first, 300ms);
    ASSERT_TRUE(until([&] { return std::chrono::steady_clock::now() > startedAt + 450ms; }));
    ASSERT_TRUE(outcomes.empty());
    connection().reply(response.rest);
    const AttemptOutcome ended = outcome();
    EXPECT_EQ(ended.outcome, Outcome::served);
    EXPECT_TRUE(ended.connectionKept);
    const std::string streamed = started.empty()
                                     ? std::string()
                                     : started.front().response.body + started.front().response.rest->take();
    EXPECT_EQ(streamed + ended.response.body, response.body);
  }
}

// The final answer is due half a second behind the client's time.
TEST_F(DelayedResponseTest, ResponseThatCantBePassedOnEndsShortlyBehindItsClientsTime) {
  for (const bool headIsWhole : {false, true}) {
    SCOPED_TRACE(headIsWhole);
    outcomes.clear();
    delayed.clear();
    started.clear();
    acceptsStreaming = !headIsWhole;
    begin(headIsWhole ? "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbo" : "HTTP/1.1 200 OK\r\nContent-L",
          300ms);
    const AttemptOutcome ended = outcome();
    EXPECT_EQ(ended.outcome, Outcome::timeout);
    EXPECT_EQ(ended.limit, AttemptLimit::clientTime);
    EXPECT_GE(ended.elapsed, 500ms);
    EXPECT_LE(ended.elapsed, 750ms);
    EXPECT_EQ(ended.receivedBytes, headIsWhole ? 40u : 26u);
    EXPECT_EQ(delayed.size(), 1u);
    EXPECT_TRUE(started.empty());
  }
}

TEST_F(DelayedResponseTest, ErrorStatusDecidesBeforeTheClientsTimeIsOver) {
  begin("HTTP/1.1 503 X\r\nX-Not-Run: 1\r\nContent-L", 400ms);
  passTheLimit();
  connection().reply("ength: 9\r\n\r\nbo");
  EXPECT_EQ(outcome().outcome, Outcome::overloaded);
  EXPECT_LT(outcome().elapsed, 400ms);
}

TEST_F(DelayedResponseTest, BreakBehindTheLimitIsReported) {
  begin("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbo");
  ASSERT_TRUE(until([&] { return delayed.size() == 1; }));
  connection().reset();
  EXPECT_EQ(outcome().outcome, Outcome::reset);
  outcomes.clear();
  delayed.clear();
  begin("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nbo");
  ASSERT_TRUE(until([&] { return delayed.size() == 1; }));
  connection().reply("\r\nzz\r\n");
  EXPECT_EQ(outcome().failureReason, FailureReason::malformedResponse);
}

TEST_F(DelayedResponseTest, CancelEndsIt) {
  begin("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbo");
  ASSERT_TRUE(until([&] { return delayed.size() == 1; }));
  upstream->cancel({1, 0});
  EXPECT_EQ(outcome().outcome, Outcome::cancelled);
  ASSERT_TRUE(until([&] { return connection().closedByPeer; }));
}

TEST_F(DelayedResponseTest, ResponseThatOutgrowsTheBufferIsStreamed) {
  const std::string body(3 * kMaxBufferedResponseBytes, 'x');
  begin("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\nx");
  ASSERT_TRUE(until([&] { return delayed.size() == 1; }));
  connection().reply(body.substr(1));
  ASSERT_TRUE(until([&] { return started.size() == 1; }));
  std::string got = started.front().response.body;
  ASSERT_TRUE(until([&] {
    got += started.front().response.rest->take();
    return started.front().response.rest->state() == BodyStream::State::whole;
  }));
  EXPECT_EQ(got + started.front().response.rest->take(), body);
  EXPECT_EQ(outcome().outcome, Outcome::served);
}

// A pause of the endpoint is no end, whatever the client's time; a client is owed an end that it can tell
// from a whole response.
TEST_F(DelayedResponseTest, StreamedResponseIsBrokenOffAfterSilenceBetweenTwoReadsAlone) {
  responseSilence = 600ms;
  const std::string part(2 * kMaxBufferedResponseBytes, 'x');
  begin("HTTP/1.1 200 OK\r\nContent-Length: 999999\r\n\r\n" + part, 100ms);
  for (int pause = 1; pause <= 3; ++pause) {
    ASSERT_TRUE(until([&] {
      if (!started.empty()) started.front().response.rest->take();
      return std::chrono::steady_clock::now() > startedAt + pause * 400ms;
    }));
    ASSERT_TRUE(outcomes.empty()) << "pause " << pause;
    connection().reply("x");
  }
  ASSERT_TRUE(until([&] {
    started.front().response.rest->take();
    return !outcomes.empty();
  }));
  EXPECT_EQ(outcome().outcome, Outcome::reset);
  EXPECT_EQ(outcome().limit, AttemptLimit::silence);
  EXPECT_GE(outcome().silence, 590ms);
  EXPECT_LT(outcome().elapsed, 1200ms + 600ms + 500ms);
  EXPECT_EQ(started.front().response.rest->state(), BodyStream::State::broken);
}

TEST_F(DelayedResponseTest, StreamedResponseWithProgressGoesOnPastItsClientsTime) {
  const std::string part(2 * kMaxBufferedResponseBytes, 'x');
  begin("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(part.size() + 5) + "\r\n\r\n" + part, 100ms);
  ASSERT_TRUE(until([&] { return !started.empty(); }));
  for (auto sent = 0, wait = 1; sent < 5; ++wait) {
    ASSERT_TRUE(until([&] {
      started.front().response.rest->take();
      return std::chrono::steady_clock::now() > startedAt + wait * 150ms;
    }));
    connection().reply("x");
    ++sent;
  }
  EXPECT_EQ(outcome().outcome, Outcome::served);
  EXPECT_GT(outcome().elapsed, 600ms);
}

// A host's window opens in steps, so a pause between two of its reads is no silence.
TEST_F(DelayedResponseTest, RequestWhoseHostPausesBetweenTwoReadsIsWrittenToItsEnd) {
  body.assign(16 << 20, 'r');
  DeafListener host(io);
  startAt(host.endpoint, 400ms, 60s);
  const auto passed = [this](Duration time) {
    return until([&] { return std::chrono::steady_clock::now() > startedAt + time; });
  };
  ASSERT_TRUE(passed(80ms));
  host.taken.at(0)->readOnce(16 << 10);
  ASSERT_TRUE(passed(800ms));
  ASSERT_TRUE(outcomes.empty()) << "it paused just before the limit";
  host.readAll();
  ASSERT_TRUE(until([&] { return host.taken.at(0)->received > body.size(); }));
  host.taken.at(0)->send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
  EXPECT_EQ(outcome().outcome, Outcome::served);
}

// It is written whole, but its host's system has room for a part of it only until the program reads.
TEST_F(DelayedResponseTest, RequestThatItsHostHasOnlyInPartIsAwaitedBeyondTheLimit) {
  body.assign(512 << 10, 'r');
  DeafListener host(io);
  startAt(host.endpoint, 200ms, 60s);
  ASSERT_TRUE(until([&] { return std::chrono::steady_clock::now() > startedAt + 500ms; }));
  ASSERT_TRUE(outcomes.empty());
  host.readAll();
  ASSERT_TRUE(until([&] { return host.taken.at(0)->received > body.size(); }));
  host.taken.at(0)->send("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
  EXPECT_EQ(outcome().outcome, Outcome::served);
}

TEST_F(DelayedResponseTest, RequestThatItsHostDoesNotReadEndsAtTheLimitAsNeverRun) {
  body.assign(16 << 20, 'r');
  DeafListener host(io);
  startAt(host.endpoint, 400ms, 60s);
  const AttemptOutcome ended = outcome();
  EXPECT_EQ(ended.outcome, Outcome::connectFailed);
  EXPECT_EQ(ended.limit, AttemptLimit::responseStart);
  EXPECT_LT(ended.elapsed, 1s);
}

}  // namespace
}  // namespace cairnjunction::testing

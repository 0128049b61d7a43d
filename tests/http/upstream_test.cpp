// Responses of endpoints over real sockets, truncated at each byte or endless: the outcome of the attempt,
// and how much is read until it ends.
#include "http/upstream.hpp"

#include <gtest/gtest.h>

#include <deque>

#include "raw_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using policy::Duration;
using policy::FailureReason;
using policy::Outcome;

class HttpUpstreamTest : public LoopTest {
 protected:
  std::unique_ptr<HttpUpstream> upstream;
  std::deque<AttemptOutcome> outcomes;
  Call call;
  CallId lastCallId = 0;

  void makeUpstream(const tcp::endpoint& peer) {
    HttpUpstream::Limits limits;
    limits.connectTimeout = 60s;
    upstream = std::make_unique<HttpUpstream>(
        io, limits, [this](AttemptOutcome outcome) { outcomes.push_back(std::move(outcome)); });
    upstream->updateEndpoint(1, peer, true);
  }
  AttemptOutcome runAttempt() {
    call = {};
    call.externalId = "c" + std::to_string(++lastCallId);
    call.message.target = "/read";
    upstream->start({lastCallId, 0}, 1, call, Duration(60s));
    EXPECT_TRUE(until([&] { return !outcomes.empty(); }));
    if (outcomes.empty()) return {};
    AttemptOutcome e = std::move(outcomes.front());
    outcomes.pop_front();
    return e;
  }
};

struct FramedResponse {
  const char* name;
  std::string text;
  bool endsByItself;  // framed by a length or chunks, not by the end of the connection
};
const std::vector<FramedResponse> kResponses = {
    {"length", answerText(200, "X-Load: TEXT queue=2\r\n", "body"), true},
    {"nothing", answerText(200, "", ""), true},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbod\r\n1\r\ny\r\n0\r\n\r\n", true},
    {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: y\r\n\r\n", true},
    {"interim", "HTTP/1.1 103 X\r\nA: b\r\n\r\n" + answerText(200, "", "body"), true},
    {"neither", "HTTP/1.1 200 OK\r\nX: y\r\n\r\nbody", false}};

// An endpoint crashes or its connection breaks in the middle of a response. Only an orderly close of the
// connection completes a response without a length; a reset does not.
TEST_F(HttpUpstreamTest, TruncatedResponseIsServedOnlyIfItsEndIsKnown) {
  for (const FramedResponse& response : kResponses)
    for (const bool reset : {false, true})
      for (std::size_t bytes = 0; bytes <= response.text.size(); ++bytes) {
        SCOPED_TRACE(std::string(response.name) + (reset ? " reset" : " closed") + " after " +
                     std::to_string(bytes));
        Peer peer(io, [&](PeerConnection& c) {
          const std::string part = response.text.substr(0, bytes);
          if (reset) c.replyThenReset(part);
          else c.reply(part, true);
        });
        makeUpstream(peer.endpoint);
        const AttemptOutcome e = runAttempt();
        const std::size_t head = response.text.find("\r\n\r\n") + 4;
        const bool whole = response.endsByItself ? bytes == response.text.size() : !reset && bytes >= head;
        if (!reset) {
          EXPECT_EQ(e.outcome, whole ? Outcome::served : Outcome::reset);
        } else if (!whole) {
          // The reset may discard bytes that arrived before it, so a complete response may end either way. An
          // incomplete one must not be served.
          EXPECT_EQ(e.outcome, Outcome::reset);
        }
        if (e.outcome == Outcome::served) {
          const std::string body = response.endsByItself
                                       ? (response.name == std::string("nothing") ? "" : "body")
                                       : response.text.substr(head, bytes - head);
          EXPECT_EQ(e.response.body, body);
        }
      }
}

// An endpoint that never stops sending, in any part of a response: the attempt ends and the connection is
// closed after a bounded number of bytes.
TEST_F(HttpUpstreamTest, EndlessResponseEndsAfterABoundedNumberOfBytes) {
  struct EndlessResponse {
    const char* name;
    std::string begin, more;
    std::size_t maxRead;  // bytes read by the upstream, without those in the kernel's buffers
  };
  const std::size_t kernelBuffers = 16 << 20;
  const std::vector<EndlessResponse> all = {
      {"head", "HTTP/1.1 200 OK\r\n", "X: y\r\n", kHeaderLimit},
      {"line", "HTTP/1.1 200 OK\r\nX: ", "yyyy", kHeaderLimit},
      {"interim", "", "HTTP/1.1 103 X\r\n\r\n", kHeaderLimit},
      {"body by length", "HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n", "xxxx",
       kMaxBufferedResponseBytes},
      {"body by its end", "HTTP/1.1 200 OK\r\n\r\n", "xxxx", kMaxBufferedResponseBytes},
      {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n",
       2 * kMaxBufferedResponseBytes},
      {"chunk head", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "xxxx",
       2 * kMaxBufferedResponseBytes},
      {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "X: y\r\n",
       2 * kMaxBufferedResponseBytes},
      {"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: ", "yyyy",
       2 * kMaxBufferedResponseBytes}};
  for (const EndlessResponse& response : all) {
    SCOPED_TRACE(response.name);
    std::string more;
    while (more.size() < 60000) more += response.more;
    std::size_t sent = 0;
    Peer peer(io, [&](PeerConnection& c) {
      c.then([&, from = c.weak_from_this()] {
        const auto to = from.lock();
        if (!to || to->closedByPeer || sent > 2 * kernelBuffers) return;
        sent += more.size();
        to->reply(more);
      });
      c.reply(response.begin + more);
    });
    makeUpstream(peer.endpoint);
    const AttemptOutcome e = runAttempt();
    EXPECT_EQ(e.outcome, Outcome::error);
    EXPECT_EQ(e.failureReason, FailureReason::malformedResponse);
    EXPECT_LT(sent, response.maxRead + kernelBuffers);
    EXPECT_EQ(upstream->connectionCount(), 0u);
    ASSERT_TRUE(until([&] { return peer.connections.front()->closedByPeer; }));
    peer.connections.front()->then(nullptr);
  }
}

}  // namespace
}  // namespace cairnjunction::testing

// Answers of hosts over real sockets, cut at each byte or without an end: what an attempt ends as, and how
// much is read before it does.
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
  std::unique_ptr<HttpUpstream> pool;
  std::deque<AttemptOutcome> ends;
  Call call;
  CallId last = 0;

  void make(const tcp::endpoint& host) {
    HttpUpstream::Limits limits;
    limits.connectTimeout = 60s;
    pool = std::make_unique<HttpUpstream>(io, limits,
                                          [this](AttemptOutcome end) { ends.push_back(std::move(end)); });
    pool->updateEndpoint(1, host, true);
  }
  AttemptOutcome ask() {
    call = {};
    call.externalId = "c" + std::to_string(++last);
    call.message.target = "/read";
    pool->start({last, 0}, 1, call, Duration(60s));
    EXPECT_TRUE(until([&] { return !ends.empty(); }));
    if (ends.empty()) return {};
    AttemptOutcome e = std::move(ends.front());
    ends.pop_front();
    return e;
  }
};

struct Framed {
  const char* name;
  std::string text;
  bool endsByItself;  // its end is told within it
};
const std::vector<Framed> kAnswers = {
    {"length", answerText(200, "X-Load: TEXT queue=2\r\n", "body"), true},
    {"nothing", answerText(200, "", ""), true},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nbod\r\n1\r\ny\r\n0\r\n\r\n", true},
    {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: y\r\n\r\n", true},
    {"interim", "HTTP/1.1 103 X\r\nA: b\r\n\r\n" + answerText(200, "", "body"), true},
    {"neither", "HTTP/1.1 200 OK\r\nX: y\r\n\r\nbody", false}};

// An endpoint dies or its connection breaks in the middle of an answer. Only an orderly end of the connection
// ends an answer without a length, and a reset is none.
TEST_F(HttpUpstreamTest, AnAnswerThatIsCutOffAtAnyByteIsNoneUnlessItsEndIsKnown) {
  for (const Framed& answer : kAnswers)
    for (const bool reset : {false, true})
      for (std::size_t bytes = 0; bytes <= answer.text.size(); ++bytes) {
        SCOPED_TRACE(std::string(answer.name) + (reset ? " reset" : " closed") + " after " +
                     std::to_string(bytes));
        Peer host(io, [&](PeerConnection& c) {
          const std::string part = answer.text.substr(0, bytes);
          if (reset) c.replyThenReset(part);
          else c.reply(part, true);
        });
        make(host.endpoint);
        const AttemptOutcome e = ask();
        const std::size_t head = answer.text.find("\r\n\r\n") + 4;
        const bool whole = answer.endsByItself ? bytes == answer.text.size() : !reset && bytes >= head;
        if (!reset) {
          EXPECT_EQ(e.outcome, whole ? Outcome::served : Outcome::reset);
        } else if (!whole) {
          // The reset may overtake what came before it, never the other way round.
          EXPECT_EQ(e.outcome, Outcome::reset);
        }
        if (e.outcome == Outcome::served) {
          const std::string body = answer.endsByItself ? (answer.name == std::string("nothing") ? "" : "body")
                                                       : answer.text.substr(head, bytes - head);
          EXPECT_EQ(e.response.body, body);
        }
      }
}

// An endpoint that never stops sending: in each part of an answer it is left after a bounded number of bytes.
TEST_F(HttpUpstreamTest, AnAnswerWithoutAnEndIsLeftAfterABoundedNumberOfBytes) {
  struct Endless {
    const char* name;
    std::string begin, more;
    std::size_t most;  // bytes that are read, with what the system holds on the way
  };
  const std::size_t onTheWay = 16 << 20;
  const std::vector<Endless> all = {
      {"head", "HTTP/1.1 200 OK\r\n", "X: y\r\n", kHeaderLimit},
      {"line", "HTTP/1.1 200 OK\r\nX: ", "yyyy", kHeaderLimit},
      {"interim", "", "HTTP/1.1 103 X\r\n\r\n", kHeaderLimit},
      {"body by length", "HTTP/1.1 200 OK\r\nContent-Length: 30000000\r\n\r\n", "xxxx", kMaxBufferedResponseBytes},
      {"body by its end", "HTTP/1.1 200 OK\r\n\r\n", "xxxx", kMaxBufferedResponseBytes},
      {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n", 2 * kMaxBufferedResponseBytes},
      {"chunk head", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4;", "xxxx", 2 * kMaxBufferedResponseBytes},
      {"trailers", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", "X: y\r\n",
       2 * kMaxBufferedResponseBytes},
      {"trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX: ", "yyyy",
       2 * kMaxBufferedResponseBytes}};
  for (const Endless& answer : all) {
    SCOPED_TRACE(answer.name);
    std::string more;
    while (more.size() < 60000) more += answer.more;
    std::size_t sent = 0;
    Peer host(io, [&](PeerConnection& c) {
      c.then([&, from = c.weak_from_this()] {
        const auto to = from.lock();
        if (!to || to->closedByPeer || sent > 2 * onTheWay) return;
        sent += more.size();
        to->reply(more);
      });
      c.reply(answer.begin + more);
    });
    make(host.endpoint);
    const AttemptOutcome e = ask();
    EXPECT_EQ(e.outcome, Outcome::error);
    EXPECT_EQ(e.failureReason, FailureReason::malformedResponse);
    EXPECT_LT(sent, answer.most + onTheWay);
    EXPECT_EQ(pool->connectionCount(), 0u);
    ASSERT_TRUE(until([&] { return host.connections.front()->closedByPeer; }));
    host.connections.front()->then(nullptr);
  }
}

}  // namespace
}  // namespace cairnjunction::testing

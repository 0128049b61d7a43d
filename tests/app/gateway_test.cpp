// The gateway on real loopback sockets: outcomes, limits on repeats, drains, clients, bounds.
#include "app/gateway.hpp"

#include <algorithm>
#include <memory>
#include <set>
#include <utility>
#include <vector>

#include "gateway_waits.hpp"
#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

class GatewayTest : public LoopTest {
 protected:
  FakeDiscovery discovery{io};
  std::vector<std::unique_ptr<Peer>> hosts;
  json config = configJson();
  Gateway::Waits waits = longWatches();
  std::unique_ptr<Gateway> gateway;
  int serial = 0;
  std::vector<std::string> reached;  // uid of the host of each attempt, in order

  // The number of an attempt, over all hosts, tells the script what to do with it.
  using Script = std::function<void(PeerConnection&, std::size_t)>;

  tcp::endpoint addHost(const std::string& zone, Script script, const std::string& state = "SERVING") {
    const std::string uid = "s-" + std::to_string(hosts.size());
    hosts.push_back(std::make_unique<Peer>(io, [this, uid, script](PeerConnection& c) {
      reached.push_back(uid);
      script(c, reached.size() - 1);
    }));
    discovery.list.push_back(target(uid, hosts.back()->endpoint, zone, state));
    return hosts.back()->endpoint;
  }
  void start() {
    config["discovery"] = textOf(discovery.peer.endpoint);
    if (!config.contains("known")) config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
    gateway = std::make_unique<Gateway>(io, parseConfig(config, [](const char*) { return nullptr; }), waits,
                                        [](const std::string&) {});
  }
  std::shared_ptr<Client> client() { return Client::connect(io, gateway->listening()); }
  std::string text(const std::string& kind, const std::string& headers = "", const std::string& body = "") {
    const std::string id = "X-Request-Id: r" + std::to_string(++serial) + "\r\n";
    if (kind == "read") return "GET /read HTTP/1.1\r\nHost: x\r\nX-Class: read\r\n" + id + headers + "\r\n";
    return "POST /" + kind + " HTTP/1.1\r\nHost: x\r\nX-Class: " + kind + "\r\n" + id + headers +
           (kind == "put" ? "Idempotency-Key: k1\r\n" : "") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  // The one answer to one request on a connection of its own.
  Response ask(const std::string& what) {
    auto c = client();
    c->send(what);
    EXPECT_TRUE(until([&] { return !c->answers.empty() || c->closedByPeer; }));
    if (c->answers.empty()) return {};
    return c->answers.front();
  }
  static Script always(const std::string& reply) {
    return [reply](PeerConnection& c, std::size_t) { c.reply(reply); };
  }
  // The first attempt of all goes wrong in a way of its own, each later one is served.
  static Script first(std::function<void(PeerConnection&)> wrong) {
    return [wrong](PeerConnection& c, std::size_t n) {
      if (n == 0) wrong(c);
      else c.reply(answerText(200, "", "late"));
    };
  }
  void shorten(std::size_t cls) {
    config["settings"]["grades"][cls]["aimNs"] = 400'000'000;
    config["settings"]["grades"][cls]["giveUpNs"] = 1'000'000'000;
  }
  void twoHosts(const Script& script) {
    addHost("a", script);
    addHost("a", script);
    start();
  }
};

const char* const kNotRun = "X-Not-Run: 1\r\n";

// --- One path, one host -----------------------------------------------------------------------------------

TEST_F(GatewayTest, TheClassIsThatOfTheCanonicalPathAndTheHostIsSentThatPath) {
  std::vector<std::string> targets;
  addHost("a", [&](PeerConnection& c, std::size_t) {
    targets.push_back(c.request.target().to_string());
    c.reply(answerText(200, "", "x"));
  });
  start();
  const auto get = [&](const std::string& target) {
    return ask("GET " + target + " HTTP/1.1\r\nHost: x\r\nX-Request-Id: p" + std::to_string(++serial) +
               "\r\n\r\n")
        .result_int();
  };
  EXPECT_EQ(get("/read/%2e%2e/write"), 405u);  // it is a write, which no GET asks for
  EXPECT_EQ(get("/read/../write"), 405u);
  EXPECT_EQ(get("/write/../read/a//b/./%63?d=%2f"), 200u);
  EXPECT_EQ(get("/read/a%20b?"), 200u);
  for (const char* bad :
       {"/read/a%2fb", "/read/../../read", "/read/%zz", "/read\\a", "/read/%00", "/read/%2541"})
    EXPECT_EQ(get(bad), 400u) << bad;
  EXPECT_EQ(targets, (std::vector<std::string>{"/read/a/b/c?d=%2f", "/read/a%20b?"}));
}

TEST_F(GatewayTest, ARequestSaysItsHostOnce) {
  addHost("a", always(answerText(200, "", "x")));
  start();
  const auto get = [&](const std::string& version, const std::string& host) {
    return ask("GET /read HTTP/" + version + "\r\n" + host + "X-Request-Id: h" + std::to_string(++serial) +
               "\r\n\r\n")
        .result_int();
  };
  EXPECT_EQ(get("1.1", ""), 400u);
  EXPECT_EQ(get("1.1", "Host: a\r\nHost: a\r\n"), 400u);
  EXPECT_EQ(get("1.1", "Host: a b\r\n"), 400u);
  EXPECT_EQ(get("1.1", "Host: u@a\r\n"), 400u);
  EXPECT_EQ(get("1.0", "Host: a\r\nHost: b\r\n"), 400u);
  EXPECT_EQ(get("1.1", "Host: a:80\r\n"), 200u);
  EXPECT_EQ(get("1.1", "Host:\r\n"), 200u);
  EXPECT_EQ(get("1.0", ""), 200u);
  EXPECT_EQ(reached.size(), 3u);
}

// --- What goes through ----------------------------------------------------------------------------------

TEST_F(GatewayTest, PassesTheRequestAndTheAnswerUnchanged) {
  addHost("a", always(answerText(200, "X-Load: TEXT queue=2\r\nContent-Type: a/b\r\n", "plan \x01")));
  start();
  auto c = client();
  c->send(
      "POST /put/7?q=1&r=%20 HTTP/1.1\r\nHost: x\r\nX-Class: put\r\nX-Request-Id: id-9\r\n"
      "X-Deadline-Ms: 900\r\nIdempotency-Key: key-9\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\n"
      "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  ASSERT_TRUE(until([&] { return !c->answers.empty(); }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
  EXPECT_EQ(c->answers[0].body(), "plan \x01");
  EXPECT_EQ(c->answers[0]["Content-Type"], "a/b");
  EXPECT_EQ(c->answers[0].count("X-Load"), 0u);
  const Request& sent = hosts[0]->requests.at(0);
  EXPECT_EQ(sent.method(), http::verb::post);
  EXPECT_EQ(sent.target(), "/put/7?q=1&r=%20");
  EXPECT_EQ(sent.body(), "abcde");
  EXPECT_EQ(sent["X-Request-Id"], "id-9");
  EXPECT_EQ(sent["Idempotency-Key"], "key-9");
  EXPECT_EQ(sent.count("X-Hop"), 0u) << "what concerns one connection is not passed on";
}

TEST_F(GatewayTest, TheHostIsToldLessTimeThanTheClientWaits) {
  addHost("a", always(answerText(200, "", "")));
  start();
  EXPECT_EQ(ask(text("read", "X-Deadline-Ms: 15000\r\n")).result_int(), 200u);
  const long told = std::stol(hosts[0]->requests.at(0)["X-Deadline-Ms"].to_string());
  EXPECT_LE(told, 15000 - kReplyMargin.count());
  EXPECT_GT(told, 0);
}

TEST_F(GatewayTest, ReusesTheLatestConnection) {
  addHost("a", always(answerText(200, "", "x")));
  start();
  auto c = client();
  for (std::size_t i = 0; i < 5; ++i) {
    c->send(text("write"));
    ASSERT_TRUE(until([&] { return c->answers.size() == i + 1; }));
  }
  EXPECT_EQ(hosts[0]->connections.size(), 1u);
}

TEST_F(GatewayTest, AnIdleConnectionThatTheHostClosedIsNotUsed) {
  // An unsafe request written to it would end as a reset, which may have run: it would fail for nothing.
  addHost("a", always(answerText(200, "", "x")));
  start();
  EXPECT_EQ(ask(text("write")).result_int(), 200u);
  hosts[0]->connections[0]->close();
  EXPECT_EQ(ask(text("write")).result_int(), 200u);
  EXPECT_EQ(hosts[0]->connections.size(), 2u);
}

TEST_F(GatewayTest, AConnectionNearTheHostsIdleLimitIsClosedFirst) {
  config["settings"]["ceilings"]["idleCloseNs"] = 100'000'000;
  addHost("a", always(answerText(200, "", "x")));
  start();
  EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_TRUE(until([&] { return hosts[0]->connections[0]->closedByPeer; }));
}

TEST_F(GatewayTest, RequestsSentAheadAreAnsweredInTurn) {
  addHost("a", [](PeerConnection& c, std::size_t n) { c.reply(answerText(200, "", std::to_string(n))); });
  start();
  auto c = client();
  c->send(text("read") + text("read") + text("read"));
  ASSERT_TRUE(until([&] { return c->answers.size() == 3; }));
  for (std::size_t i = 0; i < 3; ++i) EXPECT_EQ(c->answers[i].body(), std::to_string(i));
}

// A request's time counts from its last byte, also while it waits behind others on its connection.
TEST_F(GatewayTest, ARequestWhoseTimeIsUpWhenItsTurnComesIsRefusedAndNotSentOn) {
  using Clock = std::chrono::steady_clock;
  config["settings"]["grades"][0]["aimNs"] = config["settings"]["grades"][0]["giveUpNs"] = 100'000'000;
  std::shared_ptr<PeerConnection> held;
  addHost("a", [&](PeerConnection& c, std::size_t) { held = c.shared_from_this(); });
  start();
  auto c = client();
  c->send(text("write") + text("read"));
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  const auto from = Clock::now();
  ASSERT_TRUE(until([&] { return Clock::now() - from > std::chrono::milliseconds(150); }));
  held->reply(answerText(200, "", "ok"));
  ASSERT_TRUE(until([&] { return c->answers.size() == 2; }));
  EXPECT_EQ(c->answers[0].result_int(), 200u);
  EXPECT_EQ(c->answers[1].result_int(), 503u) << "it was never sent on";
  EXPECT_EQ(hosts[0]->requests.size(), 1u);
}

// --- The outcome table ----------------------------------------------------------------------------------

struct Row {
  const char* name;
  std::function<void(PeerConnection&)> wrong;
  bool mayHaveRun;
};
std::ostream& operator<<(std::ostream& out, const Row& row) { return out << row.name; }

std::string many(const std::string& text) {  // of it, as much as no head may hold
  std::string all;
  while (all.size() < 3 * kHeaderLimit) all += text;
  return all;
}

class Outcomes : public GatewayTest, public ::testing::WithParamInterface<Row> {};

TEST_P(Outcomes, UnsafeIsSentAgainOnlyIfItNeverRan) {
  twoHosts(first(GetParam().wrong));
  const Response r = ask(text("write", "", "body"));
  EXPECT_EQ(r.result_int(), GetParam().mayHaveRun ? 502u : 200u);
  EXPECT_EQ(reached.size(), GetParam().mayHaveRun ? 1u : 2u);
}

TEST_P(Outcomes, SafeIsSentAgainToTheOtherHost) {
  twoHosts(first(GetParam().wrong));
  const Response r = ask(text("read"));
  EXPECT_EQ(r.result_int(), 200u);
  EXPECT_EQ(r.body(), "late") << "nothing of the broken answer is served";
  EXPECT_EQ(std::set<std::string>(reached.begin(), reached.end()).size(), 2u);
}

INSTANTIATE_TEST_SUITE_P(
    Protocol, Outcomes,
    ::testing::Values(
        Row{"error", [](PeerConnection& c) { c.reply(answerText(500, "", "no")); }, true},
        Row{"full503", [](PeerConnection& c) { c.reply(answerText(503, kNotRun, "")); }, false},
        Row{"full504", [](PeerConnection& c) { c.reply(answerText(504, kNotRun, "")); }, false},
        Row{"bare503", [](PeerConnection& c) { c.reply(answerText(503, "", "")); }, true},
        Row{"bare504", [](PeerConnection& c) { c.reply(answerText(504, "X-Not-Run: 0\r\n", "")); }, true},
        Row{"errorThatClaimsNotRun", [](PeerConnection& c) { c.reply(answerText(500, kNotRun, "")); }, true},
        Row{"unexpected", [](PeerConnection& c) { c.reply(answerText(302, "Location: /\r\n", "")); }, true},
        Row{"reset", [](PeerConnection& c) { c.reset(); }, true},
        Row{"closed", [](PeerConnection& c) { c.close(); }, true},
        Row{"garbage", [](PeerConnection& c) { c.reply("what?\r\n\r\n"); }, true},
        Row{"cutHead", [](PeerConnection& c) { c.reply("HTTP/1.1 200 OK\r\nConte", true); }, true},
        Row{"cutBody",
            [](PeerConnection& c) { c.reply("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true); },
            true},
        Row{"cutChunk",
            [](PeerConnection& c) {
              c.reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n", true);
            },
            true},
        Row{"resetInOneThatEndsWithItsConnection",
            [](PeerConnection& c) { c.replyThenReset("HTTP/1.1 200 OK\r\n\r\nhalf"); }, true},
        Row{"tooLarge",
            [](PeerConnection& c) {
              c.reply("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(kBodyMost + 1) + "\r\n\r\nabc");
            },
            true},
        // The connection stays open behind these: it is of no further use, and nobody waits for more.
        Row{"threeGigabytes",
            [](PeerConnection& c) { c.reply("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nabc"); },
            true},
        Row{"endlessHead", [](PeerConnection& c) { c.reply("HTTP/1.1 200 OK\r\n" + many("X: y\r\n")); },
            true},
        Row{"endlessLine", [](PeerConnection& c) { c.reply("HTTP/1.1 200 OK\r\nX: " + many("yyyy")); }, true},
        Row{"endlessChunkHead",
            [](PeerConnection& c) {
              c.reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;" + many("yyyyy") +
                      many("yyyyy"));
            },
            true},
        Row{"badChunk",
            [](PeerConnection& c) {
              c.reply("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab\r\n0\r\n\r\n");
            },
            true},
        Row{"twoLengths", [](PeerConnection& c) { c.reply(answerText(200, "Content-Length: 3\r\n", "abc")); },
            true},
        Row{"lengthAndCoding",
            [](PeerConnection& c) {
              c.reply(answerText(200, "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n"));
            },
            true},
        Row{"negativeLength",
            [](PeerConnection& c) { c.reply("HTTP/1.1 200 OK\r\nContent-Length: -3\r\n\r\nabc"); }, true},
        Row{"switched", [](PeerConnection& c) { c.reply("HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n"); }, true},
        Row{"endlessInterim", [](PeerConnection& c) { c.reply(many("HTTP/1.1 103 X\r\n\r\n")); }, true}),
    [](const auto& row) { return row.param.name; });

TEST_F(GatewayTest, AnswersAheadAreSkipped) {
  addHost("a", always("HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\nHTTP/1.1 102 X\r\n\r\n" +
                      answerText(200, "", "final")));
  start();
  EXPECT_EQ(ask(text("write")).body(), "final");
  EXPECT_EQ(ask(text("write")).body(), "final");
  EXPECT_EQ(hosts[0]->connections.size(), 1u) << "and nothing is wrong with the connection";
}

TEST_F(GatewayTest, WhatComesBehindAWholeAnswerIsNobodysAnswer) {
  addHost("a", [](PeerConnection& c, std::size_t n) {
    const std::string answer = answerText(200, "", std::to_string(n));
    c.reply(n % 2 == 0 ? answer + answer : answer + "\x01noise");
  });
  start();
  for (int i = 0; i < 4; ++i) EXPECT_EQ(ask(text("write")).body(), std::to_string(i));
  EXPECT_EQ(hosts[0]->connections.size(), 4u);
}

TEST_F(GatewayTest, AnAnswerThatArrivesAsItsClientLeavesDisturbsNobody) {
  // Both are ready in one turn of the loop: the attempt is cancelled with its answer read already.
  std::vector<std::shared_ptr<PeerConnection>> held;
  addHost("a", [&](PeerConnection& c, std::size_t) { held.push_back(c.shared_from_this()); });
  start();
  for (std::size_t i = 0; i < 20; ++i) {
    auto c = client();
    c->send(text("write", "", "x"));
    ASSERT_TRUE(until([&] { return held.size() == i + 1; }));
    if (i % 2) c->close();
    held.back()->reply(answerText(200, "", "late"));
    if (i % 2 == 0) c->close();
  }
  hosts[0]->script = [](PeerConnection& p) { p.reply(answerText(200, "", "on")); };
  EXPECT_EQ(ask(text("read")).body(), "on");
}

TEST_F(GatewayTest, AHostThatRefusesConnectionsCostsNoRequest) {
  twoHosts(always(answerText(200, "", "x")));
  hosts[0]->stopListening();
  for (int i = 0; i < 8; ++i) EXPECT_EQ(ask(text("write")).result_int(), 200u);
}

TEST_F(GatewayTest, WithAllHostsFullItIsRefused) {
  twoHosts(always(answerText(503, kNotRun, "")));
  EXPECT_EQ(ask(text("write")).result_int(), 503u) << "it never ran: a refusal, not a failure";
}

TEST_F(GatewayTest, ATimedOutUnsafeRequestFailsAndItsConnectionIsClosed) {
  shorten(1);
  twoHosts([](PeerConnection&, std::size_t) {});
  EXPECT_EQ(ask(text("write")).result_int(), 502u);
  EXPECT_EQ(reached.size(), 1u);
  // A late answer on it would be taken for that to the next request.
  EXPECT_TRUE(until([&] {
    return std::any_of(hosts.begin(), hosts.end(), [](const auto& h) {
      return !h->connections.empty() && h->connections[0]->closedByPeer;
    });
  }));
}

TEST_F(GatewayTest, ATimedOutSafeRequestIsRefused) {
  shorten(0);
  twoHosts([](PeerConnection&, std::size_t) {});
  EXPECT_EQ(ask(text("read")).result_int(), 503u);
}

TEST_F(GatewayTest, AtTheClientsDeadlineItIsAnsweredAndNothingMoreIsSent) {
  twoHosts([](PeerConnection&, std::size_t) {});
  EXPECT_EQ(ask(text("read", "X-Deadline-Ms: 1000\r\n")).result_int(), 503u) << "long before the aim";
  EXPECT_EQ(reached.size(), 1u) << "the attempt took all the time there was";
  EXPECT_LT(std::stol(hosts[reached[0] == "s-0" ? 0 : 1]->requests.at(0)["X-Deadline-Ms"].to_string()), 1000);
}

TEST_F(GatewayTest, WithNoTimeLeftNothingIsSent) {
  twoHosts(always(answerText(200, "", "x")));
  EXPECT_EQ(ask(text("write", "X-Deadline-Ms: 1\r\n")).result_int(), 503u);
  EXPECT_TRUE(reached.empty());
}

TEST_F(GatewayTest, AKeptAnswerThatComesAfterTheClientLeftDisturbsNobody) {
  config["settings"]["ceilings"]["cancel"] = false;  // the attempt goes on, and its answer is for nobody
  std::shared_ptr<PeerConnection> held;
  addHost("a", [&](PeerConnection& c, std::size_t n) {
    if (n == 0) held = c.shared_from_this();
    else c.reply(answerText(200, "", "mine"));
  });
  start();
  auto c = client();
  c->send(text("read"));
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  c->close();
  held->reply(answerText(200, "", "late"));
  for (int i = 0; i < 3; ++i) EXPECT_EQ(ask(text("read")).body(), "mine");
}

// --- Keyed requests -------------------------------------------------------------------------------------

TEST_F(GatewayTest, WithSeveralOnEachHostTheNextGoToTheOneThatHoldsFew) {
  const auto waits = [](PeerConnection&, std::size_t) {};
  for (int i = 0; i < 6; ++i) addHost("a", waits);
  start();
  std::vector<std::pair<std::string, std::shared_ptr<Client>>> open;  // host and client of each request
  const auto sendOne = [&] {
    auto c = client();
    c->send(text("write"));
    const std::size_t before = reached.size();
    ASSERT_TRUE(until([&] { return reached.size() > before; }));
    open.emplace_back(reached.back(), c);
  };
  for (int i = 0; i < 12; ++i) sendOne();
  for (const char* const freed : {"s-1", "s-4", "s-2"}) {
    std::size_t left = 0;
    for (auto& [host, c] : open)
      if (host == freed) c->close(), ++left;
    std::erase_if(open, [&](const auto& o) { return o.first == freed; });
    ASSERT_GE(left, 2u) << "the twelve lie evenly on six hosts";
    Peer& host = *hosts[static_cast<std::size_t>(freed[2] - '0')];
    ASSERT_TRUE(until([&] {
      return std::all_of(host.connections.begin(), host.connections.end(),
                         [](const auto& c) { return c->closedByPeer; });
    }));
    for (int i = 0; i < 2; ++i) {
      sendOne();
      EXPECT_EQ(reached.back(), freed) << "all the others hold about two";
    }
  }
}

TEST_F(GatewayTest, KeyedThatMayHaveRunStaysInItsZone) {
  const Script script = first([](PeerConnection& c) { c.reset(); });
  for (const char* zone : {"a", "a", "b", "b"}) addHost(zone, script);
  start();
  EXPECT_EQ(ask(text("put")).result_int(), 200u);
  ASSERT_EQ(reached.size(), 2u);
  const auto zoneOf = [](const std::string& uid) { return uid < "s-2" ? 'a' : 'b'; };
  EXPECT_EQ(zoneOf(reached[0]), zoneOf(reached[1]));
  EXPECT_NE(reached[0], reached[1]);
}

TEST_F(GatewayTest, KeyedIsNotSentAgainPastItsWindow) {
  config["settings"]["grades"][2]["windowNs"] = 1;
  twoHosts(first([](PeerConnection& c) { c.reset(); }));
  EXPECT_EQ(ask(text("put")).result_int(), 502u);
  EXPECT_EQ(reached.size(), 1u);
}

TEST_F(GatewayTest, KeyedWithoutItsKeyIsNotTaken) {
  twoHosts(always(answerText(200, "", "x")));
  EXPECT_EQ(ask("POST /put HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\nContent-Length: 0\r\n\r\n").result_int(),
            400u);
  EXPECT_TRUE(reached.empty());
}

// --- Clients --------------------------------------------------------------------------------------------

TEST_F(GatewayTest, AClientThatLeavesCancelsItsAttempt) {
  addHost("a", [](PeerConnection&, std::size_t) {});
  start();
  auto c = client();
  c->send(text("read"));
  ASSERT_TRUE(until([&] { return reached.size() == 1; }));
  c->close();
  EXPECT_TRUE(until([&] { return hosts[0]->connections[0]->closedByPeer; }));
  hosts[0]->script = [](PeerConnection& p) { p.reply(answerText(200, "", "on")); };
  EXPECT_EQ(ask(text("read")).body(), "on");
}

TEST_F(GatewayTest, ARefusalAfterFailedAttemptsCarriesRetryAfter) {
  config["settings"]["ceilings"]["retryAfter"] = true;
  twoHosts(always(answerText(503, kNotRun, "")));
  const Response r = ask(text("write"));
  EXPECT_EQ(r.result_int(), 503u);
  EXPECT_EQ(r.count("Retry-After"), 1u);
  EXPECT_FALSE(reached.empty());
}

TEST_F(GatewayTest, ManyLaterTriesDoNotMakeFirstOnesLookLate) {
  // A try has 14 s of the client's 20 s, a later one what is left. One whose aim is over is refused unsent.
  config["settings"]["grades"][0]["aimNs"] = 5'000'000'000;
  addHost("a", always(answerText(200, "", "x")));
  start();
  const std::string firstTry = "X-Deadline-Ms: 14000\r\n";
  EXPECT_EQ(ask(text("read", firstTry)).result_int(), 200u);
  for (int i = 0; i < 60; ++i) {
    const std::string left = "X-Deadline-Ms: " + std::to_string(800 + 400 * (i * 7 % 28)) + "\r\n";
    EXPECT_EQ(ask(text("read", i % 4 == 3 ? firstTry : left)).result_int(), i % 4 == 3 ? 200u : 503u) << i;
  }
}

TEST_F(GatewayTest, AfterAStartWithALaterTryFirstOnesAreServed) {
  config["settings"]["grades"][0]["aimNs"] = 5'000'000'000;
  addHost("a", always(answerText(200, "", "x")));
  start();
  ask(text("read", "X-Deadline-Ms: 2000\r\n"));
  EXPECT_EQ(ask(text("read", "X-Deadline-Ms: 14000\r\n")).result_int(), 200u);
}

TEST_F(GatewayTest, RefusalsOfAnOverloadCarryRetryAfter) {
  config["settings"]["ceilings"]["retryAfter"] = true;
  addHost("a", [](PeerConnection&, std::size_t) {});
  start();
  std::vector<std::shared_ptr<Client>> clients;
  for (int i = 0; i < 60; ++i) {
    clients.push_back(client());
    clients.back()->send(text("read"));
  }
  ASSERT_TRUE(until([&] {
    return std::any_of(clients.begin(), clients.end(), [](const auto& c) {
      return !c->answers.empty() && c->answers[0].result_int() == 503 && c->answers[0].count("Retry-After");
    });
  }));
}

TEST_F(GatewayTest, BadInputIsAnsweredAndServiceGoesOn) {
  twoHosts(always(answerText(200, "", "ok")));
  EXPECT_EQ(ask("nonsense\r\n\r\n").result_int(), 400u);
  EXPECT_EQ(ask("GET /read HTTP/1.1\r\nHost: x\r\nX-Class: read\r\n\r\n").result_int(), 400u) << "no id";
  EXPECT_EQ(ask(text("read", "X-Deadline-Ms: soon\r\n")).result_int(), 400u);
  EXPECT_EQ(ask("GET /other HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\n\r\n").result_int(), 404u);
  EXPECT_EQ(ask("GET /alive HTTP/1.1\r\nHost: x\r\n\r\n").result_int(), 404u);
  EXPECT_EQ(ask("GET /write HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\n\r\n").result_int(), 405u);
  EXPECT_EQ(ask("POST /write HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\nContent-Length: " +
                std::to_string(kBodyMost + 1) + "\r\n\r\n")
                .result_int(),
            413u);
  EXPECT_EQ(ask(text("read", "X-Long: " + std::string(kHeaderLimit, 'x') + "\r\n")).result_int(), 413u);
  EXPECT_TRUE(reached.empty());
  EXPECT_EQ(ask(text("write", "", std::string(100'000, 'x'))).result_int(), 200u);
}

TEST_F(GatewayTest, AChunkHeadWithoutEndIsTooLargeAndEndsNothingElse) {
  twoHosts(always(answerText(200, "", "ok")));
  EXPECT_EQ(ask("POST /write HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\nTransfer-Encoding: chunked\r\n\r\n5;" +
                std::string(400'000, 'x'))
                .result_int(),
            413u);
  EXPECT_EQ(ask(text("write")).result_int(), 200u);
}

TEST_F(GatewayTest, AConnectionTooSlowToSendIsClosed) {
  waits.clients.slow = std::chrono::milliseconds(20);
  twoHosts(always(answerText(200, "", "ok")));
  auto c = client();
  c->send("GET /read HT");
  EXPECT_TRUE(until([&] { return c->closedByPeer; }));
  EXPECT_TRUE(c->answers.empty());
}

TEST_F(GatewayTest, AConnectionThatSaysNothingIsClosedAndAnIdleOneIsKeptLonger) {
  twoHosts(always(answerText(200, "", "ok")));
  gateway.reset();
  waits.clients.slow = std::chrono::milliseconds(1000);
  start();
  auto usual = client();
  usual->send(text("read"));
  ASSERT_TRUE(until([&] { return usual->answers.size() == 1; }));
  auto silent = client();
  EXPECT_TRUE(until([&] { return silent->closedByPeer; }));
  EXPECT_FALSE(usual->closedByPeer);
}

TEST_F(GatewayTest, WhereAMessageEndsMayNotBeInDoubt) {
  twoHosts(always(answerText(200, "", "ok")));
  const std::string post = "POST /write HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\n";
  const std::string hidden = "GET /read HTTP/1.1\r\nHost: x\r\nX-Request-Id: hidden\r\n\r\n";
  const std::string coded = "Transfer-Encoding: chunked\r\n";
  for (const std::string& bad :
       {post + "Content-Length: 4\r\n" + coded + "\r\n0\r\n\r\n" + hidden,
        post + coded + "Content-Length: 4\r\n\r\n0\r\n\r\n" + hidden,
        post + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nab" + hidden,
        post + "Content-Length: 2, 2\r\n\r\nab" + hidden,
        post + "Content-Length: +2\r\n\r\nab" + hidden,
        post + "Content-Length: -2\r\n\r\nab" + hidden,
        post + "Content-Length: 0x2\r\n\r\nab" + hidden,
        post + "Content-Length: \r\n\r\n" + hidden,
        post + "Content-Length : 2\r\n\r\nab" + hidden,
        post + "Content-Length: 99999999999999999999\r\n\r\nab",
        post + coded + coded + "\r\n0\r\n\r\n" + hidden,
        post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" + hidden,
        post + "Transfer-Encoding: identity\r\n\r\n" + hidden,
        post + "X: a\r\n b\r\n\r\n" + hidden,
        post + "X: a\nY: b\r\n\r\n" + hidden,
        post + std::string("X: a\0b\r\n\r\n", 10) + hidden,
        post + "X: a\rb\r\n\r\n" + hidden,
        post + "no colon\r\n\r\n" + hidden,
        post + coded + "\r\nzz\r\nab\r\n0\r\n\r\n" + hidden,
        std::string("GET  /read HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\n\r\n"),
        std::string("GET /read HTTP/2.0\r\nX-Request-Id: r\r\n\r\n"),
        std::string("POST /write HTTP/1.0\r\nX-Request-Id: r\r\n") + coded + "\r\n0\r\n\r\n" + hidden}) {
    auto c = client();
    c->send(bad);
    ASSERT_TRUE(until([&] { return c->closedByPeer; })) << bad;
    ASSERT_EQ(c->answers.size(), 1u) << bad;
    EXPECT_EQ(c->answers[0].result_int(), 400u) << bad;
  }
  EXPECT_TRUE(reached.empty());
}

// The end of a request that is in error may be known all the same. Those sent at once behind it were read and
// dropped, and never had an answer.
TEST_F(GatewayTest, RequestsBehindOneInErrorWhoseEndIsKnownAreAnswered) {
  addHost("a", always(answerText(200, "", "x")));
  auto& grades = config["settings"]["grades"];
  start();
  const json all = grades;
  grades = json::array({all[1], all[2]});  // "read" is gone
  gateway->reload(parseConfig(config, [](const char*) { return nullptr; }));
  const std::string post = "POST /write HTTP/1.1\r\nHost: x\r\n", id = "X-Request-Id: e1\r\n";
  const std::string end = "Content-Length: 2\r\n\r\n{}";
  const struct {
    std::string request;
    unsigned status;
  } errors[] = {{text("read"), 404},
                {"GET /write HTTP/1.1\r\nHost: x\r\n" + id + "\r\n", 405},
                {"PUT /write HTTP/1.1\r\nHost: x\r\n" + id + end, 405},
                {post + end, 400},
                {post + id + id + end, 400},
                {post + id + "X-Request-Id: e2\r\n" + end, 400},
                {post + id + "X-Deadline-Ms: soon\r\n" + end, 400},
                {post + "Host: y\r\n" + id + end, 400},
                {"POST /write%2f HTTP/1.1\r\nHost: x\r\n" + id + end, 400},
                {post + id + "Transfer-Encoding: chunked\r\nX-Class: put\r\n\r\n2\r\n{}\r\n0\r\n\r\n", 400}};
  for (const auto& error : errors) {
    SCOPED_TRACE(error.request);
    const std::size_t before = reached.size();
    auto c = client();
    c->send(text("write") + error.request + text("write") + error.request + text("put", "", "{}"));
    ASSERT_TRUE(until([&] { return c->answers.size() == 5 || c->closedByPeer; }));
    ASSERT_EQ(c->answers.size(), 5u);
    for (const std::size_t served : {0, 2, 4}) EXPECT_EQ(c->answers[served].result_int(), 200u);
    for (const std::size_t wrong : {1, 3}) EXPECT_EQ(c->answers[wrong].result_int(), error.status);
    EXPECT_EQ(reached.size(), before + 3) << "none in error is forwarded, no other one twice";
    EXPECT_FALSE(c->closedByPeer);
  }
}

// What follows a request whose end is in doubt may be no request: the answers before it are given, then one
// error.
TEST_F(GatewayTest, ARequestWhoseEndIsInDoubtIsTheLastOfItsConnection) {
  addHost("a", always(answerText(200, "", "x")));
  start();
  auto c = client();
  c->send(text("write") + text("write") + "nonsense\r\n\r\n" + text("write"));
  ASSERT_TRUE(until([&] { return c->closedByPeer; }));
  ASSERT_EQ(c->answers.size(), 3u);
  EXPECT_EQ(c->answers[1].result_int(), 200u);
  EXPECT_EQ(c->answers[2].result_int(), 400u);
  EXPECT_EQ(reached.size(), 2u);
}

TEST_F(GatewayTest, ARejectedBodyIsNotReadToItsEnd) {
  twoHosts(always(answerText(200, "", "ok")));
  auto c = client();
  const std::size_t before = gateway->connections();
  c->send("POST /write HTTP/1.1\r\nHost: x\r\nX-Request-Id: r\r\nContent-Length: 60000000\r\n\r\n" +
          std::string(60'000'000, 'x'));
  EXPECT_TRUE(until([&] { return gateway->connections() < before + 1 && c->closedByPeer; }));
  EXPECT_TRUE(c->answers.empty() || c->answers[0].result_int() == 413u);
}

TEST_F(GatewayTest, BodiesUnderWayAreBoundedByTheMemory) {
  waits.clients.bodyBytes = 64 << 10;
  twoHosts(always(answerText(200, "", "ok")));
  auto slow = client();
  slow->send("POST /write HTTP/1.1\r\nHost: x\r\nX-Request-Id: slow\r\nContent-Length: 60000\r\n\r\n" +
             std::string(59000, 'x'));
  const std::string large = text("write", "", std::string(10000, 'x'));
  ASSERT_TRUE(until([&] { return ask(large).result_int() == 503u; }));  // as soon as the first is read
  slow->send(std::string(1000, 'x'));
  ASSERT_TRUE(until([&] { return slow->answers.size() == 1; }));
  EXPECT_EQ(slow->answers[0].result_int(), 200u);
  EXPECT_EQ(ask(text("write", "", std::string(10000, 'x'))).result_int(), 200u);
}

TEST_F(GatewayTest, ClientsThatConnectAndSayNothingDoNotDriveOutTheOthers) {
  waits.clients.connections = 8;
  twoHosts(always(answerText(200, "", "ok")));
  auto usual = client();
  usual->send(text("read"));
  ASSERT_TRUE(until([&] { return usual->answers.size() == 1; }));
  std::vector<std::shared_ptr<Client>> silent;
  for (int i = 0; i < 40; ++i) silent.push_back(client());
  EXPECT_EQ(ask(text("read")).result_int(), 200u) << "behind all of them";
  EXPECT_FALSE(usual->closedByPeer);
  usual->send(text("read"));
  EXPECT_TRUE(until([&] { return usual->answers.size() == 2; }));
}

TEST_F(GatewayTest, ClientsThatStopWithinARequestDoNotDriveOutTheOthers) {
  waits.clients.connections = 8;
  twoHosts(always(answerText(200, "", "ok")));
  auto usual = client();
  usual->send(text("read"));
  ASSERT_TRUE(until([&] { return usual->answers.size() == 1; }));
  std::vector<std::shared_ptr<Client>> stopping;
  for (int i = 0; i < 24; ++i) {
    stopping.push_back(client());
    stopping.back()->send("POST /write HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n");
  }
  EXPECT_EQ(ask(text("read")).result_int(), 200u) << "behind all of them";
  EXPECT_FALSE(usual->closedByPeer);
  usual->send(text("read"));
  EXPECT_TRUE(until([&] { return usual->answers.size() == 2; }));
}

TEST_F(GatewayTest, ClientsThatAskOnceAndStayLeaveRoomBeforeItIsNeeded) {
  config["limits"]["sockets"] = 96;  // 38 clients at most, 24 that have asked
  waits.clients.idle = std::chrono::minutes(10);
  addHost("a", always(answerText(200, "", "x")));
  start();
  std::vector<std::shared_ptr<Client>> stay;
  const auto used = client();
  for (std::size_t i = 0; i < 30; ++i) {
    stay.push_back(client());
    for (const auto& c : {stay.back(), used}) {
      const std::size_t before = c->answers.size();
      c->send(text("read"));
      ASSERT_TRUE(until([&] { return c->answers.size() > before; }));
    }
  }
  EXPECT_TRUE(until([&] {
    return std::count_if(stay.begin(), stay.end(), [](const auto& c) { return c->closedByPeer; }) == 31 - 24;
  }));
  EXPECT_TRUE(stay.front()->closedByPeer);
  EXPECT_FALSE(stay.back()->closedByPeer);
  EXPECT_FALSE(used->closedByPeer) << "the one that asks again and again is not the longest idle";
}

TEST_F(GatewayTest, IdleClientsMakeRoomForNewOnes) {
  waits.clients.connections = 4;
  twoHosts(always(answerText(200, "", "ok")));
  std::vector<std::shared_ptr<Client>> idle;
  for (int i = 0; i < 4; ++i) idle.push_back(client());
  for (int i = 0; i < 6; ++i) EXPECT_EQ(ask(text("read")).result_int(), 200u);
}

TEST_F(GatewayTest, ConnectionsToHostsAreBounded) {
  config["limits"]["sockets"] = 64;  // leaves a dozen for hosts
  shorten(1);
  addHost("a", [](PeerConnection&, std::size_t) {});
  start();
  std::vector<std::shared_ptr<Client>> clients;
  for (int i = 0; i < 19; ++i) {
    clients.push_back(client());
    clients.back()->send(text("write"));
  }
  ASSERT_TRUE(until([&] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return c->answers.size() == 1; });
  }));
  EXPECT_LE(hosts[0]->connections.size(), 12u);
}

TEST_F(GatewayTest, IsUpOnceItKnowsHosts) {
  config["known"] = {{"rev", 0}, {"all", true}, {"targets", json::array()}};
  discovery.failing = true;
  twoHosts(always(answerText(200, "", "ok")));
  EXPECT_EQ(ask("GET /up HTTP/1.1\r\n\r\n").result_int(), 503u);
  gateway.reset();
  config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
  start();
  EXPECT_EQ(ask("GET /up HTTP/1.1\r\n\r\n").result_int(), 200u);
}

// --- Discovery ------------------------------------------------------------------------------------------

TEST_F(GatewayTest, NothingNewGoesToAHostThatDrains) {
  twoHosts(always(answerText(200, "", "ok")));
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  for (int i = 0; i < 20; ++i) ask(text("read"));
  discovery.push({{"all", false}, {"targets", {target("s-0", hosts[0]->endpoint, "a", "DRAINING")}}});
  // The next watch tells that the last answer was taken in.
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  EXPECT_NE(discovery.targets.back().find("since=2"), std::string::npos) << discovery.targets.back();
  const std::size_t before = hosts[0]->requests.size();
  for (int i = 0; i < 20; ++i) EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_EQ(hosts[0]->requests.size(), before);
}

TEST_F(GatewayTest, WhatAFullListLeavesOutIsGone) {
  twoHosts(always(answerText(200, "", "ok")));
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  discovery.push({{"all", true}, {"targets", {target("s-1", hosts[1]->endpoint)}}});
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  for (int i = 0; i < 20; ++i) EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_TRUE(hosts[0]->requests.empty());
}

TEST_F(GatewayTest, TheKnownListMayBeOld) {
  twoHosts(always(answerText(200, "", "ok")));
  EXPECT_TRUE(until([&] { return !discovery.targets.empty(); }));
  EXPECT_NE(discovery.targets[0].find("since=1&"), std::string::npos)
      << "what it missed is asked for at once";
}

TEST_F(GatewayTest, WithNoKnownListTheWholeOneIsAskedFor) {
  addHost("a", always(answerText(200, "", "ok")));
  config["known"] = nullptr;
  config["discovery"] = textOf(discovery.peer.endpoint);
  config.erase("known");
  gateway = std::make_unique<Gateway>(io, parseConfig(config, [&](const char*) { return nullptr; }), waits,
                                      [](const std::string&) {});
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  EXPECT_EQ(discovery.targets[0], "/discovery/hosts");
  EXPECT_EQ(ask(text("read")).result_int(), 200u);
}

TEST_F(GatewayTest, AFailedWatchIsBegunAgainByTheModule) {
  discovery.failing = true;
  twoHosts(always(answerText(200, "", "ok")));
  ASSERT_TRUE(until([&] { return !discovery.targets.empty(); }));
  discovery.failing = false;
  EXPECT_TRUE(until([&] { return discovery.held.size() == 1; }));
  discovery.held[0]->reply(answerText(200, "", "garbage"));
  discovery.held.clear();
  EXPECT_TRUE(until([&] { return discovery.held.size() == 1; }));
  EXPECT_EQ(ask(text("read")).result_int(), 200u);
}

// Where lists are pushed, nobody asks for them but the gateway itself.
TEST_F(GatewayTest, PushedListsAreWatchedFromTheStart) {
  config["settings"]["registryMode"] = "push";
  twoHosts(always(answerText(200, "", "ok")));
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  discovery.push({{"all", false}, {"targets", {target("s-0", hosts[0]->endpoint, "a", "DRAINING")}}});
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  for (int i = 0; i < 20; ++i) EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_TRUE(hosts[0]->requests.empty());
  EXPECT_EQ(hosts[1]->requests.size(), 20u);
}

TEST_F(GatewayTest, AnAgentThatIsSilentAtTheStartIsAskedUntilItSpeaks) {
  config["settings"]["registryMode"] = "push";
  waits.discovery.response = std::chrono::milliseconds(20);
  std::size_t calls = 0;
  discovery.peer.script = [&](PeerConnection& c) {
    if (++calls == 5)
      c.reply(answerText(200, "", json{{"rev", 2}, {"all", true}, {"targets", discovery.list}}.dump()));
  };
  addHost("a", always(answerText(200, "", "ok")));
  addHost("a", always(answerText(200, "", "ok")));
  config["known"] = {{"rev", 1}, {"all", true}, {"targets", json::array({discovery.list[0]})}};
  start();
  EXPECT_TRUE(until([&] { return gateway->hosts() == 2; }));
}

// A drain that a silent watch misses is heard by the call that takes its place.
TEST_F(GatewayTest, ADrainBehindASilentWatchIsHeard) {
  waits.discovery.watchMin = waits.discovery.watchMax = std::chrono::milliseconds(60);
  waits.discovery.watchGrace = std::chrono::milliseconds(20);
  std::size_t calls = 0;
  discovery.peer.script = [&](PeerConnection& c) {
    const auto text = [](int rev, const json& targets) {
      return answerText(200, "", json{{"rev", rev}, {"all", false}, {"targets", targets}}.dump());
    };
    if (calls == 0) c.reply(text(1, json::array()));
    if (calls >= 2 && calls < 5) c.reply(answerText(503, "", ""));
    if (calls == 5) c.reply(text(2, json::array({target("s-0", hosts[0]->endpoint, "a", "DRAINING")})));
    ++calls;
  };
  twoHosts(always(answerText(200, "", "ok")));
  ASSERT_TRUE(until([&] { return calls >= 7; })) << "the watch that goes on after it";
  for (int i = 0; i < 20; ++i) EXPECT_EQ(ask(text("read")).result_int(), 200u);
  EXPECT_TRUE(hosts[0]->requests.empty());
}

TEST_F(GatewayTest, ASilentWatchCountsAsFailed) {
  waits.discovery.response = std::chrono::milliseconds(20);
  discovery.peer.script = [&](PeerConnection& c) {
    discovery.targets.push_back(c.request.target().to_string());
  };
  twoHosts(always(answerText(200, "", "ok")));
  EXPECT_TRUE(until([&] { return discovery.targets.size() == 2; }));
}

// --- Stop -----------------------------------------------------------------------------------------------

TEST_F(GatewayTest, AStopFinishesWhatWasTaken) {
  std::shared_ptr<PeerConnection> held;
  addHost("a", [&](PeerConnection& c, std::size_t n) {
    if (n == 0) held = c.shared_from_this();
    else c.reply(answerText(200, "", "new"));
  });
  start();
  auto taken = client(), idle = client();
  taken->send(text("write"));
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  bool done = false;
  gateway->drain([&] { done = true; });
  auto late = client();
  late->send(text("read"));
  ASSERT_TRUE(until([&] { return !late->answers.empty(); })) << "connections are taken for a while yet";
  EXPECT_EQ(late->answers[0].body(), "new");
  EXPECT_FALSE(late->answers[0].keep_alive());
  EXPECT_TRUE(until([&] { return idle->closedByPeer && late->closedByPeer; }));
  EXPECT_FALSE(done);
  held->reply(answerText(200, "", "kept"));
  ASSERT_TRUE(until([&] { return done; }));
  EXPECT_TRUE(until([&] { return !taken->answers.empty(); }));
  EXPECT_EQ(taken->answers[0].body(), "kept");
  EXPECT_FALSE(taken->answers[0].keep_alive());
}

// What is taken late in a stop is told to its host with the time that is left before the kill.
TEST_F(GatewayTest, ARequestThatIsWholeOnlyLateInAStopIsOverBeforeTheKill) {
  for (auto& grade : config["settings"]["grades"]) {
    grade["aimNs"] = 500'000'000;
    grade["giveUpNs"] = 3'000'000'000;
    grade["lateShare"] = 0.5;  // so its whole deadline counts
  }
  std::vector<int> told;
  twoHosts([&](PeerConnection& c, std::size_t) {
    told.push_back(std::stoi(c.request["X-Deadline-Ms"].to_string()));
    c.reply(answerText(200, "", "ok"));
  });
  auto early = client(), late = client();
  const std::string whole = text("write");
  late->send(whole.substr(0, whole.size() / 2));
  early->send(text("write"));
  ASSERT_TRUE(until([&] { return early->answers.size() == 1; }));
  gateway->drain([] {});
  // Resting connections are closed at the end of the time in which connections are taken.
  ASSERT_TRUE(until([&] { return early->closedByPeer; }));
  late->send(whole.substr(whole.size() / 2));
  ASSERT_TRUE(until([&] { return late->answers.size() == 1; }));
  EXPECT_EQ(late->answers[0].body(), "ok");
  ASSERT_EQ(told.size(), 2u);
  EXPECT_GT(told[0], 2900);
  const auto passed = std::chrono::duration_cast<std::chrono::milliseconds>(kAcceptOn);
  EXPECT_LE(told[1], (std::chrono::milliseconds(3000) + kKillSlack - passed).count() - 300);
}

// Hosts hang in the moment of the stop: each open request has its answer by its own time, and the process
// ends.
TEST_F(GatewayTest, AStopWhileAllHostsHangEndsWithAnAnswerToEach) {
  for (const std::int64_t ms : {200, 1000}) {
    SCOPED_TRACE(ms);
    for (auto& grade : config["settings"]["grades"]) {
      grade["aimNs"] = ms * 500'000;
      grade["giveUpNs"] = ms * 1'000'000;
    }
    hosts.clear();
    discovery.list = json::array();
    config.erase("known");
    twoHosts([](PeerConnection&, std::size_t) {});
    std::vector<std::shared_ptr<Client>> clients;
    for (int i = 0; i < 12; ++i) {
      clients.push_back(client());
      clients.back()->send(text(i % 3 == 0 ? "read" : i % 3 == 1 ? "write" : "put"));
    }
    ASSERT_TRUE(until([&] {
      std::size_t answered = 0;
      for (const auto& c : clients) answered += !c->answers.empty();
      return gateway->engine().awaitingReply() + answered == clients.size();
    }));
    bool done = false;
    gateway->drain([&] { done = true; });
    ASSERT_TRUE(until([&] { return done; }));
    for (const auto& c : clients) {
      ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
      EXPECT_GE(c->answers[0].result_int(), 500u);
    }
  }
}

// --- What is kept ---------------------------------------------------------------------------------------

TEST_F(GatewayTest, HostsThatCameAndWentAreForgotten) {
  addHost("a", always(answerText(200, "", "stays")));
  start();
  for (int i = 0; i < 20; ++i) {
    ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
    // Each new one at the address of one that is gone, under an id of its own.
    const std::string uid = "s-new-" + std::to_string(i);
    discovery.push({{"all", false}, {"targets", {target(uid, hosts[0]->endpoint)}}});
    ASSERT_TRUE(until([&] { return gateway->hosts() == 2; }));
    EXPECT_EQ(ask(text("write")).body(), "stays");
    ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
    if (i % 2) discovery.push({{"all", true}, {"targets", discovery.list}});
    else discovery.push({{"all", false}, {"targets", {{{"uid", uid}, {"state", "DELETED"}}}}});
    ASSERT_TRUE(until([&] { return gateway->hosts() == 1; }));
  }
  EXPECT_EQ(gateway->openRequests(), 0u);
}

TEST_F(GatewayTest, AHostThatLeftIsForgottenOnceItsLastAttemptIsOverAndItsConnectionIsNotKept) {
  std::shared_ptr<PeerConnection> held;
  addHost("a", [&](PeerConnection& c, std::size_t) { held = c.shared_from_this(); });
  start();
  auto c = client();
  c->send(text("write"));
  ASSERT_TRUE(until([&] { return held && discovery.held.size() == 1; }));
  discovery.push({{"all", true}, {"targets", json::array()}});
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  EXPECT_EQ(gateway->hosts(), 1u);
  held->reply(answerText(200, "", "late but whole"));
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].body(), "late but whole");
  EXPECT_TRUE(until([&] { return held->closedByPeer && gateway->hosts() == 0; }));
}

TEST_F(GatewayTest, TheIdOfAnOpenRequestIsNotTakenTwice) {
  std::shared_ptr<PeerConnection> held;
  addHost("a", [&](PeerConnection& c, std::size_t) { held = c.shared_from_this(); });
  start();
  const std::string one = text("write");
  auto c = client();
  c->send(one);
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  EXPECT_EQ(ask(one).result_int(), 409u);
  held->reply(answerText(200, "", "first"));
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  EXPECT_EQ(c->answers[0].body(), "first");
  EXPECT_EQ(reached.size(), 1u);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

// An id that came again after its client had left ran twice: the host may have run the first one.
TEST_F(GatewayTest, AnIdThatMayHaveRunIsNotTakenAgainWhenItsClientHasLeft) {
  std::shared_ptr<PeerConnection> held;  // of the first attempt of each request
  twoHosts([&](PeerConnection& c, std::size_t) {
    if (held) return c.reply(answerText(200, "", "again"));
    held = c.shared_from_this();
  });
  for (const std::string kind : {"write", "put", "read"}) {
    SCOPED_TRACE(kind);
    held = nullptr;
    reached.clear();
    const std::string one = text(kind);
    const auto leaving = client();
    leaving->send(one);
    ASSERT_TRUE(until([&] { return held != nullptr; }));
    leaving->close();
    ASSERT_TRUE(until([&] { return gateway->openRequests() == 0; }));
    const bool isSafe = kind == "read";
    EXPECT_EQ(ask(one).result_int(), isSafe ? 200u : 409u);
    EXPECT_EQ(reached.size(), isSafe ? 2u : 1u);
  }
}

TEST_F(GatewayTest, ARequestThatAHostFindsFaultWithIsNotSentToOthersAndTheHostIsNotBlamed) {
  twoHosts([](PeerConnection& c, std::size_t n) { c.reply(answerText(n < 20 ? 400 : 200, "", "")); });
  for (std::size_t i = 1; i <= 20; ++i) {
    EXPECT_EQ(ask(text("read")).result_int(), 502u);
    EXPECT_EQ(reached.size(), i);
  }
  EXPECT_EQ(ask(text("read")).result_int(), 200u);
}

// --- A new configuration ----------------------------------------------------------------------------------

TEST_F(GatewayTest, ReloadMovesToAnotherDiscoveryAndKeepsTheHostsTillItsListIsThere) {
  addHost("a", always(answerText(200, "", "old")));
  start();
  ASSERT_TRUE(until([&] { return !discovery.held.empty(); }));
  FakeDiscovery other(io);  // counts its versions from the start
  Peer newcomer(io, [](PeerConnection& c) { c.reply(answerText(200, "", "new")); });
  other.list.push_back(target("s-new", newcomer.endpoint));
  other.version = 0;
  other.failing = true;
  config["discovery"] = textOf(other.peer.endpoint);
  gateway->reload(parseConfig(config, [](const char*) { return nullptr; }));
  ASSERT_TRUE(until([&] { return !other.targets.empty(); }));
  EXPECT_EQ(ask(text("write")).body(), "old");
  other.failing = false;
  ASSERT_TRUE(until([&] { return !other.held.empty(); })) << "the whole list, then a watch";
  EXPECT_TRUE(until([&] { return discovery.held.front()->closedByPeer; })) << "the old one is left";
  EXPECT_EQ(ask(text("write")).body(), "new");
}

TEST_F(GatewayTest, ReloadOutlivesTheOldDiscovery) {
  addHost("a", always(answerText(200, "", "old")));
  start();
  ASSERT_TRUE(until([&] { return !discovery.held.empty(); }));
  Peer silent(io, nullptr);
  config["discovery"] = textOf(silent.endpoint);
  gateway->reload(parseConfig(config, [](const char*) { return nullptr; }));
  ASSERT_TRUE(until([&] { return silent.requests.size() == 1; }));
  discovery.held.front()->close();
  EXPECT_EQ(ask(text("write")).body(), "old");
  EXPECT_EQ(silent.requests.size(), 1u) << "the call under way is not given up for it";
  silent.connections.front()->reply(
      answerText(200, "", json{{"rev", 7}, {"all", true}, {"targets", discovery.list}}.dump()));
  EXPECT_TRUE(until([&] { return silent.requests.size() == 2; })) << "and its watch begins";
}

TEST_F(GatewayTest, ClassesComeChangeAndGoAtAReloadAndOpenCallsKeepTheirs) {
  std::vector<std::shared_ptr<PeerConnection>> held;
  bool hold = true;
  const Script script = [&](PeerConnection& c, std::size_t) {
    if (hold) held.push_back(c.shared_from_this());
    else c.reply(answerText(200, "", "x"));
  };
  twoHosts(script);
  auto open = client();
  open->send(text("read"));
  ASSERT_TRUE(until([&] { return held.size() == 1; }));
  // "read" must not run twice from now on, "write" is gone and "new" has come.
  auto& grades = config["settings"]["grades"];
  grades = json::array(
      {classJson("read", "fragile"), classJson("put", "dedup", "zone"), classJson("new", "fragile")});
  gateway->reload(parseConfig(config, [](const char*) { return nullptr; }));
  EXPECT_EQ(ask(text("write")).result_int(), 404u);
  EXPECT_EQ(ask(text("read")).result_int(), 405u) << "no GET, now that it is unsafe";
  hold = false;
  EXPECT_EQ(ask(text("new")).result_int(), 200u);
  const std::size_t before = reached.size();
  held[0]->reset();  // it may have run, and is of a class that may run again
  ASSERT_TRUE(until([&] { return !open->answers.empty(); }));
  EXPECT_EQ(open->answers[0].result_int(), 200u);
  EXPECT_EQ(reached.size(), before + 1);
  hold = true;
  auto strict = client();
  strict->send("POST /read HTTP/1.1\r\nHost: x\r\nX-Request-Id: s1\r\nContent-Length: 0\r\n\r\n");
  ASSERT_TRUE(until([&] { return held.size() == 2; }));
  held[1]->reset();
  ASSERT_TRUE(until([&] { return !strict->answers.empty(); }));
  EXPECT_EQ(strict->answers[0].result_int(), 502u) << "it may have run, and must not run again";
  EXPECT_EQ(reached.size(), before + 2);
  EXPECT_EQ(gateway->figures().reloadSuccess, 1u);
}

TEST_F(GatewayTest, ClientsThatAreThereAreServedOnInAStop) {
  // The next gateway may be asked to stop before the last one is back, and they would find nobody.
  for (auto& grade : config["settings"]["grades"]) {
    grade["aimNs"] = 400'000'000;
    grade["giveUpNs"] = 3'000'000'000;
  }
  twoHosts(always(answerText(200, "", "ok")));
  auto c = client();
  c->send(text("read"));
  ASSERT_TRUE(until([&] { return c->answers.size() == 1; }));
  bool done = false;
  gateway->drain([&] { done = true; });
  c->send(text("read"));
  ASSERT_TRUE(until([&] { return c->answers.size() == 2; }));
  EXPECT_EQ(c->answers[1].result_int(), 200u);
  EXPECT_TRUE(c->answers[1].keep_alive());
  ASSERT_TRUE(until([&] { return done; }));
  EXPECT_TRUE(until([&] { return c->closedByPeer; })) << "in the end they are sent away";
}

// A deadline beyond the kill, and a host that hangs: nobody could answer after it.
TEST_F(GatewayTest, WhatAHangingHostHoldsBeyondTheKillIsAnsweredBeforeIt) {
  for (auto& grade : config["settings"]["grades"]) {
    grade["aimNs"] = 600'000'000'000;
    grade["giveUpNs"] = 600'000'000'000;
  }
  twoHosts([](PeerConnection&, std::size_t) {});
  std::vector<std::shared_ptr<Client>> clients;
  for (const char* kind : {"read", "write"}) {
    clients.push_back(client());
    clients.back()->send(text(kind));
  }
  ASSERT_TRUE(until([&] { return hosts[0]->requests.size() + hosts[1]->requests.size() == 2; }));
  bool done = false;
  gateway->drain([&] { done = true; });
  ASSERT_TRUE(until([&] { return done; })) << "at its kill, not at the end of their time";
  for (const auto& c : clients) {
    ASSERT_TRUE(until([&] { return c->closedByPeer; }));
    ASSERT_EQ(c->answers.size(), 1u);
    EXPECT_GE(c->answers[0].result_int(), 500u);
  }
}

}  // namespace
}  // namespace cairnjunction::testing

// The gateway by routes, on real sockets: pools with modules of their own, and bounds that no pool takes from
// another.
#include <gtest/gtest.h>

#include <memory>
#include <set>
#include <vector>

#include "app/gateway.hpp"
#include "gateway_waits.hpp"
#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

class RoutesTest : public LoopTest {
 protected:
  FakeDiscovery discovery{io};
  std::vector<std::unique_ptr<Peer>> peers;
  std::vector<std::pair<std::string, std::string>> reached;  // which peer, and what it was asked
  std::vector<std::string> heads;
  json config = configJson();
  route::Routes routes;
  std::unique_ptr<Gateway> gateway;
  int serial = 0;

  std::string addPeer(const std::string& name, std::function<void(PeerConnection&)> script = nullptr) {
    peers.push_back(std::make_unique<Peer>(io, [this, name, script](PeerConnection& c) {
      reached.emplace_back(name, c.request.target().to_string());
      heads.push_back(c.request["X-Yard"].to_string() + "|" + c.request["Host"].to_string());
      if (script) script(c);
      else c.reply(answerText(200, "", name));
    }));
    return textOf(peers.back()->endpoint);
  }
  route::PoolServer server(const std::string& address) {
    route::PoolServer out;
    out.address = address;
    return out;
  }
  route::Pool& addPool(const std::string& name, std::vector<route::PoolServer> servers) {
    route::Pool& pool = routes.pools.emplace_back();
    pool.name = name;
    pool.servers = std::move(servers);
    return pool;
  }
  route::Location& addLocation(const std::string& pattern, const std::string& pool) {
    if (routes.servers.empty()) routes.servers.emplace_back();
    route::Location& location = routes.servers[0].locations.emplace_back();
    location.pattern = pattern;
    if (!pool.empty()) location.proxy.emplace().pool = pool;
    return location;
  }
  void start() {
    config["discovery"] = textOf(discovery.peer.endpoint);
    config["known"] = {{"rev", 1}, {"all", true}, {"targets", json::array()}};
    gateway = std::make_unique<Gateway>(
        io, parseConfig(config, [](const char*) { return nullptr; }), longWatches(),
        [](const std::string&) {}, jsonrpc::Settings{}, std::make_shared<route::Router>(routes));
  }
  std::string get(const std::string& target, const std::string& headers = "") {
    return "GET " + target + " HTTP/1.1\r\nHost: mill.example\r\nX-Request-Id: r" + std::to_string(++serial) +
           "\r\n" + headers + "\r\n";
  }
  std::string post(const std::string& target, const std::string& body) {
    return "POST " + target + " HTTP/1.1\r\nHost: mill.example\r\nX-Request-Id: r" +
           std::to_string(++serial) + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
  }
  std::shared_ptr<Client> sent(const std::string& what) {
    auto c = Client::connect(io, gateway->listening());
    c->send(what);
    return c;
  }
  Response ask(const std::string& what) {
    auto c = sent(what);
    EXPECT_TRUE(until([&] { return !c->answers.empty() || c->closedByPeer; }));
    return c->answers.empty() ? Response{} : c->answers.front();
  }
  std::size_t count(const std::string& name) const {
    return static_cast<std::size_t>(
        std::count_if(reached.begin(), reached.end(), [&](const auto& each) { return each.first == name; }));
  }
};

TEST_F(RoutesTest, EachLocationHasItsPoolItsPathAndItsFields) {
  addPool("a", {server(addPeer("a"))});
  addPool("b", {server(addPeer("b"))});
  addLocation("/", "a");
  route::Location& b = addLocation("/yard/", "b");
  b.proxy->uri = "/read/";
  b.proxy->headers = {{"Host", "$proxy_host"}, {"X-Yard", "$uri"}, {"X-Gone", ""}};
  start();
  EXPECT_EQ(ask(get("/read/x?q=1")).body(), "a");
  EXPECT_EQ(ask(get("/yard/7/../8", "X-Yard: forged\r\nX-Gone: 1\r\n")).body(), "b");
  ASSERT_EQ(reached.size(), 2u);
  EXPECT_EQ(reached[0], (std::pair<std::string, std::string>("a", "/read/x?q=1")));
  EXPECT_EQ(reached[1], (std::pair<std::string, std::string>("b", "/read/8")));
  EXPECT_EQ(heads[1], "/yard/8|b");
}

// No request is served under a class that the path its worker is sent doesn't have.
TEST_F(RoutesTest, TheClassIsThatOfThePathThatTheWorkerIsSent) {
  addPool("a", {server(addPeer("a"))});
  addLocation("/", "a");
  addLocation("/read/", "a").proxy->uri = "/write/";
  start();
  EXPECT_EQ(ask(get("/read/x")).result_int(), 405u);  // a write, which no GET asks for
  EXPECT_EQ(ask(post("/read/x", "{}")).result_int(), 200u);
  EXPECT_EQ(ask(get("/write/../nothing/")).result_int(), 404u);
  EXPECT_EQ(ask(get("/read%2f..%2fwrite")).result_int(), 400u);
  ASSERT_EQ(reached.size(), 1u);
  EXPECT_EQ(reached[0].second, "/write/x");
}

TEST_F(RoutesTest, RoutesAnswerByThemselves) {
  addPool("a", {server(addPeer("a"))});
  addLocation("/read/", "a");
  route::Step step;
  step.kind = route::Step::Kind::answer;
  step.status = 301;
  step.text = "https://$host$uri";
  addLocation("/moved/", "").steps = {step};
  step.status = 444;
  addLocation("/drop/", "").steps = {step};
  step.status = 200;
  step.text = "ready";
  addLocation("/ready", "").steps = {step};
  start();
  const Response moved = ask(get("/moved/x%0"));
  EXPECT_EQ(moved.result_int(), 400u);
  EXPECT_EQ(ask(get("/moved/x"))["Location"], "https://mill.example/moved/x");
  EXPECT_EQ(ask(get("/read"))["Location"], "/read/");
  EXPECT_EQ(ask(get("/ready")).body(), "ready");
  EXPECT_EQ(ask(get("/none")).result_int(), 404u);
  auto dropped = sent(get("/drop/"));
  EXPECT_TRUE(until([&] { return dropped->closedByPeer; }));
  EXPECT_TRUE(dropped->answers.empty());
  EXPECT_TRUE(reached.empty());
}

TEST_F(RoutesTest, BackupsServeOnlyWhileNoOtherCan) {
  const ReservedPort gone(io);
  route::PoolServer first = server(textOf(gone.endpoint)), backup = server(addPeer("backup")),
                    down = server(addPeer("down"));
  first.failTimeout = std::chrono::milliseconds(300);
  backup.backup = true;
  down.down = true;
  addPool("a", {first, backup, down});
  addLocation("/", "a");
  start();
  EXPECT_TRUE(until([&] { return ask(get("/read")).result_int() == 200u; }));
  EXPECT_EQ(count("down"), 0u);
  EXPECT_GE(count("backup"), 1u);
}

TEST_F(RoutesTest, AServerIsGivenNoMoreThanItsMost) {
  std::vector<std::shared_ptr<PeerConnection>> held;
  std::size_t most = 0, open = 0;
  const std::string address = addPeer("a", [&](PeerConnection& c) {
    most = std::max(most, ++open);
    held.push_back(c.shared_from_this());
  });
  route::PoolServer only = server(address);
  only.connectionsMost = 2;
  addPool("a", {only});
  addLocation("/", "a");
  start();
  std::vector<std::shared_ptr<Client>> clients;
  for (int i = 0; i < 6; ++i) clients.push_back(sent(get("/read")));
  EXPECT_TRUE(until([&] { return open == 2; }));
  // The others are turned away at once: none is held back, and none goes to a third connection.
  EXPECT_TRUE(until([&] {
    return std::count_if(clients.begin(), clients.end(), [](const auto& c) { return !c->answers.empty(); }) ==
           4;
  }));
  EXPECT_EQ(most, 2u);
  for (const auto& c : held) c->reply(answerText(200, "", "x"));
  EXPECT_TRUE(until([&] {
    return std::all_of(clients.begin(), clients.end(), [](const auto& c) { return !c->answers.empty(); });
  }));
}

TEST_F(RoutesTest, ASickPoolTakesNeitherTheDescriptorsNorTheRoomOfAnother) {
  // One pool's workers take requests and say nothing, as many as come; the other's are well.
  std::size_t stuck = 0;
  addPool("sick", {server(addPeer("sick", [&](PeerConnection&) { ++stuck; }))});
  addPool("well", {server(addPeer("well"))});
  addLocation("/", "well");
  addLocation("/read/sick/", "sick");
  config["limits"]["sockets"] = 200;
  start();
  std::vector<std::shared_ptr<Client>> clients;
  for (int i = 0; i < 90; ++i) clients.push_back(sent(get("/read/sick/" + std::to_string(i))));
  EXPECT_TRUE(until([&] {
    const auto turned =
        std::count_if(clients.begin(), clients.end(), [](const auto& c) { return !c->answers.empty(); });
    return stuck > 0 && static_cast<std::size_t>(turned) + stuck >= 90;
  }));
  EXPECT_LE(stuck, 51u);  // of 66 calls and 67 connections the other pool is sure of a quarter
  for (int i = 0; i < 10; ++i) EXPECT_EQ(ask(get("/read/well")).result_int(), 200u) << i;
}

TEST_F(RoutesTest, WhatAPoolMayHoldIsBoundedAndAnothersPartIsKept) {
  addPool("sick", {server(addPeer("sick"))});
  addPool("well", {server(addPeer("well"))});
  addLocation("/", "well");
  config["limits"]["sockets"] = 200;  // 66 calls in all: 16 for each pool, and 34 more
  start();
  Pools& pools = *gateway->pools();
  route::Decision sick, well;
  sick.pool = "sick";
  well.pool = "well";
  std::vector<HttpRouting::Hold> held;
  const auto takeAll = [&](const route::Decision& decision, std::uint64_t bytes) {
    std::size_t n = 0;
    for (HttpRouting::Hold hold; pools.admit(decision, bytes, hold) == 0; ++n) held.push_back(hold);
    return n;
  };
  EXPECT_EQ(takeAll(sick, 0), 50u);
  EXPECT_EQ(takeAll(well, 0), 16u);
  for (const auto& hold : held) pools.over(hold);
  held.clear();
  // 48 MiB of bodies: 12 for each, and 24 more.
  EXPECT_EQ(takeAll(sick, 4 << 20), 9u);
  EXPECT_EQ(takeAll(well, 4 << 20), 3u);
  for (const auto& hold : held) pools.over(hold);
  held.clear();
  EXPECT_EQ(takeAll(well, 0), 50u);  // all was given back
}

TEST_F(RoutesTest, AnUpstreamTakesNoDescriptorBeyondItsShare) {
  struct Share final : DescriptorQuota {
    int left = 1;
    bool acquire() override { return left > 0 && left-- > 0; }
    void release() override { ++left; }
  } share;
  addPeer("silent", [](PeerConnection&) {});
  std::vector<AttemptOutcome> ends;
  HttpUpstream upstream(io, {10, std::chrono::seconds(5), {}},
                        [&](AttemptOutcome end) { ends.push_back(std::move(end)); });
  upstream.shareDescriptors(&share);
  upstream.updateEndpoint(1, peers[0]->endpoint, true);
  Call call;
  call.message.verb = "GET";
  call.message.target = "/read";
  upstream.start({1, 0}, 1, call, {std::chrono::seconds(30)});
  upstream.start({2, 0}, 1, call, {std::chrono::seconds(30)});
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].key.call, 2u);
  EXPECT_EQ(ends[0].outcome, policy::Outcome::connectFailed);
  EXPECT_EQ(ends[0].failureReason, policy::FailureReason::noDescriptor);
  EXPECT_EQ(share.left, 0);
  upstream.cancel({1, 0});
  EXPECT_EQ(share.left, 1);
}

TEST_F(RoutesTest, RatesAndNumbersUnderWayAreCountedByTheirKey) {
  addPool("a", {server(addPeer("a"))});
  routes.rateZones = {{"each", "$http_x_yard", 1, 1 << 20}};
  route::Location& location = addLocation("/", "a");
  location.rates = {{"each", 2}};
  location.rateStatus = 429;
  start();
  std::vector<unsigned> got;
  for (int i = 0; i < 4; ++i) got.push_back(ask(get("/read", "X-Yard: pine\r\n")).result_int());
  EXPECT_EQ(got, (std::vector<unsigned>{200, 200, 200, 429}));
  EXPECT_EQ(ask(get("/read", "X-Yard: oak\r\n")).result_int(), 200u);
  for (int i = 0; i < 5; ++i) EXPECT_EQ(ask(get("/read")).result_int(), 200u);  // no key: not counted
}

TEST_F(RoutesTest, ABodyLargerThanItsLocationTakesIsTurnedDown) {
  addPool("a", {server(addPeer("a"))});
  addLocation("/", "a").bodyMost = 10;
  start();
  EXPECT_EQ(ask(post("/write", std::string(11, 'x'))).result_int(), 413u);
  EXPECT_EQ(ask(post("/write", std::string(10, 'x'))).result_int(), 200u);
}

TEST_F(RoutesTest, OneAttemptWhereTheRouteSaysSo) {
  std::size_t tries = 0;
  const auto refusing = [&](PeerConnection& c) {
    ++tries;
    c.reply(answerText(503, "X-Not-Run: 1\r\n", ""));
  };
  addPool("a", {server(addPeer("a1", refusing)), server(addPeer("a2", refusing))});
  addLocation("/", "a").proxy->attempts = 1;
  start();
  EXPECT_EQ(ask(get("/read")).result_int(), 503u);
  EXPECT_EQ(tries, 1u);
}

TEST_F(RoutesTest, TheShortestTimeForConnectingHoldsForThePool) {
  // Nobody accepts, and the queue of those that wait is full: a new connection does not come up.
  tcp::acceptor full(io);
  full.open(tcp::v4());
  full.bind(loopback());
  full.listen(0);
  std::vector<std::unique_ptr<tcp::socket>> waiting;
  for (int i = 0; i < 4; ++i) {
    waiting.push_back(std::make_unique<tcp::socket>(io));
    waiting.back()->async_connect(full.local_endpoint(), [](auto) {});
  }
  // By any other time the answer would come after the test has given up.
  config["settings"]["ceilings"]["connectTimeoutNs"] = 600'000'000'000;
  for (const char* time : {"aimNs", "giveUpNs"}) config["settings"]["grades"][0][time] = 600'000'000'000;
  addPool("a", {server(textOf(full.local_endpoint()))});
  addLocation("/", "a");
  addLocation("/x/", "a").proxy->connectTimeout = std::chrono::milliseconds(20);
  start();
  // It ends by the time for connecting, long before the class's own time: as a refusal, for it never ran.
  EXPECT_EQ(ask(get("/read")).result_int(), 503u);
}

TEST_F(RoutesTest, AServerThatHasNoAddressIsSaidAtTheStart) {
  addPool("a", {server("no.such.name.invalid:80")});
  addLocation("/", "a");
  EXPECT_THROW(start(), BadConfig);
}

}  // namespace
}  // namespace cairnjunction::testing

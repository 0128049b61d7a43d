// The whole gateway before a list that is wrong: over real loopback sockets, with discovery that loses its
// watches, answers a tenth of its calls, or comes back in the past.
#include "app/gateway.hpp"

#include <set>

#include "gateway_waits.hpp"
#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;

// Calls that don't wait are answered with the whole list, or with nothing changed; those that wait are held,
// and lost unless the test answers them.
class LossyDiscovery {
 public:
  explicit LossyDiscovery(asio::io_context& io) : peer(io, [this](PeerConnection& c) { asked(c); }) {}

  std::string text(bool full) const {
    return answerText(200, "",
                      json{{"rev", version}, {"all", full}, {"targets", full ? list : json::array()}}.dump());
  }

  Peer peer;
  json list = json::array();
  int version = 1;
  int answered = 1, of = 1;  // so many of so many calls are answered, the others turned away
  int calls = 0, whole = 0, failed = 0;
  std::vector<std::shared_ptr<PeerConnection>> held;

 private:
  void asked(PeerConnection& c) {
    const std::string target = c.request.target().to_string();
    const auto since = target.find("since=");
    const bool full = since == std::string::npos;
    const bool waits = !full && target.find("timeout_ms=1") + 12 != target.size();
    whole += full;
    if (calls++ % of < of - answered) {
      ++failed;
      return c.reply(answerText(503, "Connection: close\r\n", ""), true);
    }
    if (waits) return held.push_back(c.shared_from_this());
    c.reply(text(full || std::stoi(target.substr(since + 6)) < version));
  }
};

class WrongList : public LoopTest {
 protected:
  LossyDiscovery discovery{io};
  std::vector<std::unique_ptr<Peer>> hosts;
  json config = configJson();
  Gateway::Waits waits = longWatches();
  std::unique_ptr<Gateway> gateway;
  int serial = 0;

  // One that serves, in the list from now on.
  Peer& addHost() {
    const std::string uid = "s-" + std::to_string(hosts.size());
    hosts.push_back(
        std::make_unique<Peer>(io, [uid](PeerConnection& c) { c.reply(answerText(200, "", uid)); }));
    discovery.list.push_back(target(uid, hosts.back()->endpoint));
    return *hosts.back();
  }
  void kill(Peer& host) {
    host.stopListening();
    for (auto& c : host.connections) c->reset();
  }
  void start() {
    config["discovery"] = textOf(discovery.peer.endpoint);
    config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
    gateway = std::make_unique<Gateway>(io, parseConfig(config, [](const char*) { return nullptr; }), waits,
                                        [](const std::string&) {});
  }
  Response ask(const std::string& kind = "read") {
    auto c = Client::connect(io, gateway->listening());
    c->send((kind == "read" ? "GET /" : "POST /") + kind + " HTTP/1.1\r\nHost: x\r\nX-Class: " + kind +
            "\r\nX-Request-Id: r" + std::to_string(++serial) +
            (kind == "read" ? "\r\n\r\n" : "\r\nContent-Length: 0\r\n\r\n"));
    EXPECT_TRUE(until([&] { return !c->answers.empty() || c->closedByPeer; }));
    return c->answers.empty() ? Response{} : c->answers.front();
  }
  EndpointCondition standing(const std::string& uid) const {
    const auto& engine = gateway->engine();
    const auto id = engine.findEndpoint(uid);
    return id == policy::kNone ? EndpointCondition::removed
                               : engine.endpointHealth().statusOf(id, policy::Timestamp(48h)).condition;
  }
};

TEST_F(WrongList, NoRequestIsLostWhileMostOfTheListedHostsRefuse) {
  for (int i = 0; i < 10; ++i) addHost();
  start();
  ASSERT_TRUE(until([&] { return !discovery.held.empty(); }));
  for (int i = 0; i < 8; ++i) kill(*hosts[static_cast<std::size_t>(i)]);
  for (int i = 0; i < 60; ++i) ASSERT_EQ(ask(i % 2 ? "write" : "read").result_int(), 200u) << i;
  std::size_t out = 0;
  for (int i = 0; i < 8; ++i) out += standing("s-" + std::to_string(i)) == EndpointCondition::unreachable;
  EXPECT_GE(out, 6u);
  EXPECT_EQ(standing("s-8"), EndpointCondition::serving);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

TEST_F(WrongList, AWatchThatWasLostIsFoundOutByTheHostsAndReplaced) {
  Peer& old = addHost();
  start();
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  EXPECT_EQ(ask().body(), "s-0");
  // All of the fleet is replaced, and the watch tells nothing.
  kill(old);
  discovery.list = json::array();
  addHost();
  discovery.version = 9;
  unsigned refused = 0;
  Response last;
  ASSERT_TRUE(until([&] {
    last = ask();
    refused += last.result_int() != 200;
    return last.result_int() == 200;
  }));
  EXPECT_EQ(last.body(), "s-1");
  EXPECT_GT(refused, 0u);
  EXPECT_EQ(discovery.whole, 1) << "one question was enough";
  EXPECT_EQ(gateway->hosts(), 1u);
  // The new call is the watch now, from the version that it brought on.
  ASSERT_TRUE(until([&] { return discovery.held.size() == 2; }));
  EXPECT_NE(discovery.held.back()->request.target().find("since=9&timeout_ms=20000"), std::string::npos);
  EXPECT_TRUE(until([&] { return discovery.held.front()->closedByPeer; }));
}

TEST_F(WrongList, AWatchThatIsSilentPastItsWaitIsAskedAnewBesideByASmallCall) {
  waits.discovery.watchMin = waits.discovery.watchMax = 60ms;
  waits.discovery.watchGrace = 20ms;
  waits.discovery.staleWatchLinger = 60s;  // it is not given up
  addHost();
  start();
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  addHost();
  discovery.version = 2;
  ASSERT_TRUE(until([&] { return gateway->hosts() == 2; })) << "told by the call beside";
  // The next watch goes on from there.
  ASSERT_TRUE(until([&] { return discovery.held.size() == 2; }));
  EXPECT_NE(discovery.held.back()->request.target().find("since=2&timeout_ms=60"), std::string::npos);
  addHost();
  discovery.version = 3;
  discovery.held.back()->reply(discovery.text(true));
  ASSERT_TRUE(until([&] { return gateway->hosts() == 3; }));
  EXPECT_EQ(discovery.whole, 0) << "changes from the version held cost discovery less than a whole list";
}

TEST_F(WrongList, ACallBesideThatKnowsNothingNewLeavesTheWatch) {
  Peer& dead = addHost();
  addHost();
  start();
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  kill(dead);
  ASSERT_TRUE(until([&] {
    EXPECT_EQ(ask().body(), "s-1");
    return discovery.whole == 1;
  }));
  ASSERT_TRUE(until([&] {
    ask();
    return discovery.whole == 2;  // it is still doubted, after a while
  }));
  EXPECT_EQ(discovery.held.size(), 1u) << "the old watch is still the one";
  EXPECT_FALSE(discovery.held[0]->closedByPeer);
  discovery.list.erase(discovery.list.begin());
  discovery.version = 2;
  discovery.held[0]->reply(discovery.text(true));
  EXPECT_TRUE(until([&] { return gateway->hosts() == 1; }));
}

TEST_F(WrongList, DiscoveryThatAnswersATenthOfItsCallsIsHeardInTheEnd) {
  config["settings"]["rules"]["askWithinNs"] = 50'000'000;  // the module asks again after 10 ms
  discovery.of = 10;
  addHost();
  start();
  discovery.list = json::array();
  addHost();
  discovery.version = 5;
  int served = 0;
  ASSERT_TRUE(until([&] {
    served += ask().result_int() == 200;  // by the list that it has, meanwhile
    return gateway->engine().findEndpoint("s-1") != policy::kNone;
  }));
  EXPECT_EQ(served, serial) << "no request suffers from it";
  EXPECT_GT(discovery.failed, 0);
  EXPECT_EQ(ask().body(), "s-1");
}

TEST_F(WrongList, AListFromThePastRevivesNobodyForLong) {
  Peer& old = addHost();
  start();
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  const json past = discovery.list;
  kill(old);
  discovery.list = json::array();
  addHost();
  discovery.version = 4;
  discovery.held[0]->reply(discovery.text(true));
  ASSERT_TRUE(until([&] { return ask().body() == "s-1"; }));
  // Discovery was set up anew from an old copy, which has the dead one beside the living.
  discovery.list.push_back(past[0]);
  discovery.version = 2;
  ASSERT_TRUE(until([&] { return discovery.held.size() == 2; }));
  discovery.held[1]->reply(discovery.text(true));
  ASSERT_TRUE(until([&] { return gateway->hosts() == 2; }));
  for (int i = 0; i < 30; ++i) ASSERT_EQ(ask("write").body(), "s-1") << i;
  EXPECT_EQ(standing("s-0"), EndpointCondition::unreachable);
}

TEST_F(WrongList, AHostThatRefusedComesBackAtItsAddressUnderANewId) {
  Peer& first = addHost();
  addHost();
  start();
  ASSERT_TRUE(until([&] { return discovery.held.size() == 1; }));
  const tcp::endpoint at = first.endpoint;
  kill(first);
  ASSERT_TRUE(until([&] {
    EXPECT_EQ(ask().body(), "s-1");
    return standing("s-0") == EndpointCondition::unreachable;
  }));
  tcp::acceptor acceptor(io, at);  // as a new process
  int taken = 0;
  std::vector<std::shared_ptr<PeerConnection>> connections;
  std::function<void()> accept = [&] {
    acceptor.async_accept([&](error_code ec, tcp::socket socket) {
      if (ec) return;
      connections.push_back(std::make_shared<PeerConnection>(std::move(socket), [&](PeerConnection& c) {
        ++taken;
        c.reply(answerText(200, "", "new"));
      }));
      connections.back()->read();
      accept();
    });
  };
  accept();
  discovery.list[0] = target("s-new", at);
  discovery.version = 2;
  discovery.held[0]->reply(discovery.text(true));
  EXPECT_TRUE(until([&] {
    ask();
    return taken > 3;
  }));
  EXPECT_EQ(standing("s-0"), EndpointCondition::removed);
  EXPECT_EQ(standing("s-new"), EndpointCondition::serving);
  acceptor.close();
  for (auto& c : connections) c->close();
}

}  // namespace
}  // namespace cairnjunction::testing

// The whole gateway with a list that is stale: over loopback sockets, with a discovery that loses its
// watches, answers a tenth of its calls, or goes back to an old list.
#include <set>

#include "app/gateway.hpp"
#include "gateway_waits.hpp"
#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;

// Calls that do not wait are answered with the full list or with no changes. Long polls are held, and never
// answered unless the test does so.
class LossyDiscovery {
 public:
  explicit LossyDiscovery(asio::io_context& io)
      : peer(io, [this](PeerConnection& connection) { onRequest(connection); }) {}

  std::string text(bool full) const {
    return answerText(200, "",
                      json{{"rev", version}, {"all", full}, {"targets", full ? list : json::array()}}.dump());
  }

  Peer peer;
  json list = json::array();
  int version = 1;
  int answered = 1, of = 1;  // so many of so many calls are answered, the others rejected
  int calls = 0, fullListCalls = 0, rejectedCalls = 0;
  std::vector<std::shared_ptr<PeerConnection>> longPolls;

 private:
  void onRequest(PeerConnection& connection) {
    const std::string target = connection.request.target().to_string();
    const auto since = target.find("since=");
    const bool full = since == std::string::npos;
    const bool longPoll = !full && target.find("timeout_ms=1") + 12 != target.size();
    fullListCalls += full;
    if (calls++ % of < of - answered) {
      ++rejectedCalls;
      return connection.reply(answerText(503, "Connection: close\r\n", ""), true);
    }
    if (longPoll) return longPolls.push_back(connection.shared_from_this());
    connection.reply(text(full || std::stoi(target.substr(since + 6)) < version));
  }
};

class StaleListTest : public LoopTest {
 public:
  LossyDiscovery discovery{io};
  std::vector<std::unique_ptr<Peer>> endpoints;
  json config = configJson();
  Gateway::Waits waits = longWatches();
  std::unique_ptr<Gateway> gateway;
  int requests = 0;

  // Serves, and stands in the list from now on.
  Peer& addEndpoint() {
    const std::string uid = "s-" + std::to_string(endpoints.size());
    endpoints.push_back(std::make_unique<Peer>(
        io, [uid](PeerConnection& connection) { connection.reply(answerText(200, "", uid)); }));
    discovery.list.push_back(target(uid, endpoints.back()->endpoint));
    return *endpoints.back();
  }
  void kill(Peer& endpoint) {
    endpoint.stopListening();
    for (auto& connection : endpoint.connections) connection->reset();
  }
  void start() {
    config["discovery"] = textOf(discovery.peer.endpoint);
    config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
    gateway = std::make_unique<Gateway>(io, parseConfig(config, [](const char*) { return nullptr; }), waits,
                                        [](const std::string&) {});
  }
  Response ask(const std::string& kind = "read") {
    auto client = Client::connect(io, gateway->listening());
    client->send((kind == "read" ? "GET /" : "POST /") + kind + " HTTP/1.1\r\nHost: x\r\nX-Class: " + kind +
                 "\r\nX-Request-Id: r" + std::to_string(++requests) +
                 (kind == "read" ? "\r\n\r\n" : "\r\nContent-Length: 0\r\n\r\n"));
    EXPECT_TRUE(until([&] { return !client->answers.empty() || client->closedByPeer; }));
    return client->answers.empty() ? Response{} : client->answers.front();
  }
  EndpointCondition condition(const std::string& uid) const {
    const auto& engine = gateway->engine();
    const auto id = engine.findEndpoint(uid);
    return id == policy::kNone ? EndpointCondition::removed
                               : engine.endpointHealth().statusOf(id, policy::Timestamp(48h)).condition;
  }
};

// Eight of ten endpoints die and the list keeps them. Each request is served by the two that are left.
TEST_F(StaleListTest, NoRequestFailsWhileMostListedEndpointsRefuse) {
  for (int i = 0; i < 10; ++i) addEndpoint();
  start();
  ASSERT_TRUE(until([&] { return !discovery.longPolls.empty(); }));
  for (int i = 0; i < 8; ++i) kill(*endpoints[static_cast<std::size_t>(i)]);
  for (int i = 0; i < 60; ++i) ASSERT_EQ(ask(i % 2 ? "write" : "read").result_int(), 200u) << i;
  std::size_t unreachable = 0;
  for (int i = 0; i < 8; ++i)
    unreachable += condition("s-" + std::to_string(i)) == EndpointCondition::unreachable;
  EXPECT_GE(unreachable, 6u);
  EXPECT_EQ(condition("s-8"), EndpointCondition::serving);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

// All endpoints are replaced, and the watch does not say so. The old endpoint refuses connections, so the
// list is refreshed, and the refresh becomes the watch.
TEST_F(StaleListTest, LostWatchIsDetectedByItsEndpointsAndReplaced) {
  Peer& old = addEndpoint();
  start();
  ASSERT_TRUE(until([&] { return discovery.longPolls.size() == 1; }));
  EXPECT_EQ(ask().body(), "s-0");
  kill(old);
  discovery.list = json::array();
  addEndpoint();
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
  EXPECT_EQ(discovery.fullListCalls, 1) << "one refresh was enough";
  EXPECT_EQ(gateway->hosts(), 1u);
  // The refresh is the watch now, from the version that it brought.
  ASSERT_TRUE(until([&] { return discovery.longPolls.size() == 2; }));
  EXPECT_NE(discovery.longPolls.back()->request.target().find("since=9&timeout_ms=20000"), std::string::npos);
  EXPECT_TRUE(until([&] { return discovery.longPolls.front()->closedByPeer; }));
}

// A long poll stays unanswered past its wait. The gateway asks for the changes on a second connection, and
// the watch goes on from there.
TEST_F(StaleListTest, SilentWatchIsReplacedByACallForChanges) {
  waits.discovery.watchMin = waits.discovery.watchMax = 60ms;
  waits.discovery.watchGrace = 20ms;
  waits.discovery.staleWatchLinger = 60s;  // it does not time out
  addEndpoint();
  start();
  ASSERT_TRUE(until([&] { return discovery.longPolls.size() == 1; }));
  addEndpoint();
  discovery.version = 2;
  ASSERT_TRUE(until([&] { return gateway->hosts() == 2; })) << "by the resync";
  // The next watch goes on from there.
  ASSERT_TRUE(until([&] { return discovery.longPolls.size() == 2; }));
  EXPECT_NE(discovery.longPolls.back()->request.target().find("since=2&timeout_ms=60"), std::string::npos);
  addEndpoint();
  discovery.version = 3;
  discovery.longPolls.back()->reply(discovery.text(true));
  ASSERT_TRUE(until([&] { return gateway->hosts() == 3; }));
  EXPECT_EQ(discovery.fullListCalls, 0)
      << "changes from the version held cost discovery less than a full list";
}

// An endpoint dies and discovery does not know. Two refreshes bring nothing new; the watch stays, and brings
// the change in the end.
TEST_F(StaleListTest, RefreshWithoutNewsLeavesTheWatch) {
  Peer& dead = addEndpoint();
  addEndpoint();
  start();
  ASSERT_TRUE(until([&] { return discovery.longPolls.size() == 1; }));
  kill(dead);
  ASSERT_TRUE(until([&] {
    EXPECT_EQ(ask().body(), "s-1");
    return discovery.fullListCalls == 1;
  }));
  ASSERT_TRUE(until([&] {
    ask();
    return discovery.fullListCalls == 2;  // the contradiction lasts
  }));
  EXPECT_EQ(discovery.longPolls.size(), 1u) << "the old watch is still the one";
  EXPECT_FALSE(discovery.longPolls[0]->closedByPeer);
  discovery.list.erase(discovery.list.begin());
  discovery.version = 2;
  discovery.longPolls[0]->reply(discovery.text(true));
  EXPECT_TRUE(until([&] { return gateway->hosts() == 1; }));
}

// Discovery rejects nine of ten calls. Requests are served by the list held, and the new list arrives in the
// end.
TEST_F(StaleListTest, DiscoveryThatAnswersATenthOfItsCallsIsEnough) {
  config["settings"]["rules"]["askWithinNs"] = 50'000'000;  // polled again after 10 ms
  discovery.of = 10;
  addEndpoint();
  start();
  discovery.list = json::array();
  addEndpoint();
  discovery.version = 5;
  int served = 0;
  ASSERT_TRUE(until([&] {
    served += ask().result_int() == 200;  // by the list held, meanwhile
    return gateway->engine().findEndpoint("s-1") != policy::kNone;
  }));
  EXPECT_EQ(served, requests) << "no request suffers from it";
  EXPECT_GT(discovery.rejectedCalls, 0);
  EXPECT_EQ(ask().body(), "s-1");
}

// Discovery is set up anew from an old copy that names a dead endpoint beside the living one. No request
// fails, and the dead one is unreachable.
TEST_F(StaleListTest, ListFromThePastBringsNoDeadEndpointBack) {
  Peer& old = addEndpoint();
  start();
  ASSERT_TRUE(until([&] { return discovery.longPolls.size() == 1; }));
  const json past = discovery.list;
  kill(old);
  discovery.list = json::array();
  addEndpoint();
  discovery.version = 4;
  discovery.longPolls[0]->reply(discovery.text(true));
  ASSERT_TRUE(until([&] { return ask().body() == "s-1"; }));
  discovery.list.push_back(past[0]);
  discovery.version = 2;
  ASSERT_TRUE(until([&] { return discovery.longPolls.size() == 2; }));
  discovery.longPolls[1]->reply(discovery.text(true));
  ASSERT_TRUE(until([&] { return gateway->hosts() == 2; }));
  for (int i = 0; i < 30; ++i) ASSERT_EQ(ask("write").body(), "s-1") << i;
  EXPECT_EQ(condition("s-0"), EndpointCondition::unreachable);
}

// An unreachable endpoint is replaced by another process at the same address, which the list names with
// another uid. It is sent to at once.
TEST_F(StaleListTest, EndpointThatRefusedComesBackAtItsAddressUnderANewUid) {
  Peer& first = addEndpoint();
  addEndpoint();
  start();
  ASSERT_TRUE(until([&] { return discovery.longPolls.size() == 1; }));
  const tcp::endpoint address = first.endpoint;
  kill(first);
  ASSERT_TRUE(until([&] {
    EXPECT_EQ(ask().body(), "s-1");
    return condition("s-0") == EndpointCondition::unreachable;
  }));
  tcp::acceptor acceptor(io, address);  // as a new process
  int served = 0;
  std::vector<std::shared_ptr<PeerConnection>> connections;
  std::function<void()> accept = [&] {
    acceptor.async_accept([&](error_code ec, tcp::socket socket) {
      if (ec) return;
      connections.push_back(
          std::make_shared<PeerConnection>(std::move(socket), [&](PeerConnection& connection) {
            ++served;
            connection.reply(answerText(200, "", "new"));
          }));
      connections.back()->read();
      accept();
    });
  };
  accept();
  discovery.list[0] = target("s-new", address);
  discovery.version = 2;
  discovery.longPolls[0]->reply(discovery.text(true));
  EXPECT_TRUE(until([&] {
    ask();
    return served > 3;
  }));
  EXPECT_EQ(condition("s-0"), EndpointCondition::removed);
  EXPECT_EQ(condition("s-new"), EndpointCondition::serving);
  acceptor.close();
  for (auto& connection : connections) connection->close();
}

}  // namespace
}  // namespace cairnjunction::testing

// Tests the whole gateway with a stale endpoint list, over loopback sockets: discovery loses watches, answers
// only a tenth of its calls, or reverts to an old list.
#include <set>

#include "app/gateway.hpp"
#include "gateway_waits.hpp"
#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;

// Answers calls that do not wait with the full list or with no changes. Long polls stay unanswered unless the
// test answers them.
class LossyDiscovery {
 public:
  explicit LossyDiscovery(asio::io_context& io)
      : peer(io, [this](PeerConnection& connection) { onRequest(connection); }) {}

  // The response with the full list or with no changes.
  std::string responseText(bool full) const {
    return answerText(200, "",
                      json{{"rev", version}, {"all", full}, {"targets", full ? list : json::array()}}.dump());
  }

  Peer peer;
  json list = json::array();
  int version = 1;
  int answered = 1, outOf = 1;  // `answered` out of `outOf` calls are answered, the others rejected
  int calls = 0, fullListCalls = 0, rejectedCalls = 0;
  std::vector<std::shared_ptr<PeerConnection>> longPolls;

 private:
  void onRequest(PeerConnection& connection) {
    const std::string target = connection.request.target().to_string();
    const auto since = target.find("since=");
    const bool full = since == std::string::npos;
    const bool longPoll = !full && target.find("timeout_ms=1") + 12 != target.size();
    fullListCalls += full;
    if (calls++ % outOf < outOf - answered) {
      ++rejectedCalls;
      return connection.reply(answerText(503, "Connection: close\r\n", ""), true);
    }
    if (longPoll) return longPolls.push_back(connection.shared_from_this());
    connection.reply(responseText(full || std::stoi(target.substr(since + 6)) < version));
  }
};

class StaleListTest : public LoopTest {
 public:
  LossyDiscovery discovery{io};
  std::vector<std::unique_ptr<Peer>> endpoints;
  json config = configJson();
  Gateway::Waits waits = longWatches();
  std::vector<std::unique_ptr<ReservedPort>> terminatedPorts;
  std::unique_ptr<Gateway> gateway;
  int requests = 0;  // number of requests sent

  // Starts an endpoint that serves all requests with its uid, and adds it to the list of discovery.
  Peer& addEndpoint() {
    const std::string uid = "s-" + std::to_string(endpoints.size());
    endpoints.push_back(std::make_unique<Peer>(
        io, [uid](PeerConnection& connection) { connection.reply(answerText(200, "", uid)); }));
    discovery.list.push_back(target(uid, endpoints.back()->endpoint));
    return *endpoints.back();
  }
  // Its port stays reserved: a test that runs beside this one could answer there.
  void terminate(Peer& endpoint) {
    endpoint.stopListening();
    for (auto& connection : endpoint.connections) connection->reset();
    terminatedPorts.push_back(std::make_unique<ReservedPort>(io, endpoint.endpoint.port()));
  }
  void start() {
    config["discovery"] = textOf(discovery.peer.endpoint);
    config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
    gateway = std::make_unique<Gateway>(io, parseConfig(config, [](const char*) { return nullptr; }), waits,
                                        [](const std::string&) {});
  }
  // Sends a request of the class `className` ("read" or "write") and returns the response; a default one if
  // the connection is closed instead.
  Response sendRequest(const std::string& className = "read") {
    auto client = Client::connect(io, gateway->listening());
    client->send((className == "read" ? "GET /" : "POST /") + className +
                 " HTTP/1.1\r\nHost: x\r\nX-Class: " + className + "\r\nX-Request-Id: r" +
                 std::to_string(++requests) +
                 (className == "read" ? "\r\n\r\n" : "\r\nContent-Length: 0\r\n\r\n"));
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

// Eight of ten endpoints terminate but stay in the list. Each request is served by the two that are left.
TEST_F(StaleListTest, NoRequestFailsWhileMostListedEndpointsRefuseConnections) {
  for (int i = 0; i < 10; ++i) addEndpoint();
  start();
  ASSERT_TRUE(until([&] { return !discovery.longPolls.empty(); }));
  for (int i = 0; i < 8; ++i) terminate(*endpoints[static_cast<std::size_t>(i)]);
  for (int i = 0; i < 60; ++i) ASSERT_EQ(sendRequest(i % 2 ? "write" : "read").result_int(), 200u) << i;
  std::size_t unreachable = 0;
  for (int i = 0; i < 8; ++i)
    unreachable += condition("s-" + std::to_string(i)) == EndpointCondition::unreachable;
  EXPECT_GE(unreachable, 6u);
  EXPECT_EQ(condition("s-8"), EndpointCondition::serving);
  EXPECT_EQ(gateway->openRequests(), 0u);
}

// All endpoints are replaced, but the watch does not report it. The old endpoint refuses connections, so a
// resync is requested, and its answer starts a new watch.
TEST_F(StaleListTest, LostWatchIsDetectedByRefusedConnectionsAndReplaced) {
  Peer& old = addEndpoint();
  start();
  ASSERT_TRUE(until([&] { return discovery.longPolls.size() == 1; }));
  EXPECT_EQ(sendRequest().body(), "s-0");
  terminate(old);
  discovery.list = json::array();
  addEndpoint();
  discovery.version = 9;
  unsigned refused = 0;
  Response last;
  ASSERT_TRUE(until([&] {
    last = sendRequest();
    refused += last.result_int() != 200;
    return last.result_int() == 200;
  }));
  EXPECT_EQ(last.body(), "s-1");
  EXPECT_GT(refused, 0u);
  EXPECT_EQ(discovery.fullListCalls, 1) << "one resync was enough";
  EXPECT_EQ(gateway->hosts(), 1u);
  // The new watch continues from the version of the resync.
  ASSERT_TRUE(until([&] { return discovery.longPolls.size() == 2; }));
  EXPECT_NE(discovery.longPolls.back()->request.target().find("since=9&timeout_ms=20000"), std::string::npos);
  EXPECT_TRUE(until([&] { return discovery.longPolls.front()->closedByPeer; }));
}

// A long poll stays unanswered beyond its waiting time. The gateway requests the changes on a second
// connection, and the watch continues from that version.
TEST_F(StaleListTest, UnansweredWatchIsReplacedByACallForChanges) {
  waits.discovery.watchMin = waits.discovery.watchMax = 60ms;
  waits.discovery.watchGrace = 20ms;
  waits.discovery.staleWatchLinger = 60s;  // it does not time out
  addEndpoint();
  start();
  ASSERT_TRUE(until([&] { return discovery.longPolls.size() == 1; }));
  addEndpoint();
  discovery.version = 2;
  ASSERT_TRUE(until([&] { return gateway->hosts() == 2; })) << "by the resync";
  // The next watch continues from the version of the resync.
  ASSERT_TRUE(until([&] { return discovery.longPolls.size() == 2; }));
  EXPECT_NE(discovery.longPolls.back()->request.target().find("since=2&timeout_ms=60"), std::string::npos);
  addEndpoint();
  discovery.version = 3;
  discovery.longPolls.back()->reply(discovery.responseText(true));
  ASSERT_TRUE(until([&] { return gateway->hosts() == 3; }));
  EXPECT_EQ(discovery.fullListCalls, 0)
      << "changes since the cached version cost discovery less than a full list";
}

// An endpoint terminates, but discovery has not noticed. Two resyncs return no changes, so the watch stays
// open and delivers the change later.
TEST_F(StaleListTest, ResyncWithoutChangesKeepsTheWatch) {
  Peer& dead = addEndpoint();
  addEndpoint();
  start();
  ASSERT_TRUE(until([&] { return discovery.longPolls.size() == 1; }));
  terminate(dead);
  ASSERT_TRUE(until([&] {
    EXPECT_EQ(sendRequest().body(), "s-1");
    return discovery.fullListCalls == 1;
  }));
  ASSERT_TRUE(until([&] {
    sendRequest();
    return discovery.fullListCalls == 2;  // the contradiction lasts
  }));
  EXPECT_EQ(discovery.longPolls.size(), 1u) << "the old watch is still in use";
  EXPECT_FALSE(discovery.longPolls[0]->closedByPeer);
  discovery.list.erase(discovery.list.begin());
  discovery.version = 2;
  discovery.longPolls[0]->reply(discovery.responseText(true));
  EXPECT_TRUE(until([&] { return gateway->hosts() == 1; }));
}

// Discovery rejects nine of ten calls. Requests are served with the cached list until the new list arrives.
TEST_F(StaleListTest, DiscoveryThatAnswersATenthOfItsCallsIsEnough) {
  config["settings"]["rules"]["askWithinNs"] = 50'000'000;  // polled again after 10 ms
  discovery.outOf = 10;
  addEndpoint();
  start();
  discovery.list = json::array();
  addEndpoint();
  discovery.version = 5;
  int served = 0;
  ASSERT_TRUE(until([&] {
    served += sendRequest().result_int() == 200;  // with the cached list until then
    return gateway->engine().findEndpoint("s-1") != policy::kNone;
  }));
  EXPECT_EQ(served, requests) << "no request fails";
  EXPECT_GT(discovery.rejectedCalls, 0);
  EXPECT_EQ(sendRequest().body(), "s-1");
}

// Discovery is restored from an old backup that also names a terminated endpoint. No request fails, and the
// terminated endpoint becomes unreachable.
TEST_F(StaleListTest, OutdatedListDoesNotReinstateATerminatedEndpoint) {
  Peer& old = addEndpoint();
  start();
  ASSERT_TRUE(until([&] { return discovery.longPolls.size() == 1; }));
  const json oldList = discovery.list;
  terminate(old);
  discovery.list = json::array();
  addEndpoint();
  discovery.version = 4;
  discovery.longPolls[0]->reply(discovery.responseText(true));
  ASSERT_TRUE(until([&] { return sendRequest().body() == "s-1"; }));
  discovery.list.push_back(oldList[0]);
  discovery.version = 2;
  ASSERT_TRUE(until([&] { return discovery.longPolls.size() == 2; }));
  discovery.longPolls[1]->reply(discovery.responseText(true));
  ASSERT_TRUE(until([&] { return gateway->hosts() == 2; }));
  for (int i = 0; i < 30; ++i) ASSERT_EQ(sendRequest("write").body(), "s-1") << i;
  EXPECT_EQ(condition("s-0"), EndpointCondition::unreachable);
}

// An unreachable endpoint is replaced by another process at the same address, with another uid in the list.
// The new endpoint receives requests at once.
TEST_F(StaleListTest, NewUidAtTheAddressOfAnUnreachableEndpointReceivesRequests) {
  Peer& first = addEndpoint();
  addEndpoint();
  start();
  ASSERT_TRUE(until([&] { return discovery.longPolls.size() == 1; }));
  const tcp::endpoint address = first.endpoint;
  terminate(first);
  ASSERT_TRUE(until([&] {
    EXPECT_EQ(sendRequest().body(), "s-1");
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
  discovery.longPolls[0]->reply(discovery.responseText(true));
  EXPECT_TRUE(until([&] {
    sendRequest();
    return served > 3;
  }));
  EXPECT_EQ(condition("s-0"), EndpointCondition::removed);
  EXPECT_EQ(condition("s-new"), EndpointCondition::serving);
  acceptor.close();
  for (auto& connection : connections) connection->close();
}

}  // namespace
}  // namespace cairnjunction::testing

// The admin server and the gateway's metrics, over sockets.
#include "admin/admin_server.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <sstream>

#include "admin/figures.hpp"
#include "app/gateway.hpp"
#include "gateway_waits.hpp"
#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

// A client of the admin server. Collects what the server sends until the connection is closed.
class AdminClient : public std::enable_shared_from_this<AdminClient> {
 public:
  static std::shared_ptr<AdminClient> connect(asio::io_context& io, const tcp::endpoint& server) {
    auto client = std::shared_ptr<AdminClient>(new AdminClient(io));
    client->socket_.connect(server);
    client->read();
    return client;
  }
  void send(const std::string& text) { asio::write(socket_, asio::buffer(text)); }

  std::string received;
  bool closed = false;

 private:
  explicit AdminClient(asio::io_context& io) : socket_(io) {}
  void read() {
    socket_.async_read_some(asio::buffer(chunk_), [self = shared_from_this()](error_code ec, std::size_t n) {
      self->received.append(self->chunk_.data(), n);
      if (ec) self->closed = true;
      else self->read();
    });
  }
  tcp::socket socket_;
  std::array<char, 512> chunk_;
};

class AdminServerTest : public LoopTest {
 protected:
  admin::AdminServer server{io, loopback(),
                            [](std::string_view line) { return "SUCCESS " + std::string(line) + "\n"; }};
  // Sends `text` on a new connection and returns the whole response.
  std::string request(const std::string& text) {
    const auto client = AdminClient::connect(io, server.listening());
    client->send(text);
    EXPECT_TRUE(until([&] { return client->closed; }));
    return client->received;
  }
};

TEST_F(AdminServerTest, AnswersOneLineAndClosesTheConnection) {
  EXPECT_EQ(request("check\n"), "SUCCESS check\n");
  EXPECT_EQ(request("check\r\n"), "SUCCESS check\n");
  EXPECT_EQ(request("check\nmore\n"), "SUCCESS check\n") << "only the first line of a connection is answered";
  EXPECT_TRUE(until([&] { return server.connectionCount() == 0; }));
}

TEST_F(AdminServerTest, LineReceivedInPartsIsAnswered) {
  const auto client = AdminClient::connect(io, server.listening());
  client->send("che");
  ASSERT_TRUE(until([&] { return server.connectionCount() == 1; }));
  client->send("ck");
  client->send("\n");
  ASSERT_TRUE(until([&] { return client->closed; }));
  EXPECT_EQ(client->received, "SUCCESS check\n");
}

TEST_F(AdminServerTest, LineAboveTheMaximumLengthIsRejected) {
  EXPECT_EQ(request(std::string(admin::AdminServer::kMaxLineBytes + 1, 'x')).rfind("FAILURE", 0), 0u);
  EXPECT_EQ(request(std::string(admin::AdminServer::kMaxLineBytes + 1, 'x') + "\n").rfind("FAILURE", 0), 0u);
}

TEST_F(AdminServerTest, IdleClientsDoNotBlockOthers) {
  std::vector<std::shared_ptr<AdminClient>> idleClients;
  for (std::size_t i = 0; i < 3 * admin::AdminServer::kMaxConnections; ++i) {
    idleClients.push_back(AdminClient::connect(io, server.listening()));
    idleClients.back()->send("che");
  }
  EXPECT_EQ(request("check\n"), "SUCCESS check\n");
  EXPECT_LE(server.connectionCount(), admin::AdminServer::kMaxConnections);
  EXPECT_TRUE(idleClients.front()->closed) << "the oldest connection is closed in favour of a new one";
}

TEST(ReportTextTest, HasALineForEachMetric) {
  admin::Figures figures;
  figures.classes = {{"read", 812, 3, 1}, {"a=b c", 0, 0, 0}};
  figures.dispatches = 900;
  figures.concurrent = 14;
  figures.targets = 10;
  figures.targetsDisabled = 2;
  figures.reloadSuccess = 1;
  figures.reloadFailure = 4;
  EXPECT_EQ(
      admin::reportText(figures),
      "edge_gw.replies.read.success=812\nedge_gw.replies.read.overload=3\nedge_gw.replies.read.error=1\n"
      "edge_gw.replies.a_b_c.success=0\nedge_gw.replies.a_b_c.overload=0\n"
      "edge_gw.replies.a_b_c.error=0\n"
      "edge_gw.dispatches=900\nedge_gw.concurrent=14\nedge_gw.targets=10\nedge_gw.targets_disabled=2\n"
      "edge_gw.reload_success=1\nedge_gw.reload_failure=4\n");
}

// --- The admin server of a gateway ----------------------------------------------------------------------

class GatewayAdminTest : public LoopTest {
 protected:
  FakeDiscovery discovery{io};
  json config = configJson();
  std::vector<std::unique_ptr<Peer>> endpoints;
  std::unique_ptr<Gateway> gateway;

  void addEndpoint(PeerConnection::Script script, const std::string& state = "SERVING") {
    endpoints.push_back(std::make_unique<Peer>(io, std::move(script)));
    discovery.list.push_back(
        target("s-" + std::to_string(endpoints.size()), endpoints.back()->endpoint, "a", state));
  }
  void start(int acceptFd = -1) {
    config["discovery"] = textOf(discovery.peer.endpoint);
    config["mgmt"] = "127.0.0.1:0";
    config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
    Config parsed = parseConfig(config, [](const char*) { return nullptr; });
    parsed.acceptFd = acceptFd;
    gateway = std::make_unique<Gateway>(io, parsed, longWatches(), [](const std::string&) {});
  }
  // Sends `line` on a new connection and returns the whole response.
  std::string request(const std::string& line) {
    const auto client = AdminClient::connect(io, gateway->adminServer()->listening());
    client->send(line + "\n");
    EXPECT_TRUE(until([&] { return client->closed; }));
    return client->received;
  }
  // Returns the metrics by name.
  std::map<std::string, long> readMetrics() {
    std::map<std::string, long> metrics;
    std::istringstream text(request("vars"));
    std::string line, last;
    while (std::getline(text, line)) {
      last = line;
      if (const auto equals = line.find('='); equals != std::string::npos)
        metrics[line.substr(0, equals)] = std::stol(line.substr(equals + 1));
    }
    EXPECT_EQ(last, "EOT");
    return metrics;
  }
  std::shared_ptr<Client> send(const std::string& cls, const std::string& id) {
    return send(cls, id, gateway->listening());
  }
  std::shared_ptr<Client> send(const std::string& cls, const std::string& id, const tcp::endpoint& to) {
    auto c = Client::connect(io, to);
    const bool get = cls == "read";
    c->send((get ? "GET /" : "POST /") + cls + " HTTP/1.1\r\nHost: x\r\nX-Request-Id: " + id + "\r\n" +
            (get ? "\r\n" : "Content-Length: 0\r\n\r\n"));
    return c;
  }
};

TEST_F(GatewayAdminTest, CountsRepliesByClassAndActiveRequests) {
  bool unresponsive = false;
  addEndpoint([&](PeerConnection& c) {
    if (!unresponsive) c.reply(answerText(c.request.target() == "/write" ? 500 : 200, "", "x"));
  });
  addEndpoint([](PeerConnection&) {}, "DRAINING");
  start();
  for (int i = 0; i < 3; ++i) {
    const auto c = send("read", "r" + std::to_string(i));
    ASSERT_TRUE(until([&] { return !c->answers.empty(); }));
  }
  const auto failed = send("write", "w1");
  ASSERT_TRUE(until([&] { return !failed->answers.empty(); }));
  unresponsive = true;
  const auto open = send("read", "r9");
  ASSERT_TRUE(until([&] { return endpoints[0]->requests.size() == 5; }));
  const auto metrics = readMetrics();
  EXPECT_EQ(metrics.at("edge_gw.replies.read.success"), 3);
  EXPECT_EQ(metrics.at("edge_gw.replies.write.error"), 1)
      << "an unsafe request that may have been executed has failed";
  EXPECT_EQ(metrics.at("edge_gw.replies.write.success"), 0);
  EXPECT_EQ(metrics.at("edge_gw.dispatches"), 5);
  EXPECT_EQ(metrics.at("edge_gw.concurrent"), 1);
  EXPECT_EQ(metrics.at("edge_gw.targets"), 2);
  EXPECT_EQ(metrics.at("edge_gw.targets_disabled"), 1) << "the draining endpoint";
  open->close();
  ASSERT_TRUE(until([&] { return gateway->figures().concurrent == 0; }))
      << "a request whose client has closed its connection is not in flight";
}

TEST_F(GatewayAdminTest, CheckSucceedsOnceEndpointsAreKnownAndFailsWhileStopping) {
  start();
  discovery.failing = true;
  EXPECT_EQ(request("check").rfind("FAILURE", 0), 0u);
  EXPECT_EQ(request("nonsense").rfind("FAILURE", 0), 0u);
  discovery.failing = false;
  addEndpoint([](PeerConnection&) {});
  gateway.reset();
  start();
  EXPECT_EQ(request("check"), "SUCCESS\n");
  gateway->drain([] {});
  EXPECT_EQ(request("check").rfind("FAILURE", 0), 0u);
}

TEST_F(GatewayAdminTest, InheritedListenerIsServedAndOutlivesAStoppedGateway) {
  // The platform keeps the listener open: connections made while one process stops are accepted by the next
  // one.
  tcp::acceptor platform(io, loopback());
  addEndpoint([](PeerConnection& c) { c.reply(answerText(200, "", "x")); });
  start(dup(platform.native_handle()));
  ASSERT_EQ(gateway->listening(), platform.local_endpoint());
  const auto before = send("read", "r1");
  ASSERT_TRUE(until([&] { return !before->answers.empty(); }));
  bool stopped = false;
  gateway->drain([&] { stopped = true; });
  const auto between = send("read", "r2", platform.local_endpoint());  // not accepted yet
  ASSERT_TRUE(until([&] { return stopped; }));
  gateway.reset();
  start(dup(platform.native_handle()));
  ASSERT_TRUE(until([&] { return !between->answers.empty() || between->closedByPeer; }));
  ASSERT_FALSE(between->answers.empty());
  EXPECT_EQ(between->answers[0].result_int(), 200u);
}

}  // namespace
}  // namespace cairnjunction::testing

// The operators' server and the figures behind it, over sockets.
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

// What a client gets for what it sends, until the server ends the connection.
class Call : public std::enable_shared_from_this<Call> {
 public:
  static std::shared_ptr<Call> to(asio::io_context& io, const tcp::endpoint& server) {
    auto call = std::shared_ptr<Call>(new Call(io));
    call->socket_.connect(server);
    call->read();
    return call;
  }
  void say(const std::string& text) { asio::write(socket_, asio::buffer(text)); }

  std::string got;
  bool over = false;

 private:
  explicit Call(asio::io_context& io) : socket_(io) {}
  void read() {
    socket_.async_read_some(asio::buffer(chunk_), [self = shared_from_this()](error_code ec, std::size_t n) {
      self->got.append(self->chunk_.data(), n);
      if (ec) self->over = true;
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
  std::string ask(const std::string& text) {
    const auto call = Call::to(io, server.listening());
    call->say(text);
    EXPECT_TRUE(until([&] { return call->over; }));
    return call->got;
  }
};

TEST_F(AdminServerTest, AnswersOneLineAndEndsTheConnection) {
  EXPECT_EQ(ask("check\n"), "SUCCESS check\n");
  EXPECT_EQ(ask("check\r\n"), "SUCCESS check\n");
  EXPECT_EQ(ask("check\nmore\n"), "SUCCESS check\n") << "one line for each connection";
  EXPECT_TRUE(until([&] { return server.connectionCount() == 0; }));
}

TEST_F(AdminServerTest, ALineInPiecesIsOne) {
  const auto call = Call::to(io, server.listening());
  call->say("che");
  ASSERT_TRUE(until([&] { return server.connectionCount() == 1; }));
  call->say("ck");
  call->say("\n");
  ASSERT_TRUE(until([&] { return call->over; }));
  EXPECT_EQ(call->got, "SUCCESS check\n");
}

TEST_F(AdminServerTest, ALineWithoutEndIsRejectedAtItsBound) {
  EXPECT_EQ(ask(std::string(admin::AdminServer::kMaxLineBytes + 1, 'x')).rfind("FAILURE", 0), 0u);
  EXPECT_EQ(ask(std::string(admin::AdminServer::kMaxLineBytes + 1, 'x') + "\n").rfind("FAILURE", 0), 0u);
}

TEST_F(AdminServerTest, IdleClientsKeepNobodyOut) {
  std::vector<std::shared_ptr<Call>> silent;
  for (std::size_t i = 0; i < 3 * admin::AdminServer::kMaxConnections; ++i) {
    silent.push_back(Call::to(io, server.listening()));
    silent.back()->say("che");
  }
  EXPECT_EQ(ask("check\n"), "SUCCESS check\n");
  EXPECT_LE(server.connectionCount(), admin::AdminServer::kMaxConnections);
  EXPECT_TRUE(silent.front()->over) << "the one that came first made room";
}

TEST(Report, NamesEachFigureOnALineOfItsOwn) {
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

// --- Of a gateway ---------------------------------------------------------------------------------------

class GatewayAdminTest : public LoopTest {
 protected:
  FakeDiscovery discovery{io};
  json config = configJson();
  std::vector<std::unique_ptr<Peer>> hosts;
  std::unique_ptr<Gateway> gateway;

  void addHost(PeerConnection::Script script, const std::string& state = "SERVING") {
    hosts.push_back(std::make_unique<Peer>(io, std::move(script)));
    discovery.list.push_back(target("s-" + std::to_string(hosts.size()), hosts.back()->endpoint, "a", state));
  }
  void start(int acceptFd = -1) {
    config["discovery"] = textOf(discovery.peer.endpoint);
    config["mgmt"] = "127.0.0.1:0";
    config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
    Config parsed = parseConfig(config, [](const char*) { return nullptr; });
    parsed.acceptFd = acceptFd;
    gateway = std::make_unique<Gateway>(io, parsed, longWatches(), [](const std::string&) {});
  }
  std::string ask(const std::string& line) {
    const auto call = Call::to(io, gateway->adminServer()->listening());
    call->say(line + "\n");
    EXPECT_TRUE(until([&] { return call->over; }));
    return call->got;
  }
  std::map<std::string, long> vars() {
    std::map<std::string, long> read;
    std::istringstream text(ask("vars"));
    std::string line, last;
    while (std::getline(text, line)) {
      last = line;
      if (const auto equals = line.find('='); equals != std::string::npos)
        read[line.substr(0, equals)] = std::stol(line.substr(equals + 1));
    }
    EXPECT_EQ(last, "EOT");
    return read;
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
  bool hold = false;
  addHost([&](PeerConnection& c) {
    if (!hold) c.reply(answerText(c.request.target() == "/write" ? 500 : 200, "", "x"));
  });
  addHost([](PeerConnection&) {}, "DRAINING");
  start();
  for (int i = 0; i < 3; ++i) {
    const auto c = send("read", "r" + std::to_string(i));
    ASSERT_TRUE(until([&] { return !c->answers.empty(); }));
  }
  const auto failed = send("write", "w1");
  ASSERT_TRUE(until([&] { return !failed->answers.empty(); }));
  hold = true;
  const auto open = send("read", "r9");
  ASSERT_TRUE(until([&] { return hosts[0]->requests.size() == 5; }));
  const auto read = vars();
  EXPECT_EQ(read.at("edge_gw.replies.read.success"), 3);
  EXPECT_EQ(read.at("edge_gw.replies.write.error"), 1) << "an unsafe call that may have run has failed";
  EXPECT_EQ(read.at("edge_gw.replies.write.success"), 0);
  EXPECT_EQ(read.at("edge_gw.dispatches"), 5);
  EXPECT_EQ(read.at("edge_gw.concurrent"), 1);
  EXPECT_EQ(read.at("edge_gw.targets"), 2);
  EXPECT_EQ(read.at("edge_gw.targets_disabled"), 1) << "the one that drains";
  open->close();
  ASSERT_TRUE(until([&] { return gateway->figures().concurrent == 0; })) << "its client has left";
}

TEST_F(GatewayAdminTest, CheckSaysYesOnceHostsAreKnownAndNoInAStop) {
  start();
  discovery.failing = true;
  EXPECT_EQ(ask("check").rfind("FAILURE", 0), 0u);
  EXPECT_EQ(ask("nonsense").rfind("FAILURE", 0), 0u);
  discovery.failing = false;
  addHost([](PeerConnection&) {});
  gateway.reset();
  start();
  EXPECT_EQ(ask("check"), "SUCCESS\n");
  gateway->drain([] {});
  EXPECT_EQ(ask("check").rfind("FAILURE", 0), 0u);
}

TEST_F(GatewayAdminTest, AnInheritedListenerIsServedAndOutlivesTheOneThatStops) {
  // Held by the platform: connections that come while one process stops are taken by the next.
  tcp::acceptor platform(io, loopback());
  addHost([](PeerConnection& c) { c.reply(answerText(200, "", "x")); });
  start(dup(platform.native_handle()));
  ASSERT_EQ(gateway->listening(), platform.local_endpoint());
  const auto before = send("read", "r1");
  ASSERT_TRUE(until([&] { return !before->answers.empty(); }));
  bool stopped = false;
  gateway->drain([&] { stopped = true; });
  const auto between = send("read", "r2", platform.local_endpoint());  // accepted by nobody yet
  ASSERT_TRUE(until([&] { return stopped; }));
  gateway.reset();
  start(dup(platform.native_handle()));
  ASSERT_TRUE(until([&] { return !between->answers.empty() || between->closedByPeer; }));
  ASSERT_FALSE(between->answers.empty());
  EXPECT_EQ(between->answers[0].result_int(), 200u);
}

}  // namespace
}  // namespace cairnjunction::testing

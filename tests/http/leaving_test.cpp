// Clients that leave while their request waits: over real sockets, at each phase of waiting, in each way of
// leaving, with whatever they sent behind their request, and with cancelling allowed and ruled out. Nothing
// of such a request may come to a host: each host here takes connections, or reads, only once the gateway has
// seen the client leave.
#include <gtest/gtest.h>

#include "app/gateway.hpp"
#include "gateway_waits.hpp"
#include "raw_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;

enum class Leave { close, reset, halfClose };

// A client of raw bytes that does not read.
class Leaver {
 public:
  Leaver(asio::io_context& io, const tcp::endpoint& to) : socket_(io) { socket_.connect(to); }
  // All of it, or as much as the other side takes for now.
  void send(const std::string& bytes) {
    socket_.non_blocking(true);
    error_code ec;
    for (std::size_t sent = 0; sent < bytes.size() && !ec;)
      sent += socket_.write_some(asio::buffer(bytes.data() + sent, bytes.size() - sent), ec);
  }
  void leave(Leave how) {
    error_code ignored;
    if (how == Leave::halfClose) {
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
      return;
    }
    if (how == Leave::reset) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }

 private:
  tcp::socket socket_;
};

class LeavingTest : public LoopTest {
 protected:
  FakeDiscovery discovery{io};
  json config = configJson();
  std::unique_ptr<Gateway> gateway;
  int serial = 0;

  void addHost(const tcp::endpoint& at) {
    discovery.list.push_back(target("s-" + std::to_string(discovery.list.size()), at));
  }
  void start(bool cancel, std::chrono::milliseconds floodPause = HttpServer::Limits().floodPause) {
    config["settings"]["ceilings"]["cancel"] = cancel;
    config["settings"]["ceilings"]["connectTimeoutNs"] = 60'000'000'000;
    config["discovery"] = textOf(discovery.peer.endpoint);
    config["known"] = {{"rev", 1}, {"all", true}, {"targets", discovery.list}};
    Gateway::Waits waits = longWatches();
    waits.clients.floodPause = floodPause;
    gateway = std::make_unique<Gateway>(io, parseConfig(config, [](const char*) { return nullptr; }), waits,
                                        [](const std::string&) {});
  }
  std::string text(const std::string& kind, const std::string& fields = "", const std::string& body = "") {
    const std::string id = "X-Request-Id: r" + std::to_string(++serial) + "\r\n";
    if (kind == "read") return "GET /read HTTP/1.1\r\nHost: x\r\n" + id + fields + "\r\n";
    return "POST /" + kind + " HTTP/1.1\r\nHost: x\r\n" + id + fields +
           (kind == "put" ? "Idempotency-Key: k1\r\n" : "") +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }
  ::testing::AssertionResult waits(std::size_t requests = 1) {
    return until([this, requests] { return gateway->engine().awaitingReply() == requests; });
  }
  ::testing::AssertionResult isOver() {
    return until([this] { return gateway->engine().awaitingReply() == 0 && gateway->openRequests() == 0; });
  }
};

struct Behind {
  const char* name;
  std::string bytes;
};
const std::vector<Behind> kBehind = {
    {"nothing", ""},
    {"half a request", "GET /re"},
    {"noise", "\x01\x02 no request at all\r\n\r\n"},
    {"a request", "GET /read HTTP/1.1\r\nHost: x\r\nX-Request-Id: behind\r\n\r\n"},
    {"more than is read at a time", std::string(20000, 'x')},
    {"more than is kept", std::string(300000, 'x')},
};

class Phases : public LeavingTest, public ::testing::WithParamInterface<std::tuple<bool, Leave>> {};

TEST_P(Phases, WhileItsAttemptIsDialling) {
  const auto [cancel, how] = GetParam();
  for (const char* kind : {"read", "write", "put"})
    for (const Behind& behind : kBehind) {
      SCOPED_TRACE(std::string(kind) + ", behind it " + behind.name);
      discovery.list = json::array();
      FullListener full(io);
      addHost(full.endpoint);
      ASSERT_TRUE(until([&] { return full.filled > 0; }));
      start(cancel);
      Leaver client(io, gateway->listening());
      client.send(text(kind) + behind.bytes);
      ASSERT_TRUE(waits());
      client.leave(how);
      ASSERT_TRUE(isOver());
      full.takeAll();
      ASSERT_TRUE(until([&] { return full.allLeft(); }));
      EXPECT_EQ(full.received(), 0u);
      EXPECT_EQ(gateway->figures().dispatches, 0u);
    }
}

// Its first attempt was turned away, and the one to the other host is dialling.
TEST_P(Phases, WhileALaterAttemptIsDialling) {
  const auto [cancel, how] = GetParam();
  Peer busy(io, [](PeerConnection& c) { c.reply(answerText(503, "X-Not-Run: 1\r\n", "")); });
  for (const char* kind : {"read", "write", "put"}) {
    SCOPED_TRACE(kind);
    discovery.list = json::array();
    busy.requests.clear();
    FullListener full(io);
    addHost(full.endpoint);
    addHost(busy.endpoint);
    ASSERT_TRUE(until([&] { return full.filled > 0; }));
    start(cancel);
    // Some go to the silent host first; one that was turned away is there next.
    std::vector<std::unique_ptr<Leaver>> clients;
    while (busy.requests.empty()) {
      clients.push_back(std::make_unique<Leaver>(io, gateway->listening()));
      clients.back()->send(text(kind));
      ASSERT_TRUE(until([&] {
        return gateway->engine().awaitingReply() == clients.size() &&
               gateway->connections() >= clients.size();
      }));
    }
    ASSERT_TRUE(until([&] {
      return gateway->engine().loadBalancer().attemptsInFlight(gateway->engine().findEndpoint("s-0")) ==
             clients.size();
    }));
    for (const auto& client : clients) client->leave(how);
    ASSERT_TRUE(isOver());
    const std::size_t reached = busy.requests.size();
    full.takeAll();
    ASSERT_TRUE(until([&] { return full.allLeft(); }));
    EXPECT_EQ(full.received(), 0u);
    EXPECT_EQ(busy.requests.size(), reached);
  }
}

// Half of it is written: a host begins with the last byte, which must not come.
TEST_P(Phases, WhileItsRequestIsHalfWritten) {
  const auto [cancel, how] = GetParam();
  DeafListener deaf(io);
  addHost(deaf.endpoint);
  config["limits"]["memory_mb"] = 1000;
  start(cancel);
  Leaver client(io, gateway->listening());
  const std::string whole = text("write", "", std::string(kMoreThanFits, 'x'));
  // As fast as the gateway reads it.
  std::size_t sent = 0;
  ASSERT_TRUE(until([&] {
    const std::size_t before = sent;
    const std::string piece = whole.substr(sent, 64 << 10);
    client.send(piece);
    sent = before + piece.size();
    return sent == whole.size() || gateway->engine().awaitingReply() == 1;
  }));
  client.leave(how);
  ASSERT_TRUE(isOver());
  deaf.readAll();
  ASSERT_TRUE(until([&] { return deaf.taken.empty() || deaf.taken.front()->closedByPeer; }));
  if (!deaf.taken.empty()) EXPECT_LT(deaf.taken.front()->received, kMoreThanFits);
  EXPECT_EQ(gateway->figures().dispatches, 0u);
}

TEST_P(Phases, WhileItWaitsForTheTurnOfItsKey) {
  const auto [cancel, how] = GetParam();
  config["settings"]["grades"][1]["inTurn"] = true;
  std::shared_ptr<PeerConnection> held;
  Peer host(io, [&](PeerConnection& c) { held = c.shared_from_this(); });
  addHost(host.endpoint);
  start(cancel);
  auto first = Client::connect(io, gateway->listening());
  first->send(text("write", "Cookie: obj=7\r\n"));
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  std::vector<std::unique_ptr<Leaver>> clients;
  for (const Behind& behind : kBehind) {
    clients.push_back(std::make_unique<Leaver>(io, gateway->listening()));
    clients.back()->send(text("write", "Cookie: obj=7\r\n") + behind.bytes);
  }
  ASSERT_TRUE(waits(1 + clients.size()));
  for (const auto& client : clients) client->leave(how);
  ASSERT_TRUE(waits(1));
  held->reply(answerText(200, "", "ok"));
  ASSERT_TRUE(until([&] { return first->answers.size() == 1; }));
  ASSERT_TRUE(isOver());
  EXPECT_EQ(host.requests.size(), 1u);
}

TEST_P(Phases, InABurstOfHundreds) {
  const auto [cancel, how] = GetParam();
  config["limits"]["sockets"] = 1024;
  FullListener full(io);
  addHost(full.endpoint);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  start(cancel);
  std::vector<std::unique_ptr<Leaver>> clients;
  for (int i = 0; i < 200; ++i) {
    clients.push_back(std::make_unique<Leaver>(io, gateway->listening()));
    clients.back()->send(text(i % 3 ? "read" : "write"));
  }
  // Some are refused: more than may be in flight. Those that are not leave in one moment.
  ASSERT_TRUE(until([&] {
    std::uint64_t refused = 0;
    for (const auto& tally : gateway->engine().replyCounts()) refused += tally.rejected;
    return gateway->engine().awaitingReply() + refused == 200;
  }));
  ASSERT_GT(gateway->engine().awaitingReply(), 0u);
  for (const auto& client : clients) client->leave(how);
  ASSERT_TRUE(isOver());
  full.takeAll();
  ASSERT_TRUE(until([&] { return full.allLeft(); }));
  EXPECT_EQ(full.received(), 0u);
}

std::string wayName(const ::testing::TestParamInfo<std::tuple<bool, Leave>>& info) {
  const char* const ways[] = {"Close", "Reset", "HalfClose"};
  return std::string(ways[static_cast<int>(std::get<1>(info.param))]) +
         (std::get<0>(info.param) ? "Cancelling" : "NoCancelling");
}
INSTANTIATE_TEST_SUITE_P(Ways, Phases,
                         ::testing::Combine(::testing::Bool(),
                                            ::testing::Values(Leave::close, Leave::reset, Leave::halfClose)),
                         wayName);

// --- What is sent ahead of an answer
// ------------------------------------------------------------------------

TEST_F(LeavingTest, RequestsSentAheadAreServedInTurnAndTooMuchOfThemEndsTheConnectionBehindTheAnswer) {
  std::vector<std::shared_ptr<PeerConnection>> held;
  Peer host(io, [&](PeerConnection& c) { held.push_back(c.shared_from_this()); });
  addHost(host.endpoint);
  for (const std::size_t filler :
       {std::size_t{0}, std::size_t{10000}, std::size_t{100000}, std::size_t{2000000}}) {
    SCOPED_TRACE(filler);
    held.clear();
    start(true);
    auto client = Client::connect(io, gateway->listening());
    client->send(text("write"));
    ASSERT_TRUE(until([&] { return held.size() == 1; }));
    client->send(text("write", "", std::string(filler, 'x')));
    const bool kept = filler < (64 << 10);
    // What is too much has been read, and dropped, before the answer.
    for (int i = 0; i < 200; ++i) io.poll();
    held[0]->reply(answerText(200, "", "one"));
    ASSERT_TRUE(until([&] { return client->answers.size() == 1; }));
    EXPECT_EQ(client->answers[0].body(), "one");
    if (kept) {
      ASSERT_TRUE(until([&] { return held.size() == 2; }));
      held[1]->reply(answerText(200, "", "two"));
      ASSERT_TRUE(until([&] { return client->answers.size() == 2; }));
    } else {
      ASSERT_TRUE(until([&] { return client->closedByPeer; }));
      EXPECT_FALSE(client->answers[0].keep_alive());
      EXPECT_EQ(held.size(), 1u) << "never taken, it may be sent again elsewhere";
    }
  }
}

// A flood behind a request is not read without end, and the answer comes through it.
TEST_F(LeavingTest, AFloodBehindARequestIsHeldUpAndTheRequestServed) {
  std::shared_ptr<PeerConnection> held;
  Peer host(io, [&](PeerConnection& c) { held = c.shared_from_this(); });
  addHost(host.endpoint);
  start(true, 1h);
  tcp::socket client(io);
  client.connect(gateway->listening());
  client.non_blocking(true);
  const std::string request = text("write"), noise(1 << 20, 'x');
  client.write_some(asio::buffer(request));
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  std::size_t sent = 0;
  int idle = 0;  // rounds in which nothing more was taken
  ASSERT_TRUE(until([&] {
    error_code ec;
    const std::size_t n = client.write_some(asio::buffer(noise), ec);
    sent += n;
    idle = n > 0 ? 0 : idle + 1;
    return idle > 20;
  }));
  EXPECT_LT(sent, std::size_t{64} << 20);
  held->reply(answerText(200, "", "served"));
  std::string answer;
  ASSERT_TRUE(until([&] {
    std::array<char, 4096> piece;
    error_code ec;
    answer.append(piece.data(), client.read_some(asio::buffer(piece), ec));
    return answer.find("served") != std::string::npos;
  }));
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

// However much of it the system still holds: it is read on, and its sender's leaving is seen behind it.
TEST_P(Phases, BehindAFlood) {
  const auto [cancel, how] = GetParam();
  FullListener full(io);
  addHost(full.endpoint);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  start(cancel);
  Leaver client(io, gateway->listening());
  client.send(text("write"));
  ASSERT_TRUE(waits());
  const std::string noise(1 << 20, 'x');
  // More than fits into the system's buffers, and into what is read from them.
  for (int i = 0; i < 20; ++i) {
    client.send(noise);
    io.poll();
  }
  client.leave(how);
  ASSERT_TRUE(isOver());
  full.takeAll();
  ASSERT_TRUE(until([&] { return full.allLeft(); }));
  EXPECT_EQ(full.received(), 0u);
}

}  // namespace
}  // namespace cairnjunction::testing

// Clients that disconnect while their request is pending: over real sockets, in each phase of the request,
// with each kind of disconnect, with various bytes sent after the request, and with the setting `cancel` on
// and off. No byte of such a request may reach an endpoint, or not its last byte where it is half written:
// the endpoints here accept or read only once the gateway has detected the disconnect.
#include <gtest/gtest.h>

#include "app/gateway.hpp"
#include "gateway_waits.hpp"
#include "raw_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;

enum class DisconnectKind { close, reset, halfClose };

// A client that sends raw bytes and does not read.
class DisconnectingClient {
 public:
  DisconnectingClient(asio::io_context& io, const tcp::endpoint& to) : socket_(io) { socket_.connect(to); }
  // Sends all bytes, or as many as the socket accepts without blocking.
  void send(const std::string& bytes) {
    socket_.non_blocking(true);
    error_code ec;
    for (std::size_t sent = 0; sent < bytes.size() && !ec;)
      sent += socket_.write_some(asio::buffer(bytes.data() + sent, bytes.size() - sent), ec);
  }
  void disconnect(DisconnectKind how) {
    error_code ignored;
    if (how == DisconnectKind::halfClose) {
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
      return;
    }
    if (how == DisconnectKind::reset) socket_.set_option(asio::socket_base::linger(true, 0), ignored);
    socket_.close(ignored);
  }

 private:
  tcp::socket socket_;
};

class ClientDisconnectTest : public LoopTest {
 protected:
  FakeDiscovery discovery{io};
  json config = configJson();
  std::unique_ptr<Gateway> gateway;
  int serial = 0;

  void addEndpoint(const tcp::endpoint& at) {
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
  ::testing::AssertionResult requestsArePending(std::size_t requests = 1) {
    return until([this, requests] { return gateway->engine().awaitingReply() == requests; });
  }
  ::testing::AssertionResult allRequestsEnded() {
    return until([this] { return gateway->engine().awaitingReply() == 0 && gateway->openRequests() == 0; });
  }
};

struct TrailingBytes {
  const char* name;
  std::string bytes;
};
const std::vector<TrailingBytes> kTrailingBytes = {
    {"nothing", ""},
    {"half a request", "GET /re"},
    {"noise", "\x01\x02 no request at all\r\n\r\n"},
    {"a request", "GET /read HTTP/1.1\r\nHost: x\r\nX-Request-Id: behind\r\n\r\n"},
    {"more than is read at a time", std::string(20000, 'x')},
    {"more than is buffered", std::string(300000, 'x')},
};

class DisconnectTest : public ClientDisconnectTest,
                       public ::testing::WithParamInterface<std::tuple<bool, DisconnectKind>> {};

TEST_P(DisconnectTest, WhileItsAttemptIsConnecting) {
  const auto [cancel, how] = GetParam();
  for (const char* kind : {"read", "write", "put"})
    for (const TrailingBytes& trailing : kTrailingBytes) {
      SCOPED_TRACE(std::string(kind) + ", followed by " + trailing.name);
      discovery.list = json::array();
      FullListener full(io);
      addEndpoint(full.endpoint);
      ASSERT_TRUE(until([&] { return full.filled > 0; }));
      start(cancel);
      DisconnectingClient client(io, gateway->listening());
      client.send(text(kind) + trailing.bytes);
      ASSERT_TRUE(requestsArePending());
      client.disconnect(how);
      ASSERT_TRUE(allRequestsEnded());
      full.takeAll();
      ASSERT_TRUE(until([&] { return full.allLeft(); }));
      EXPECT_EQ(full.received(), 0u);
      EXPECT_EQ(gateway->figures().dispatches, 0u);
    }
}

// The first attempt was rejected; the retry is connecting to the other endpoint.
TEST_P(DisconnectTest, WhileARetryIsConnecting) {
  const auto [cancel, how] = GetParam();
  Peer busy(io, [](PeerConnection& c) { c.reply(answerText(503, "X-Not-Run: 1\r\n", "")); });
  for (const char* kind : {"read", "write", "put"}) {
    SCOPED_TRACE(kind);
    discovery.list = json::array();
    busy.requests.clear();
    FullListener full(io);
    addEndpoint(full.endpoint);
    addEndpoint(busy.endpoint);
    ASSERT_TRUE(until([&] { return full.filled > 0; }));
    start(cancel);
    // Some are forwarded to the unresponsive endpoint first; a rejected one is retried there.
    std::vector<std::unique_ptr<DisconnectingClient>> clients;
    while (busy.requests.empty()) {
      clients.push_back(std::make_unique<DisconnectingClient>(io, gateway->listening()));
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
    for (const auto& client : clients) client->disconnect(how);
    ASSERT_TRUE(allRequestsEnded());
    const std::size_t reached = busy.requests.size();
    full.takeAll();
    ASSERT_TRUE(until([&] { return full.allLeft(); }));
    EXPECT_EQ(full.received(), 0u);
    EXPECT_EQ(busy.requests.size(), reached);
  }
}

// The request is partly written. An endpoint executes it only with its last byte, which must not be sent.
TEST_P(DisconnectTest, WhileItsRequestIsPartlyWritten) {
  const auto [cancel, how] = GetParam();
  DeafListener deaf(io);
  addEndpoint(deaf.endpoint);
  config["limits"]["memory_mb"] = 1000;
  start(cancel);
  DisconnectingClient client(io, gateway->listening());
  const std::string whole = text("write", "", std::string(kMoreThanFits, 'x'));
  // Sent as fast as the gateway reads it.
  std::size_t sent = 0;
  ASSERT_TRUE(until([&] {
    const std::size_t before = sent;
    const std::string piece = whole.substr(sent, 64 << 10);
    client.send(piece);
    sent = before + piece.size();
    return sent == whole.size() || gateway->engine().awaitingReply() == 1;
  }));
  client.disconnect(how);
  ASSERT_TRUE(allRequestsEnded());
  deaf.readAll();
  ASSERT_TRUE(until([&] { return deaf.taken.empty() || deaf.taken.front()->closedByPeer; }));
  if (!deaf.taken.empty()) EXPECT_LT(deaf.taken.front()->received, kMoreThanFits);
  EXPECT_EQ(gateway->figures().dispatches, 0u);
}

TEST_P(DisconnectTest, WhileItIsSerializedByKey) {
  const auto [cancel, how] = GetParam();
  config["settings"]["grades"][1]["inTurn"] = true;
  std::shared_ptr<PeerConnection> pending;
  Peer peer(io, [&](PeerConnection& c) { pending = c.shared_from_this(); });
  addEndpoint(peer.endpoint);
  start(cancel);
  auto first = Client::connect(io, gateway->listening());
  first->send(text("write", "Cookie: obj=7\r\n"));
  ASSERT_TRUE(until([&] { return pending != nullptr; }));
  std::vector<std::unique_ptr<DisconnectingClient>> clients;
  for (const TrailingBytes& trailing : kTrailingBytes) {
    clients.push_back(std::make_unique<DisconnectingClient>(io, gateway->listening()));
    clients.back()->send(text("write", "Cookie: obj=7\r\n") + trailing.bytes);
  }
  ASSERT_TRUE(requestsArePending(1 + clients.size()));
  for (const auto& client : clients) client->disconnect(how);
  ASSERT_TRUE(requestsArePending(1));
  pending->reply(answerText(200, "", "ok"));
  ASSERT_TRUE(until([&] { return first->answers.size() == 1; }));
  ASSERT_TRUE(allRequestsEnded());
  EXPECT_EQ(peer.requests.size(), 1u);
}

TEST_P(DisconnectTest, TwoHundredClientsAtOnce) {
  const auto [cancel, how] = GetParam();
  config["limits"]["sockets"] = 1024;
  FullListener full(io);
  addEndpoint(full.endpoint);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  start(cancel);
  std::vector<std::unique_ptr<DisconnectingClient>> clients;
  for (int i = 0; i < 200; ++i) {
    clients.push_back(std::make_unique<DisconnectingClient>(io, gateway->listening()));
    clients.back()->send(text(i % 3 ? "read" : "write"));
  }
  // Some are rejected by the in-flight limit. All clients disconnect at once.
  ASSERT_TRUE(until([&] {
    std::uint64_t rejected = 0;
    for (const auto& tally : gateway->engine().replyCounts()) rejected += tally.rejected;
    return gateway->engine().awaitingReply() + rejected == 200;
  }));
  ASSERT_GT(gateway->engine().awaitingReply(), 0u);
  for (const auto& client : clients) client->disconnect(how);
  ASSERT_TRUE(allRequestsEnded());
  full.takeAll();
  ASSERT_TRUE(until([&] { return full.allLeft(); }));
  EXPECT_EQ(full.received(), 0u);
}

std::string disconnectName(const ::testing::TestParamInfo<std::tuple<bool, DisconnectKind>>& info) {
  const char* const kindNames[] = {"Close", "Reset", "HalfClose"};
  return std::string(kindNames[static_cast<int>(std::get<1>(info.param))]) +
         (std::get<0>(info.param) ? "Cancelling" : "NoCancelling");
}
INSTANTIATE_TEST_SUITE_P(Disconnects, DisconnectTest,
                         ::testing::Combine(::testing::Bool(),
                                            ::testing::Values(DisconnectKind::close, DisconnectKind::reset,
                                                              DisconnectKind::halfClose)),
                         disconnectName);

// --- Pipelined bytes ------------------------------------------------------------------------------------

TEST_F(ClientDisconnectTest, PipelinedRequestsAreServedInOrderAndTooManyBytesCloseTheConnection) {
  std::vector<std::shared_ptr<PeerConnection>> pending;
  Peer peer(io, [&](PeerConnection& c) { pending.push_back(c.shared_from_this()); });
  addEndpoint(peer.endpoint);
  for (const std::size_t filler :
       {std::size_t{0}, std::size_t{10000}, std::size_t{100000}, std::size_t{2000000}}) {
    SCOPED_TRACE(filler);
    pending.clear();
    start(true);
    auto client = Client::connect(io, gateway->listening());
    client->send(text("write"));
    ASSERT_TRUE(until([&] { return pending.size() == 1; }));
    client->send(text("write", "", std::string(filler, 'x')));
    const bool buffered = filler < (64 << 10);
    // The excess bytes are read and dropped before the response.
    for (int i = 0; i < 200; ++i) io.poll();
    pending[0]->reply(answerText(200, "", "one"));
    ASSERT_TRUE(until([&] { return client->answers.size() == 1; }));
    EXPECT_EQ(client->answers[0].body(), "one");
    if (buffered) {
      ASSERT_TRUE(until([&] { return pending.size() == 2; }));
      pending[1]->reply(answerText(200, "", "two"));
      ASSERT_TRUE(until([&] { return client->answers.size() == 2; }));
    } else {
      ASSERT_TRUE(until([&] { return client->closedByPeer; }));
      EXPECT_FALSE(client->answers[0].keep_alive());
      EXPECT_EQ(pending.size(), 1u) << "not handed over, so the client may safely repeat it";
    }
  }
}

// A client sends endlessly while its request is pending: reading is throttled and the response is delivered.
TEST_F(ClientDisconnectTest, EndlessInputAfterARequestIsThrottledAndTheRequestServed) {
  std::shared_ptr<PeerConnection> pending;
  Peer peer(io, [&](PeerConnection& c) { pending = c.shared_from_this(); });
  addEndpoint(peer.endpoint);
  start(true, 1h);
  tcp::socket client(io);
  client.connect(gateway->listening());
  client.non_blocking(true);
  const std::string request = text("write"), noise(1 << 20, 'x');
  client.write_some(asio::buffer(request));
  ASSERT_TRUE(until([&] { return pending != nullptr; }));
  std::size_t sent = 0;
  int idle = 0;  // rounds in which no byte was accepted
  ASSERT_TRUE(until([&] {
    error_code ec;
    const std::size_t n = client.write_some(asio::buffer(noise), ec);
    sent += n;
    idle = n > 0 ? 0 : idle + 1;
    return idle > 20;
  }));
  EXPECT_LT(sent, std::size_t{64} << 20);
  pending->reply(answerText(200, "", "served"));
  std::string answer;
  ASSERT_TRUE(until([&] {
    std::array<char, 4096> piece;
    error_code ec;
    answer.append(piece.data(), client.read_some(asio::buffer(piece), ec));
    return answer.find("served") != std::string::npos;
  }));
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

// A client sends many bytes after its request and disconnects: the bytes are read and the disconnect after
// them is detected.
TEST_P(DisconnectTest, AfterALargeAmountOfInput) {
  const auto [cancel, how] = GetParam();
  FullListener full(io);
  addEndpoint(full.endpoint);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  start(cancel);
  DisconnectingClient client(io, gateway->listening());
  client.send(text("write"));
  ASSERT_TRUE(requestsArePending());
  const std::string noise(1 << 20, 'x');
  // More than the kernel's buffers hold and the gateway reads between two pauses.
  for (int i = 0; i < 20; ++i) {
    client.send(noise);
    io.poll();
  }
  client.disconnect(how);
  ASSERT_TRUE(allRequestsEnded());
  full.takeAll();
  ASSERT_TRUE(until([&] { return full.allLeft(); }));
  EXPECT_EQ(full.received(), 0u);
}

}  // namespace
}  // namespace cairnjunction::testing

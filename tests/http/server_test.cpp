// HttpServer in a graceful shutdown: bytes that arrive at a connection while it is being closed. The race is
// forced: between two turns of the event loop the clients of the test write and the server is stopped.
#include "http/server.hpp"

#include <gtest/gtest.h>
#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <thread>

#include "raw_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;

const std::string kRequest = "GET /read HTTP/1.1\r\nHost: x\r\nX-Request-Id: r1\r\n\r\n";

// A client with synchronous writes and non-blocking reads.
struct RawClient {
  RawClient(asio::io_context& io, const tcp::endpoint& to) : socket(io) { socket.connect(to); }
  void send(const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }
  // All bytes received so far; sets `ended` once the server has closed the connection.
  const std::string& read() {
    socket.non_blocking(true);
    std::array<char, 4096> piece;
    error_code ec;
    while (!ec) text.append(piece.data(), socket.read_some(asio::buffer(piece), ec));
    ended = ec != asio::error::would_block && ec != asio::error::try_again;
    reset = ended && ec != asio::error::eof;
    return text;
  }
  // Whether the server's kernel has acknowledged all bytes sent.
  bool delivered() {
    int left = 0;
    return ::ioctl(socket.native_handle(), SIOCOUTQ, &left) == 0 && left == 0;
  }
  tcp::socket socket;
  std::string text;
  bool ended = false, reset = false;
};

class ServerTest : public LoopTest {
 protected:
  HttpServer::Limits limits = longTimeouts();
  std::vector<ClientRequest> requests;
  std::vector<ExchangeId> disconnected;
  bool empty = false;
  std::unique_ptr<HttpServer> server;

  static HttpServer::Limits longTimeouts() {  // timeouts longer than any test
    HttpServer::Limits limits;
    limits.slow = limits.idle = 600s;
    return limits;
  }
  void start() {
    requests.clear();
    empty = false;
    server = std::make_unique<HttpServer>(
        io, ListenOptions{loopback()}, limits,
        HttpServer::Callbacks{[this](ClientRequest request) { requests.push_back(std::move(request)); },
                              [this](ExchangeId exchange) { disconnected.push_back(exchange); }});
    server->onEmpty = [this] { empty = true; };
  }
  std::unique_ptr<RawClient> connect() { return std::make_unique<RawClient>(io, server->listening()); }
  void respond(std::size_t n, const std::string& body = "served") {
    HttpResponse response;
    response.body = body;
    server->respond(requests.at(n).exchange, std::move(response));
  }
  // A client with an idle keep-alive connection, on which one request was served.
  std::unique_ptr<RawClient> idleClient() {
    auto client = connect();
    const std::size_t before = requests.size();
    client->send(kRequest);
    EXPECT_TRUE(until([&] { return requests.size() == before + 1; }));
    respond(before, "first");
    EXPECT_TRUE(until([&] { return client->read().find("first") != std::string::npos; }));
    for (int i = 0; i < 20; ++i) io.poll();
    client->text.clear();
    requests.clear();
    return client;
  }
};

// `bytes` of a request are sent before the shutdown and the others after it. If at least one byte was sent
// before, the request is served and the connection closed; with none, it is never handed over and the client
// sees the connection close.
TEST_F(ServerTest, RequestSplitByAShutdownIsServedOrNeverHandedOver) {
  for (const bool first : {true, false})
    for (std::size_t bytes = 0; bytes <= kRequest.size(); ++bytes) {
      SCOPED_TRACE(std::string(first ? "fresh " : "idle ") + std::to_string(bytes));
      start();
      auto client = first ? connect() : idleClient();
      if (first) ASSERT_TRUE(until([&] { return server->connections() == 1; }));
      if (bytes > 0) client->send(kRequest.substr(0, bytes));
      server->lastAnswers();
      server->stopAccepting();
      if (bytes == 0) {
        ASSERT_TRUE(until([&] { return client->read(), client->ended; }));
        EXPECT_TRUE(requests.empty());
        continue;
      }
      client->send(kRequest.substr(bytes));
      ASSERT_TRUE(until([&] { return requests.size() == 1; }));
      respond(0);
      ASSERT_TRUE(until([&] { return client->read(), client->ended; }));
      EXPECT_NE(client->text.find("served"), std::string::npos);
      EXPECT_NE(client->text.find("Connection: close"), std::string::npos);
      EXPECT_FALSE(client->reset);
      client->socket.close();
      EXPECT_TRUE(until([&] { return empty; }));
    }
}

// A response without `Connection: close` is being written when the idle connections are closed. The
// connection must be closed afterwards, or the shutdown would not end.
TEST_F(ServerTest, ConnectionIsClosedAfterAResponseWrittenDuringShutdown) {
  for (const bool more : {false, true}) {
    SCOPED_TRACE(more);
    start();
    auto client = connect();
    client->send(kRequest);
    ASSERT_TRUE(until([&] { return requests.size() == 1; }));
    respond(0, std::string(16 << 20, 'x'));  // exceeds the socket buffers, so writing is not finished
    server->lastAnswers();
    server->stopAccepting();
    EXPECT_EQ(server->connections(), 1u);
    if (more) client->send(kRequest);  // allowed, since the response did not say `Connection: close`
    ASSERT_TRUE(until([&] { return client->read().size() > 16u << 20; }));
    EXPECT_EQ(client->text.find("Connection: close"), std::string::npos);
    if (more) {
      ASSERT_TRUE(until([&] { return requests.size() == 2; }));
      respond(1, "the second");
      ASSERT_TRUE(until([&] { return client->read().find("the second") != std::string::npos; }));
    }
    ASSERT_TRUE(until([&] { return client->read(), client->ended; }));
    EXPECT_FALSE(client->reset);
    client->socket.close();
    EXPECT_TRUE(until([&] { return empty; }));
  }
}

// Bytes that arrive after the last response are read, so that no reset discards the response, and never
// handed over. Moment 1: right after the response is given; 2: after the client has read it; 0: before it,
// with more bytes than the server buffers.
TEST_F(ServerTest, BytesAfterTheLastResponseAreNeverHandedOver) {
  const std::string tooMany(100000, 'x');
  for (const std::string& behind : {std::string("x"), kRequest, kRequest + kRequest, tooMany})
    for (int moment = behind == tooMany ? 0 : 1; moment < 3; ++moment) {
      SCOPED_TRACE(std::to_string(behind.size()) + " bytes at moment " + std::to_string(moment));
      start();
      auto client = connect();
      client->send(kRequest);
      ASSERT_TRUE(until([&] { return requests.size() == 1; }));
      server->lastAnswers();
      if (moment == 0) {
        client->send(behind);
        ASSERT_TRUE(until([&] { return client->delivered(); }));
        for (int i = 0; i < 100; ++i) io.poll();  // the server reads and drops the bytes
      }
      respond(0);
      if (moment == 1) client->send(behind);
      if (moment == 2) {
        ASSERT_TRUE(until([&] { return client->read(), client->ended; }));
        client->send(behind);
      }
      ASSERT_TRUE(until([&] { return client->read(), client->ended; }));
      EXPECT_NE(client->text.find("served"), std::string::npos);
      EXPECT_FALSE(client->reset && moment < 2);
      server->stopAccepting();
      client->socket.close();
      ASSERT_TRUE(until([&] { return empty; }));
      EXPECT_EQ(requests.size(), 1u);
    }
}

// Each request of which a byte has arrived before the response to the previous one is served, and the
// connection is closed after the last response. This holds whether or not the server has read the bytes, and
// whether or not idle connections are closed.
TEST_F(ServerTest, RequestsReceivedBeforeTheLastResponseAreServedInAShutdown) {
  const std::string two = kRequest + kRequest;
  for (const bool read : {true, false})
    for (const bool closing : {true, false})
      for (std::size_t bytes = 1; bytes <= two.size(); ++bytes) {
        SCOPED_TRACE(std::to_string(bytes) + (read ? " read" : "") + (closing ? " closing" : ""));
        start();
        auto client = connect();
        client->send(kRequest);
        ASSERT_TRUE(until([&] { return requests.size() == 1; }));
        server->lastAnswers();
        if (closing) server->stopAccepting();
        client->send(two.substr(0, bytes));
        while (!client->delivered()) std::this_thread::yield();
        if (read)
          for (int i = 0; i < 10; ++i) io.poll();
        respond(0, "first");
        client->send(two.substr(bytes));
        ASSERT_TRUE(until([&] { return requests.size() == 2; }));
        respond(1, "second");
        // The third request is served if any byte of it was sent by now.
        const bool third = bytes > kRequest.size();
        if (third) {
          ASSERT_TRUE(until([&] { return requests.size() == 3; }));
          respond(2, "third");
        }
        ASSERT_TRUE(until([&] { return client->read(), client->ended || requests.size() == 3; }));
        if (requests.size() == 3 && !third) respond(2, "third");
        ASSERT_TRUE(until([&] { return client->read(), client->ended; }));
        EXPECT_FALSE(client->reset);
        std::size_t answers = 0, at = 0;
        while ((at = client->text.find("HTTP/1.1 200", at)) != std::string::npos) ++answers, ++at;
        EXPECT_EQ(answers, requests.size());
        EXPECT_EQ(client->text.find("Connection: close"), client->text.rfind("Connection: close"));
        EXPECT_GT(client->text.find("Connection: close"), client->text.rfind("HTTP/1.1 200"));
        client->socket.close();
        if (!closing) server->stopAccepting();
        ASSERT_TRUE(until([&] { return empty; }));
      }
}

// The same behind a response that goes on while its endpoint writes.
TEST_F(ServerTest, PipelinedRequestBehindAStreamedResponseArrivesWithItsLastByte) {
  using Clock = std::chrono::steady_clock;
  const auto waitAWhile = [&] {
    const auto from = Clock::now();
    return until([&] { return Clock::now() - from > 50ms; });
  };
  start();
  auto client = connect();
  client->send(kRequest);
  ASSERT_TRUE(until([&] { return requests.size() == 1; }));
  HttpResponse response;
  response.body = "first ";
  response.rest = std::make_shared<BodyStream>(1 << 10);
  const auto rest = response.rest;
  server->respond(requests.at(0).exchange, std::move(response));
  ASSERT_TRUE(until([&] { return client->read().find("first") != std::string::npos; }));
  const auto before = Clock::now();
  client->send(kRequest);
  ASSERT_TRUE(until([&] { return client->delivered(); }));
  for (int i = 0; i < 20; ++i) io.poll();
  const auto after = Clock::now();
  ASSERT_TRUE(waitAWhile());
  EXPECT_EQ(requests.size(), 1u) << "one request at a time";
  rest->put("last");
  rest->finish();
  ASSERT_TRUE(until([&] { return requests.size() == 2; }));
  EXPECT_GE(requests[1].receivedAt, before);
  EXPECT_LE(requests[1].receivedAt, after);
  respond(1, "second");
  ASSERT_TRUE(until([&] { return client->read().find("second") != std::string::npos; }));
  EXPECT_FALSE(client->ended);
}

// The client timeout of a request starts at its last byte, also if it waits behind others on its connection.
TEST_F(ServerTest, PipelinedRequestArrivesWithItsLastByte) {
  using Clock = std::chrono::steady_clock;
  const auto waitAWhile = [&] {
    const auto from = Clock::now();
    return until([&] { return Clock::now() - from > 30ms; });
  };
  for (std::size_t bytes = 0; bytes <= kRequest.size(); ++bytes) {
    if (bytes > 1 && bytes + 1 < kRequest.size() && bytes % 10) continue;
    SCOPED_TRACE(bytes);
    start();
    auto client = connect();
    client->send(kRequest + kRequest.substr(0, bytes));
    ASSERT_TRUE(until([&] { return requests.size() == 1; }));
    ASSERT_TRUE(waitAWhile());
    const auto before = Clock::now();
    if (bytes < kRequest.size()) client->send(kRequest.substr(bytes));
    client->send(kRequest);
    ASSERT_TRUE(until([&] { return client->delivered(); }));
    for (int i = 0; i < 20; ++i) io.poll();
    const auto after = Clock::now();
    ASSERT_TRUE(waitAWhile());
    respond(0);
    ASSERT_TRUE(until([&] { return requests.size() == 2; }));
    respond(1);
    ASSERT_TRUE(until([&] { return requests.size() == 3; }));
    EXPECT_EQ(requests[1].receivedAt >= before, bytes < kRequest.size());
    EXPECT_LE(requests[1].receivedAt, after);
    EXPECT_GE(requests[2].receivedAt, before);
    EXPECT_LE(requests[2].receivedAt, after);
  }
}

// More connections than the limit are in the backlog, each with a request.
TEST_F(ServerTest, AllConnectionsInTheBacklogAreAcceptedWhenTheListenerCloses) {
  limits.connections = 4;
  start();
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(connect());
    clients.back()->send(kRequest);
  }
  server->stopListening();
  ASSERT_TRUE(until([&] { return requests.size() == 40; }));
  server->lastAnswers();
  for (std::size_t i = 0; i < 40; ++i) respond(i);
  for (const auto& client : clients) {
    ASSERT_TRUE(until([&] { return client->read().find("served") != std::string::npos; }));
    client->socket.close();
  }
  server->stopAccepting();
  EXPECT_TRUE(until([&] { return empty; }));
}

TEST_F(ServerTest, IdleConnectionsAreClosedInAShutdown) {
  start();
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 20; ++i) clients.push_back(i % 2 ? idleClient() : connect());
  ASSERT_TRUE(until([&] { return server->connections() == 20; }));
  server->lastAnswers();
  server->stopAccepting();
  for (const auto& client : clients) {
    ASSERT_TRUE(until([&] { return client->read(), client->ended; }));
    EXPECT_FALSE(client->reset);
  }
  EXPECT_TRUE(until([&] { return empty; }));
}

// The connection may have been in the backlog for long: if the disconnect follows the request, the client is
// gone.
TEST_F(ServerTest, RequestOfAClientThatDisconnectedBeforeItWasReadIsNotHandedOver) {
  start();
  for (const std::string& behind : {std::string(), kRequest, std::string("GET /re")}) {
    auto client = connect();
    client->send(kRequest + behind);
    client->socket.shutdown(tcp::socket::shutdown_send);
    while (!client->delivered()) std::this_thread::yield();  // includes the FIN
  }
  auto stays = connect();
  stays->send(kRequest);
  ASSERT_TRUE(until([&] { return !requests.empty() && server->connections() == 1; }));
  respond(0);
  ASSERT_TRUE(until([&] { return stays->read().find("served") != std::string::npos; }));
  EXPECT_EQ(requests.size(), 1u);
  EXPECT_TRUE(disconnected.empty());
}

// Nothing is read while a response is written, so a disconnect in that time is detected only afterwards: the
// pipelined requests must not be handed over then.
TEST_F(ServerTest, PipelinedRequestsAreNotHandedOverIfTheClientDisconnectsDuringAResponse) {
  for (const bool leaves : {true, false}) {
    SCOPED_TRACE(leaves);
    start();
    auto client = connect();
    client->send(kRequest + kRequest);
    ASSERT_TRUE(until([&] { return requests.size() == 1; }));
    respond(0, std::string(16 << 20, 'x'));  // exceeds the socket buffers, so writing is not finished
    if (leaves) client->socket.shutdown(tcp::socket::shutdown_send);
    while (!client->delivered()) std::this_thread::yield();
    ASSERT_TRUE(until([&] { return client->read().size() > 16u << 20; }));
    if (leaves) {
      ASSERT_TRUE(until([&] { return client->read(), client->ended; }));
    } else {
      ASSERT_TRUE(until([&] { return requests.size() == 2; }));
    }
    EXPECT_EQ(requests.size(), leaves ? 1u : 2u);
    EXPECT_TRUE(disconnected.empty()) << "the second request was not handed over";
  }
}

// A client disconnects after any byte of its request, or while its response is written: the disconnect is
// reported once at most, and the connection is closed.
TEST_F(ServerTest, ClientMayDisconnectAtAnyByteOfItsRequestOrResponse) {
  for (const bool reset : {true, false})
    for (std::size_t bytes = 0; bytes <= kRequest.size(); ++bytes) {
      SCOPED_TRACE(std::to_string(bytes) + (reset ? " reset" : " closed"));
      start();
      disconnected.clear();
      auto client = connect();
      if (bytes > 0) client->send(kRequest.substr(0, bytes));
      ASSERT_TRUE(until([&] { return server->connections() == 1; }));
      const bool whole = bytes == kRequest.size();
      if (whole) ASSERT_TRUE(until([&] { return requests.size() == 1; }));
      if (reset) client->socket.set_option(asio::socket_base::linger(true, 0));
      client->socket.close();
      ASSERT_TRUE(until([&] { return server->connections() == 0; }));
      EXPECT_EQ(disconnected.size(), whole ? 1u : 0u);
      if (whole) respond(0);  // has no effect, the client has disconnected
      EXPECT_EQ(requests.size(), whole ? 1u : 0u);
    }
  for (const std::size_t size : {std::size_t{1}, std::size_t{100}, std::size_t{16} << 20})
    for (const bool reset : {true, false}) {
      SCOPED_TRACE(std::to_string(size) + (reset ? " reset" : " closed"));
      start();
      disconnected.clear();
      auto client = connect();
      client->send(kRequest);
      ASSERT_TRUE(until([&] { return requests.size() == 1; }));
      respond(0, std::string(size, 'x'));
      if (reset) client->socket.set_option(asio::socket_base::linger(true, 0));
      client->socket.close();
      ASSERT_TRUE(until([&] { return server->connections() == 0; }));
      EXPECT_TRUE(disconnected.empty()) << "the request was answered";
    }
}

}  // namespace
}  // namespace cairnjunction::testing

// The server of clients' connections by itself, in a stop: what comes to a connection in the moment in which
// it is closed. The crossing is forced: the test's clients write, and the server is told to stop, between two
// turns of the event loop.
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

// A client that reads what comes, and writes at once.
struct RawClient {
  RawClient(asio::io_context& io, const tcp::endpoint& to) : socket(io) { socket.connect(to); }
  void send(const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }
  // What has come so far; `ended` once the server has closed.
  const std::string& read() {
    socket.non_blocking(true);
    std::array<char, 4096> piece;
    error_code ec;
    while (!ec) text.append(piece.data(), socket.read_some(asio::buffer(piece), ec));
    ended = ec != asio::error::would_block && ec != asio::error::try_again;
    reset = ended && ec != asio::error::eof;
    return text;
  }
  // All that was sent has come to the other side's system.
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
  HttpServer::Limits limits = lasting();
  std::vector<ClientRequest> requests;
  std::vector<ExchangeId> left;
  bool empty = false;
  std::unique_ptr<HttpServer> server;

  static HttpServer::Limits lasting() {  // nothing ends by its time
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
                              [this](ExchangeId exchange) { left.push_back(exchange); }});
    server->onEmpty = [this] { empty = true; };
  }
  std::unique_ptr<RawClient> connect() { return std::make_unique<RawClient>(io, server->listening()); }
  void answer(std::size_t n, const std::string& body = "served") {
    HttpResponse answer;
    answer.fromEndpoint = true;
    answer.body = body;
    server->respond(requests.at(n).exchange, std::move(answer));
  }
  // A client that was served once and rests.
  std::unique_ptr<RawClient> resting() {
    auto client = connect();
    const std::size_t before = requests.size();
    client->send(kRequest);
    EXPECT_TRUE(until([&] { return requests.size() == before + 1; }));
    answer(before, "first");
    EXPECT_TRUE(until([&] { return client->read().find("first") != std::string::npos; }));
    for (int i = 0; i < 20; ++i) io.poll();
    client->text.clear();
    requests.clear();
    return client;
  }
};

// A request crosses the stop, so many of its bytes before it and the others after: while a byte of it was
// there it is served, and for the last time; with none it was never taken, and the client sees the end.
TEST_F(ServerTest, ARequestThatCrossesTheStopIsServedOrNeverTaken) {
  for (const bool first : {true, false})
    for (std::size_t bytes = 0; bytes <= kRequest.size(); ++bytes) {
      SCOPED_TRACE(std::string(first ? "fresh " : "resting ") + std::to_string(bytes));
      start();
      auto client = first ? connect() : resting();
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
      answer(0);
      ASSERT_TRUE(until([&] { return client->read(), client->ended; }));
      EXPECT_NE(client->text.find("served"), std::string::npos);
      EXPECT_NE(client->text.find("Connection: close"), std::string::npos);
      EXPECT_FALSE(client->reset);
      client->socket.close();
      EXPECT_TRUE(until([&] { return empty; }));
    }
}

// Its answer, which says that the connection stays, is on its way when resting connections are closed.
TEST_F(ServerTest, AnAnswerThatIsOnItsWayInTheStopLeavesNoConnectionBehind) {
  for (const bool more : {false, true}) {
    SCOPED_TRACE(more);
    start();
    auto client = connect();
    client->send(kRequest);
    ASSERT_TRUE(until([&] { return requests.size() == 1; }));
    answer(0, std::string(16 << 20, 'x'));  // more than fits: it is being written
    server->lastAnswers();
    server->stopAccepting();
    EXPECT_EQ(server->connections(), 1u);
    if (more) client->send(kRequest);  // it relied on what it was told
    ASSERT_TRUE(until([&] { return client->read().size() > 16u << 20; }));
    EXPECT_EQ(client->text.find("Connection: close"), std::string::npos);
    if (more) {
      ASSERT_TRUE(until([&] { return requests.size() == 2; }));
      answer(1, "the second");
      ASSERT_TRUE(until([&] { return client->read().find("the second") != std::string::npos; }));
    }
    ASSERT_TRUE(until([&] { return client->read(), client->ended; }));
    EXPECT_FALSE(client->reset);
    client->socket.close();
    EXPECT_TRUE(until([&] { return empty; }));
  }
}

// Bytes that come behind the last answer are read out, so that it is not reset away, and never handed over:
// once the answer is given, and after the client has seen it; also before, where they are too many to be
// kept.
TEST_F(ServerTest, WhatComesBehindTheLastAnswerIsNeverHandedOver) {
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
        for (int i = 0; i < 100; ++i) io.poll();  // read, and dropped
      }
      answer(0);
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

// A request of which any byte came before the answer to the one ahead of it was taken: each is answered, and
// the last answer ends the connection. Read already or not, and whether or not resting connections are
// closed.
TEST_F(ServerTest, RequestsThatCameBeforeTheLastAnswerAreServedInAStop) {
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
        answer(0, "first");
        client->send(two.substr(bytes));
        ASSERT_TRUE(until([&] { return requests.size() == 2; }));
        answer(1, "second");
        // The third, if any of it had come by now.
        const bool third = bytes > kRequest.size();
        if (third) {
          ASSERT_TRUE(until([&] { return requests.size() == 3; }));
          answer(2, "third");
        }
        ASSERT_TRUE(until([&] { return client->read(), client->ended || requests.size() == 3; }));
        if (requests.size() == 3 && !third) answer(2, "third");
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

// A request's time counts from its last byte, also where it waits behind others on its connection.
TEST_F(ServerTest, ARequestThatWaitsBehindOthersCameWhenItsLastByteDid) {
  using Clock = std::chrono::steady_clock;
  const auto later = [&] {
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
    ASSERT_TRUE(later());
    const auto before = Clock::now();
    if (bytes < kRequest.size()) client->send(kRequest.substr(bytes));
    client->send(kRequest);
    ASSERT_TRUE(until([&] { return client->delivered(); }));
    for (int i = 0; i < 20; ++i) io.poll();
    const auto after = Clock::now();
    ASSERT_TRUE(later());
    answer(0);
    ASSERT_TRUE(until([&] { return requests.size() == 2; }));
    answer(1);
    ASSERT_TRUE(until([&] { return requests.size() == 3; }));
    EXPECT_EQ(requests[1].receivedAt >= before, bytes < kRequest.size());
    EXPECT_LE(requests[1].receivedAt, after);
    EXPECT_GE(requests[2].receivedAt, before);
    EXPECT_LE(requests[2].receivedAt, after);
  }
}

// More connections wait than the limit lets in, each with its request.
TEST_F(ServerTest, AllThatWaitsWhenTheListenerClosesIsTaken) {
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
  for (std::size_t i = 0; i < 40; ++i) answer(i);
  for (const auto& client : clients) {
    ASSERT_TRUE(until([&] { return client->read().find("served") != std::string::npos; }));
    client->socket.close();
  }
  server->stopAccepting();
  EXPECT_TRUE(until([&] { return empty; }));
}

TEST_F(ServerTest, ClientsThatRestUntilTheyAreEndedAreEnded) {
  start();
  std::vector<std::unique_ptr<RawClient>> clients;
  for (int i = 0; i < 20; ++i) clients.push_back(i % 2 ? resting() : connect());
  ASSERT_TRUE(until([&] { return server->connections() == 20; }));
  server->lastAnswers();
  server->stopAccepting();
  for (const auto& client : clients) {
    ASSERT_TRUE(until([&] { return client->read(), client->ended; }));
    EXPECT_FALSE(client->reset);
  }
  EXPECT_TRUE(until([&] { return empty; }));
}

// Its connection waited to be accepted, perhaps for long: with its end behind the request there is nobody.
TEST_F(ServerTest, ARequestWhoseClientLeftBeforeItWasReadIsNotHandedOver) {
  start();
  for (const std::string& behind : {std::string(), kRequest, std::string("GET /re")}) {
    auto client = connect();
    client->send(kRequest + behind);
    client->socket.shutdown(tcp::socket::shutdown_send);
    while (!client->delivered()) std::this_thread::yield();  // and its end
  }
  auto stays = connect();
  stays->send(kRequest);
  ASSERT_TRUE(until([&] { return !requests.empty() && server->connections() == 1; }));
  answer(0);
  ASSERT_TRUE(until([&] { return stays->read().find("served") != std::string::npos; }));
  EXPECT_EQ(requests.size(), 1u);
  EXPECT_TRUE(left.empty());
}

// While an answer is written nothing is read: what was pipelined behind its request is for nobody then.
TEST_F(ServerTest, PipelinedRequestsOfAClientThatLeftWhileItsAnswerWasWrittenAreNotHandedOver) {
  for (const bool leaves : {true, false}) {
    SCOPED_TRACE(leaves);
    start();
    auto client = connect();
    client->send(kRequest + kRequest);
    ASSERT_TRUE(until([&] { return requests.size() == 1; }));
    answer(0, std::string(16 << 20, 'x'));  // more than fits: it is being written
    if (leaves) client->socket.shutdown(tcp::socket::shutdown_send);
    while (!client->delivered()) std::this_thread::yield();
    ASSERT_TRUE(until([&] { return client->read().size() > 16u << 20; }));
    if (leaves) {
      ASSERT_TRUE(until([&] { return client->read(), client->ended; }));
    } else {
      ASSERT_TRUE(until([&] { return requests.size() == 2; }));
    }
    EXPECT_EQ(requests.size(), leaves ? 1u : 2u);
    EXPECT_TRUE(left.empty()) << "it was never taken";
  }
}

// A client that goes away at each byte of its request, or of its answer, is told once at most and leaves
// nothing behind.
TEST_F(ServerTest, AClientMayGoAtAnyByteOfItsRequestAndOfItsAnswer) {
  for (const bool reset : {true, false})
    for (std::size_t bytes = 0; bytes <= kRequest.size(); ++bytes) {
      SCOPED_TRACE(std::to_string(bytes) + (reset ? " reset" : " closed"));
      start();
      left.clear();
      auto client = connect();
      if (bytes > 0) client->send(kRequest.substr(0, bytes));
      ASSERT_TRUE(until([&] { return server->connections() == 1; }));
      const bool whole = bytes == kRequest.size();
      if (whole) ASSERT_TRUE(until([&] { return requests.size() == 1; }));
      if (reset) client->socket.set_option(asio::socket_base::linger(true, 0));
      client->socket.close();
      ASSERT_TRUE(until([&] { return server->connections() == 0; }));
      EXPECT_EQ(left.size(), whole ? 1u : 0u);
      if (whole) answer(0);  // of nobody any more
      EXPECT_EQ(requests.size(), whole ? 1u : 0u);
    }
  for (const std::size_t size : {std::size_t{1}, std::size_t{100}, std::size_t{16} << 20})
    for (const bool reset : {true, false}) {
      SCOPED_TRACE(std::to_string(size) + (reset ? " reset" : " closed"));
      start();
      left.clear();
      auto client = connect();
      client->send(kRequest);
      ASSERT_TRUE(until([&] { return requests.size() == 1; }));
      answer(0, std::string(size, 'x'));
      if (reset) client->socket.set_option(asio::socket_base::linger(true, 0));
      client->socket.close();
      ASSERT_TRUE(until([&] { return server->connections() == 0; }));
      EXPECT_TRUE(left.empty()) << "it had its answer";
    }
}

}  // namespace
}  // namespace cairnjunction::testing

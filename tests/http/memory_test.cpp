// What clients can make the HTTP server hold: the number of header fields, the memory shares, and who gives
// way when one is exceeded.
#include <gtest/gtest.h>

#include "http/server.hpp"
#include "raw_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxFields = 100;

class ServerMemoryTest : public LoopTest {
 protected:
  std::shared_ptr<MemoryAccount> memory = std::make_shared<MemoryAccount>();
  HttpServer::Limits limits;
  std::vector<ClientRequest> requests;
  std::vector<std::string> shed;
  std::unique_ptr<HttpServer> server;

  void start() {
    limits.slow = limits.idle = 600s;
    server = std::make_unique<HttpServer>(
        io, ListenOptions{loopback()}, limits,
        HttpServer::Callbacks{[this](ClientRequest request) { requests.push_back(std::move(request)); },
                              [](ExchangeId) {}},
        memory);
    server->onMemoryShed = [this](const std::string& line) { shed.push_back(line); };
  }
  std::shared_ptr<Client> client(const std::string& text) {
    auto connected = Client::connect(io, server->listening());
    connected->send(text);
    return connected;
  }
  unsigned statusOf(const std::string& text) {
    const auto asking = client(text);
    const std::size_t before = requests.size();
    EXPECT_TRUE(until([&] { return !asking->answers.empty() || requests.size() > before; }));
    return asking->answers.empty() ? 0 : asking->answers[0].result_int();
  }
  void respond(std::size_t index, const std::string& body) {
    HttpResponse response;
    response.body = body;
    server->respond(requests.at(index).exchange, std::move(response));
  }
  std::size_t requestBytes() const { return memory->held(MemoryOwner::clientRequests); }
  std::size_t responseBytes() const { return memory->held(MemoryOwner::clientResponses); }

  static std::string head(std::size_t fields, const std::string& field = "a:\r\n") {
    std::string text = "POST /write HTTP/1.1\r\n";
    for (std::size_t i = 0; i < fields; ++i) text += field;
    return text;
  }
  static std::string length(std::size_t bytes) {
    return "Content-Length: " + std::to_string(bytes) + "\r\n\r\n";
  }
};

TEST_F(ServerMemoryTest, AHeadMayHaveAHundredFieldsAndOneMoreIsRejectedWith431) {
  start();
  EXPECT_EQ(statusOf(head(kMaxFields - 1) + length(0)), 0u);
  EXPECT_EQ(statusOf(head(kMaxFields - 1, "b: " + std::string(150, 'x') + "\r\n") + length(0)), 0u);
  EXPECT_EQ(statusOf(head(1, "c: " + std::string(16'000, 'x') + "\r\n") + length(0)), 0u);
  EXPECT_EQ(requests.size(), 3u);
  EXPECT_EQ(statusOf(head(kMaxFields) + length(0)), 431u);
  EXPECT_EQ(statusOf(head(kMaxFields + 1)), 431u) << "at once, though the head is not whole";
  EXPECT_EQ(server->rejections(RequestError::tooManyFields), 2u);
}

TEST_F(ServerMemoryTest, TrailerFieldsAreBoundedAndNeverAdded) {
  start();
  const std::string body = "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
  const auto trailers = [](std::size_t fields) {
    std::string text;
    for (std::size_t i = 0; i < fields; ++i) text += "X-Request-Id: t\r\n";
    return text + "\r\n";
  };
  EXPECT_EQ(statusOf(head(1) + body + trailers(kMaxFields)), 0u);
  ASSERT_EQ(requests.size(), 1u);
  EXPECT_EQ(requests[0].message.count("X-Request-Id"), 0u);
  EXPECT_EQ(requests[0].message.body(), "ok");
  EXPECT_EQ(statusOf(head(1) + body + trailers(kMaxFields + 1)), 431u);
  EXPECT_EQ(statusOf(head(1) + body + "a: " + std::string(20'000, 'x')), 413u) << "and never end";
}

TEST_F(ServerMemoryTest, WhatIsHeldOfARequestIsChargedUntilItsOwnerLetsGo) {
  start();
  const auto sending = client(head(50) + length(100'000) + std::string(60'000, 'x'));
  ASSERT_TRUE(until([&] { return requestBytes() >= 60'000 + 50 * 64; }));
  EXPECT_LE(requestBytes(), 2 * 100'000u) << "no more than twice what has come, and what was announced";
  sending->send(std::string(40'000, 'x'));
  ASSERT_TRUE(until([&] { return requests.size() == 1; }));
  EXPECT_GE(requestBytes(), 100'000u) << "handed over, and still in memory";
  requests.clear();
  EXPECT_EQ(requestBytes(), 0u);
}

TEST_F(ServerMemoryTest, AnAnnouncedBodyCostsNothingUntilItComes) {
  start();
  const auto sending = client(head(1) + length(30 << 20));
  ASSERT_TRUE(until([&] { return requestBytes() > 0; }));
  EXPECT_LT(requestBytes(), 4096u);
}

TEST_F(ServerMemoryTest, StalledRequestsGiveWayToOneThatComesInAndSmallOnesAreServed) {
  limits.bodyBytes = 1 << 20;
  limits.connections = 16;  // so that requests below 32 KiB are small
  start();
  std::vector<std::shared_ptr<Client>> stalled;
  for (int i = 0; i < 3; ++i)
    stalled.push_back(client(head(1) + length(400'000) + std::string(300'000, 'x')));
  ASSERT_TRUE(until([&] { return requestBytes() > 900'000; }));
  EXPECT_EQ(statusOf(head(1) + length(300'000) + std::string(300'000, 'x')), 503u)
      << "as long as the others go on";
  EXPECT_EQ(statusOf(head(1) + length(1'000) + std::string(1'000, 'x')), 0u);
  const auto later = std::chrono::steady_clock::now() + 400ms;
  ASSERT_TRUE(until([&] { return std::chrono::steady_clock::now() > later; }));
  EXPECT_EQ(statusOf(head(1) + length(300'000) + std::string(300'000, 'x')), 0u);
  EXPECT_EQ(shed.size(), 1u) << "no more than has to";
  EXPECT_TRUE(until([&] { return stalled[0]->answers.size() == 1; })) << "the one that has waited longest";
  EXPECT_EQ(stalled[0]->answers[0].result_int(), 503u);
}

TEST_F(ServerMemoryTest, UnreadResponsesGiveWayWhenTheirShareIsExceeded) {
  limits.responseBytes = 10 << 20;
  start();
  std::vector<std::unique_ptr<tcp::socket>> unread;
  for (std::size_t i = 0; i < 3; ++i) {
    unread.push_back(std::make_unique<tcp::socket>(io));
    unread.back()->connect(server->listening());
    asio::write(*unread.back(), asio::buffer(head(1) + length(0)));
    ASSERT_TRUE(until([&] { return requests.size() == i + 1; }));
  }
  for (std::size_t i = 0; i < 3; ++i) respond(i, std::string(8 << 20, 'x'));
  EXPECT_TRUE(until([&] { return responseBytes() <= 2 * limits.responseBytes; }));
  EXPECT_GE(server->closes(HttpCloseReason::outOfMemory), 1u);
  EXPECT_FALSE(shed.empty());
  EXPECT_GE(server->connections(), 1u) << "no more than has to";
}

TEST_F(ServerMemoryTest, AnIdleConnectionHoldsNothing) {
  start();
  const auto asking = client(head(1) + length(10'000) + std::string(10'000, 'x'));
  ASSERT_TRUE(until([&] { return requests.size() == 1; }));
  respond(0, std::string(30'000, 'x'));
  requests.clear();
  ASSERT_TRUE(until([&] { return asking->answers.size() == 1; }));
  EXPECT_TRUE(until([&] { return memory->total() == 0; }));
}

}  // namespace
}  // namespace cairnjunction::testing

// A call to a scripted discovery on loopback: each possible result, and the state of the connection
// afterwards.
#include "discovery/endpoint_list_call.hpp"

#include <gtest/gtest.h>

#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;

std::optional<EndpointListFailure> failureOf(const EndpointListResult& result) {
  const auto* failure = std::get_if<EndpointListFailure>(&result);
  return failure ? std::optional(*failure) : std::nullopt;
}

class EndpointListCallTest : public LoopTest {
 public:
  std::function<void(PeerConnection&)> onRequest = [](PeerConnection&) {};
  std::vector<std::string> targets;
  Peer server{io, [this](PeerConnection& connection) {
                targets.push_back(connection.request.target().to_string());
                onRequest(connection);
              }};
  std::shared_ptr<EndpointListCall> call = std::make_shared<EndpointListCall>(io, server.endpoint);
  std::optional<EndpointListResult> result;

  void start(std::chrono::milliseconds callTimeout = 60s) {
    result.reset();
    call->start("/discovery/hosts", 60s, callTimeout,
                [this](const EndpointListResult& received) { result = received; });
    EXPECT_FALSE(result) << "the callback must not be called from within start()";
  }
  EndpointListResult run(std::chrono::milliseconds callTimeout = 60s) {
    start(callTimeout);
    EXPECT_TRUE(until([this] { return result.has_value(); }));
    return result.value_or(EndpointListFailure::timedOut);
  }
  static std::string listAnswer() { return answerText(200, "", R"({"rev":3,"targets":[]})"); }
};

TEST_F(EndpointListCallTest, ReturnsAListAndKeepsTheConnectionOpen) {
  onRequest = [](PeerConnection& connection) { connection.reply(listAnswer()); };
  for (int i = 0; i < 2; ++i) {
    const EndpointListResult ended = run();
    ASSERT_TRUE(std::holds_alternative<EndpointList>(ended));
    EXPECT_EQ(std::get<EndpointList>(ended).version, 3);
    EXPECT_TRUE(call->reusable());
  }
  EXPECT_EQ(targets, (std::vector<std::string>{"/discovery/hosts", "/discovery/hosts"}));
  EXPECT_EQ(server.connections.size(), 1u);
}

// Otherwise each list would be the answer to the call before, from then on.
TEST_F(EndpointListCallTest, SecondAnswerIsNotTakenForTheNextCalls) {
  for (const bool inOneWrite : {true, false}) {
    SCOPED_TRACE(inOneWrite);
    int version = 0;
    onRequest = [&](PeerConnection& connection) {
      ++version;
      const std::string list = R"({"rev":)" + std::to_string(version) + R"(,"targets":[]})";
      const std::string text = answerText(200, "", list);
      connection.reply(version == 1 && inOneWrite ? text + text : text);
    };
    run();
    if (!inOneWrite) {
      server.connections.back()->reply(answerText(200, "", R"({"rev":1,"targets":[]})"));
      io.restart();
      io.run_for(50ms);  // until it has arrived, which nothing tells
    }
    const EndpointListResult next = run();
    ASSERT_TRUE(std::holds_alternative<EndpointList>(next));
    EXPECT_EQ(std::get<EndpointList>(next).version, 2);
  }
}

TEST_F(EndpointListCallTest, ClosesTheConnectionIfTheServerRequestsIt) {
  onRequest = [](PeerConnection& connection) {
    connection.reply(answerText(200, "Connection: close\r\n", R"({"rev":3,"targets":[]})"));
  };
  EXPECT_TRUE(std::holds_alternative<EndpointList>(run()));
  EXPECT_FALSE(call->reusable());
}

TEST_F(EndpointListCallTest, DistinguishesTheKindsOfFailure) {
  struct Case {
    const char* name;
    std::function<void(PeerConnection&)> onRequest;
    EndpointListFailure expected;
  };
  const std::vector<Case> cases = {
      {"503", [](PeerConnection& connection) { connection.reply(answerText(503, "", "")); },
       EndpointListFailure::rejected},
      {"reset", [](PeerConnection& connection) { connection.reset(); },
       EndpointListFailure::connectionFailed},
      {"closed", [](PeerConnection& connection) { connection.close(); },
       EndpointListFailure::connectionFailed},
      {"incomplete answer",
       [](PeerConnection& connection) {
         connection.reply("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{", true);
       },
       EndpointListFailure::connectionFailed},
      {"not HTTP", [](PeerConnection& connection) { connection.reply("no answer at all\r\n\r\n"); },
       EndpointListFailure::malformed},
      {"not JSON", [](PeerConnection& connection) { connection.reply(answerText(200, "", "{")); },
       EndpointListFailure::malformed},
      {"not a list",
       [](PeerConnection& connection) { connection.reply(answerText(200, "", "{\"rev\":\"x\"}")); },
       EndpointListFailure::malformed},
  };
  for (const Case& entry : cases) {
    SCOPED_TRACE(entry.name);
    onRequest = entry.onRequest;
    EXPECT_EQ(failureOf(run()), entry.expected);
    EXPECT_FALSE(call->reusable());
  }
}

TEST_F(EndpointListCallTest, TimesOutWithoutAnAnswer) {
  EXPECT_EQ(failureOf(run(20ms)), EndpointListFailure::timedOut);
  EXPECT_FALSE(call->reusable());
}

// A long list over a slow connection would otherwise never arrive, at whichever call.
TEST_F(EndpointListCallTest, ListThatIsComingWhenTheTimeIsOverIsTaken) {
  const std::string answer = listAnswer();
  onRequest = [&](PeerConnection& connection) { connection.reply(answer.substr(0, 3)); };
  start(50ms);
  const auto begun = std::chrono::steady_clock::now();
  for (std::size_t sent = 3; sent < answer.size(); sent += 20) {
    const auto next = begun + sent * 3ms;
    ASSERT_TRUE(until([&] { return std::chrono::steady_clock::now() > next; }));
    ASSERT_FALSE(result);
    server.connections.front()->reply(answer.substr(sent, 20));
  }
  ASSERT_TRUE(until([this] { return result.has_value(); }));
  EXPECT_TRUE(std::holds_alternative<EndpointList>(*result));
  EXPECT_GT(std::chrono::steady_clock::now(), begun + 100ms);
}

TEST_F(EndpointListCallTest, ListThatStopsComingTimesOut) {
  onRequest = [](PeerConnection& connection) { connection.reply(listAnswer().substr(0, 40)); };
  EXPECT_EQ(failureOf(run(50ms)), EndpointListFailure::timedOut);
}

TEST_F(EndpointListCallTest, RefusedConnectionIsAConnectionFailure) {
  const ReservedPort nobody(io);
  call = std::make_shared<EndpointListCall>(io, nobody.endpoint);
  EXPECT_EQ(failureOf(run()), EndpointListFailure::connectionFailed);
}

// A call is cancelled while the server sends its answer, and the last pointer to it is released. Its callback
// is not called, and the connection is closed.
TEST_F(EndpointListCallTest, CancelledCallReturnsNoResult) {
  bool answered = false;
  onRequest = [&](PeerConnection& connection) {
    connection.reply(listAnswer());
    call->cancel();
    call.reset();
    answered = true;
  };
  start();
  ASSERT_TRUE(until([&] { return answered && server.connections.front()->closedByPeer; }));
  EXPECT_FALSE(result);
}

}  // namespace
}  // namespace cairnjunction::testing

// A watch on a scripted discovery on loopback: its states, the requests it sends, and when it becomes
// overdue.
#include "discovery/endpoint_watch.hpp"

#include <gtest/gtest.h>

#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using State = EndpointWatch::State;

class EndpointWatchTest : public LoopTest {
 public:
  struct Answer {
    CallKind kind;
    EndpointWatch::Connection connection;
    EndpointListResult result;
    State state;  // of the watch, in the callback
  };

  std::vector<std::string> targets;
  std::vector<std::shared_ptr<PeerConnection>> requests;
  Peer server{io, [this](PeerConnection& connection) {
                targets.push_back(connection.request.target().to_string());
                requests.push_back(connection.shared_from_this());
              }};
  DiscoveryTimeouts timeouts = longTimeouts();
  RandomDuration random{1};
  std::vector<Answer> answers;
  std::vector<State> overdueStates;  // of the watch, in each overdue callback
  std::unique_ptr<EndpointWatch> watch = std::make_unique<EndpointWatch>(
      io, timeouts, random,
      EndpointWatch::Callbacks{
          [this](const EndpointWatch::Answer& answer) {
            answers.push_back({answer.kind, answer.connection, answer.result, watch->state()});
          },
          [this] { overdueStates.push_back(watch->state()); }});

  static DiscoveryTimeouts longTimeouts() {
    DiscoveryTimeouts timeouts;
    timeouts.watchMin = timeouts.watchMax = 60s;
    timeouts.connect = timeouts.response = 60s;
    return timeouts;
  }
  ::testing::AssertionResult waitForRequests(std::size_t count) {
    return until([this, count] { return requests.size() >= count; });
  }
  ::testing::AssertionResult waitForAnswers(std::size_t count) {
    return until([this, count] { return answers.size() >= count; });
  }
  static std::string list(int version) {
    return answerText(200, "", json{{"rev", version}, {"targets", json::array()}}.dump());
  }
};

TEST_F(EndpointWatchTest, OpensWithARequestForTheChangesOrTheFullList) {
  EXPECT_EQ(watch->state(), State::off);
  watch->open(server.endpoint, 4);
  EXPECT_EQ(watch->state(), State::opening);
  ASSERT_TRUE(waitForRequests(1));
  watch->open(server.endpoint, std::nullopt);
  ASSERT_TRUE(waitForRequests(2));
  EXPECT_EQ(targets[0], "/discovery/hosts?since=4&timeout_ms=1");
  EXPECT_EQ(targets[1], "/discovery/hosts");
  EXPECT_TRUE(until([this] { return requests[0]->closedByPeer; })) << "opening again ends the first watch";
  EXPECT_TRUE(answers.empty());
}

TEST_F(EndpointWatchTest, EndsWithItsAnswerAndResumesOnTheSameConnection) {
  watch->open(server.endpoint, 4);
  ASSERT_TRUE(waitForRequests(1));
  requests[0]->reply(list(5));
  ASSERT_TRUE(waitForAnswers(1));
  EXPECT_EQ(answers[0].kind, CallKind::changesNow);
  EXPECT_EQ(answers[0].state, State::off);
  ASSERT_TRUE(std::holds_alternative<EndpointList>(answers[0].result));
  watch->resume(answers[0].connection, server.endpoint, 5);
  EXPECT_EQ(watch->state(), State::waiting);
  ASSERT_TRUE(waitForRequests(2));
  EXPECT_EQ(targets[1], "/discovery/hosts?since=5&timeout_ms=60000");
  EXPECT_EQ(requests[1], requests[0]);
}

// Discovery closes the connection after an answer. The watch resumes on a new connection.
TEST_F(EndpointWatchTest, ResumesOnANewConnectionIfTheOldOneIsClosed) {
  watch->open(server.endpoint, 4);
  ASSERT_TRUE(waitForRequests(1));
  requests[0]->reply(answerText(200, "Connection: close\r\n", R"({"rev":5,"targets":[]})"), true);
  ASSERT_TRUE(waitForAnswers(1));
  watch->resume(answers[0].connection, server.endpoint, 5);
  ASSERT_TRUE(waitForRequests(2));
  EXPECT_NE(requests[1], requests[0]);
}

// A long poll is unanswered after its wait, so the watch becomes overdue once. The long poll is answered
// later.
TEST_F(EndpointWatchTest, OverdueLongPollMayStillBeAnswered) {
  timeouts.watchMin = timeouts.watchMax = 10ms;
  timeouts.watchGrace = 10ms;
  timeouts.staleWatchLinger = 60s;
  watch->resume(nullptr, server.endpoint, 5);
  ASSERT_TRUE(waitForRequests(1));
  ASSERT_TRUE(until([this] { return !overdueStates.empty(); }));
  EXPECT_EQ(overdueStates, std::vector<State>{State::overdue});
  requests[0]->reply(list(6));
  ASSERT_TRUE(waitForAnswers(1));
  EXPECT_EQ(answers[0].kind, CallKind::longPoll);
  EXPECT_EQ(watch->state(), State::off);
}

TEST_F(EndpointWatchTest, OverdueLongPollTimesOut) {
  timeouts.watchMin = timeouts.watchMax = 10ms;
  timeouts.watchGrace = 10ms;
  timeouts.staleWatchLinger = 60ms;
  watch->resume(nullptr, server.endpoint, 5);
  ASSERT_TRUE(waitForAnswers(1));
  EXPECT_EQ(overdueStates.size(), 1u);
  ASSERT_TRUE(std::holds_alternative<EndpointListFailure>(answers[0].result));
  EXPECT_EQ(std::get<EndpointListFailure>(answers[0].result), EndpointListFailure::timedOut);
}

TEST_F(EndpointWatchTest, StoppedWatchIsNeitherAnsweredNorOverdue) {
  timeouts.watchMin = timeouts.watchMax = 10ms;
  timeouts.watchGrace = 10ms;
  watch->resume(nullptr, server.endpoint, 5);
  ASSERT_TRUE(waitForRequests(1));
  requests[0]->reply(list(6));
  watch->stop();
  EXPECT_EQ(watch->state(), State::off);
  ASSERT_TRUE(until([this] { return requests[0]->closedByPeer; }));
  asio::steady_timer timer(io, 60ms);  // three times as long as a watch takes to become overdue
  bool elapsed = false;
  timer.async_wait([&](error_code) { elapsed = true; });
  ASSERT_TRUE(until([&] { return elapsed; }));
  EXPECT_TRUE(answers.empty());
  EXPECT_TRUE(overdueStates.empty());
}

}  // namespace
}  // namespace cairnjunction::testing

// A retried call to a scripted discovery on loopback: its states, its connection, its backoff.
#include "discovery/retrying_call.hpp"

#include <gtest/gtest.h>

#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using State = RetryingCall::State;

class RetryingCallTest : public LoopTest {
 public:
  std::function<void(std::size_t, PeerConnection&)> onRequest = [](std::size_t, PeerConnection&) {};
  std::vector<std::shared_ptr<PeerConnection>> requests;
  Peer server{io, [this](PeerConnection& connection) {
                requests.push_back(connection.shared_from_this());
                onRequest(requests.size() - 1, connection);
              }};
  DiscoveryTimeouts timeouts = shortBackoff();
  RandomDuration random{1};
  RetryingCall call{io, timeouts, random};
  std::vector<State> states;  // of the call, in the callback of each attempt
  std::optional<EndpointList> list;

  static DiscoveryTimeouts shortBackoff() {
    DiscoveryTimeouts timeouts;
    timeouts.connect = timeouts.response = 60s;
    timeouts.retryInitialBackoff = timeouts.retryMaxBackoff = 1ms;
    return timeouts;
  }
  // Sends attempts until one returns a list.
  void send() {
    call.send(server.endpoint, fullListRequest(timeouts), [this](const EndpointListResult& result) {
      states.push_back(call.state());
      if (const auto* received = std::get_if<EndpointList>(&result)) list = *received;
      else call.retryAfterBackoff([this] { send(); });
    });
  }
  static std::string listAnswer() { return answerText(200, "", R"({"rev":3,"all":true,"targets":[]})"); }
};

TEST_F(RetryingCallTest, RetriesOnNewConnectionsUntilItIsAnswered) {
  onRequest = [](std::size_t number, PeerConnection& connection) {
    connection.reply(number < 3 ? answerText(503, "", "") : listAnswer());
  };
  EXPECT_EQ(call.state(), State::idle);
  send();
  EXPECT_EQ(call.state(), State::pending);
  ASSERT_TRUE(until([this] { return list.has_value(); }));
  EXPECT_EQ(requests.size(), 4u);
  EXPECT_EQ(server.connections.size(), 4u);
  EXPECT_EQ(states, std::vector<State>(4, State::idle));
  EXPECT_EQ(call.state(), State::idle);
}

TEST_F(RetryingCallTest, ConnectionCanBeReleasedAfterAnAnswer) {
  onRequest = [](std::size_t, PeerConnection& connection) { connection.reply(listAnswer()); };
  send();
  ASSERT_TRUE(until([this] { return list.has_value(); }));
  const auto connection = call.releaseConnection();
  ASSERT_NE(connection, nullptr);
  call.cancel();
  EXPECT_TRUE(connection->reusable());
  EXPECT_EQ(call.releaseConnection(), nullptr);
}

// The call is cancelled once while an attempt is pending and once during the backoff. Nothing more is sent,
// and the call can be started again.
TEST_F(RetryingCallTest, CancelDuringAnAttemptOrTheBackoffSendsNothingMore) {
  send();
  ASSERT_TRUE(until([this] { return requests.size() == 1; }));
  call.cancel();
  EXPECT_EQ(call.state(), State::idle);
  ASSERT_TRUE(until([this] { return requests[0]->closedByPeer; }));

  onRequest = [](std::size_t, PeerConnection& connection) { connection.reply(answerText(503, "", "")); };
  send();
  ASSERT_TRUE(until([this] { return call.state() == State::backingOff; }));
  const std::size_t sent = requests.size();
  call.cancel();
  EXPECT_EQ(call.state(), State::idle);
  asio::steady_timer timer(io, 30ms);  // far longer than the backoff
  bool elapsed = false;
  timer.async_wait([&](error_code) { elapsed = true; });
  ASSERT_TRUE(until([&] { return elapsed; }));
  EXPECT_EQ(requests.size(), sent);
  EXPECT_EQ(states.size(), 1u) << "cancelling the first attempt does not call its callback";

  onRequest = [](std::size_t, PeerConnection& connection) { connection.reply(listAnswer()); };
  send();
  EXPECT_TRUE(until([this] { return list.has_value(); }));
}

}  // namespace
}  // namespace cairnjunction::testing

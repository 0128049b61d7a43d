// The discovery client against scripted servers on loopback: watches that break without an error, attempts
// that fail in each way, moves to another server, and agents that push lists. Calls are numbered from 0 in
// the order in which the server reads them: call 0 opens the watch, and call 1 is its first long poll.
#include "discovery/discovery_client.hpp"

#include <gtest/gtest.h>

#include <set>

#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;

std::string listText(std::int64_t version, bool full, const std::vector<std::string>& uids = {}) {
  json targets = json::array();
  for (const std::string& uid : uids) targets.push_back(target(uid, loopback(9)));
  return answerText(200, "", json{{"rev", version}, {"all", full}, {"targets", targets}}.dump());
}

struct DiscoveryCall {
  std::shared_ptr<PeerConnection> connection;
  std::string target;
  bool targetContains(const std::string& text) const { return target.find(text) != std::string::npos; }
};

class DiscoveryClientTest : public LoopTest {
 public:
  std::vector<DiscoveryCall> calls;
  std::function<void(std::size_t, PeerConnection&)> onCall = [](std::size_t, PeerConnection&) {};
  // Each start() uses a new server, so that late calls of one run are not counted in the next.
  std::vector<std::unique_ptr<Peer>> peers;
  DiscoveryClient::Timeouts timeouts = shortTimeouts();
  DiscoveryClient::ListSource source = DiscoveryClient::ListSource::polled;
  std::unique_ptr<DiscoveryClient> client;
  std::vector<EndpointList> lists;
  int watchFailures = 0, refreshFailures = 0, retryFailures = 0;

  // Long polls become overdue after 40 ms, and no other call times out unless a test shortens its timeout.
  static DiscoveryClient::Timeouts shortTimeouts() {
    DiscoveryClient::Timeouts timeouts;
    timeouts.watchMin = timeouts.watchMax = 30ms;
    timeouts.watchGrace = 10ms;
    timeouts.staleWatchLinger = timeouts.response = timeouts.connect = 60s;
    timeouts.retryInitialBackoff = 1ms;
    timeouts.retryMaxBackoff = 4ms;
    return timeouts;
  }
  void start(std::optional<std::int64_t> version = 1) {
    if (client) client->stop();
    calls.clear();
    lists.clear();
    watchFailures = refreshFailures = retryFailures = 0;
    peers.push_back(
        std::make_unique<Peer>(io, [this, serverIndex = peers.size()](PeerConnection& connection) {
          if (serverIndex + 1 != peers.size()) return;
          calls.push_back({connection.shared_from_this(), connection.request.target().to_string()});
          onCall(calls.size() - 1, connection);
        }));
    client = std::make_unique<DiscoveryClient>(
        io, peers.back()->endpoint,
        DiscoveryClient::Callbacks{[this](const EndpointList& list) { lists.push_back(list); },
                                   [this] { ++watchFailures; }, [this] { ++refreshFailures; },
                                   [this] { ++retryFailures; }},
        timeouts, source);
    if (version) client->setKnownVersion(*version);
    client->watch();
  }
  ::testing::AssertionResult waitForCalls(std::size_t count) {
    return until([this, count] { return calls.size() >= count; });
  }
  std::set<std::string> receivedUids() const {
    std::set<std::string> uids;
    for (const EndpointList& list : lists)
      for (const DiscoveredEndpoint& endpoint : list.endpoints) uids.insert(endpoint.uid);
    return uids;
  }
};

// The ways in which a call fails with an error.
const std::vector<std::pair<std::string, std::function<void(PeerConnection&)>>> kFailures = {
    {"rejected", [](PeerConnection& connection) { connection.reply(answerText(503, "", "")); }},
    {"rejected, closed",
     [](PeerConnection& connection) {
       connection.reply(answerText(503, "Connection: close\r\n", ""), true);
     }},
    {"reset", [](PeerConnection& connection) { connection.reset(); }},
    {"closed", [](PeerConnection& connection) { connection.close(); }},
    {"incomplete answer, then reset",
     [](PeerConnection& connection) {
       connection.replyThenReset("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"rev\"");
     }},
    {"not HTTP", [](PeerConnection& connection) { connection.reply("no answer at all\r\n\r\n"); }},
    {"malformed list",
     [](PeerConnection& connection) { connection.reply(answerText(200, "", "{\"rev\":\"x\"}")); }}};

// --- A watch that breaks without an error ---------------------------------------------------------------

// A long poll stays unanswered after its wait. The client requests the changes since its version on a second
// connection, and continues the watch there once that call is answered.
TEST_F(DiscoveryClientTest, ReplacesAnUnresponsiveWatchByAResyncFromTheCurrentVersion) {
  onCall = [](std::size_t call, PeerConnection& connection) {
    if (call == 0) connection.reply(listText(1, false));
    if (call == 2) connection.reply(listText(2, false, {"s-2"}));
  };
  start();
  ASSERT_TRUE(waitForCalls(4));
  EXPECT_TRUE(calls[0].targetContains("since=1&timeout_ms=1")) << "the first call of a watch";
  EXPECT_TRUE(calls[1].targetContains("since=1&timeout_ms=30")) << "the long poll, which is never answered";
  EXPECT_TRUE(calls[2].targetContains("since=1&timeout_ms=1"));
  EXPECT_FALSE(calls[2].targetContains("timeout_ms=30"));
  EXPECT_NE(calls[2].connection, calls[1].connection)
      << "sent in parallel to the watch, which may still be answered";
  EXPECT_EQ(calls[3].connection, calls[2].connection)
      << "the watch continues on the connection of the resync";
  EXPECT_TRUE(calls[3].targetContains("since=2&timeout_ms=30"));
  EXPECT_TRUE(until([&] { return calls[1].connection->closedByPeer; }));
  EXPECT_EQ(receivedUids(), std::set<std::string>{"s-2"});
  EXPECT_EQ(watchFailures, 0);
}

// One to six attempts of a resync fail, in each way, before one is answered. The client retries without its
// caller.
TEST_F(DiscoveryClientTest, ResyncIsRetriedUntilItIsAnswered) {
  for (const auto& [name, fail] : kFailures)
    for (std::size_t failing = 1; failing <= 6; ++failing) {
      SCOPED_TRACE(name + " " + std::to_string(failing));
      onCall = [&, broken = fail](std::size_t call, PeerConnection& connection) {
        if (call == 0) connection.reply(listText(1, false));
        else if (call >= 2 && call < 2 + failing) broken(connection);
        else if (call == 2 + failing) connection.reply(listText(2, false, {"s-2"}));
      };
      start();
      ASSERT_TRUE(waitForCalls(3 + failing));
      ASSERT_TRUE(until([&] { return !receivedUids().empty(); }));
      EXPECT_FALSE(client->stale());
      EXPECT_EQ(retryFailures, static_cast<int>(failing));
      EXPECT_EQ(watchFailures, 0) << "the client retries without its caller";
    }
}

// Discovery answers neither the watch nor four attempts of the resync. Each attempt times out, the old watch
// times out too, and the list is stale until the fifth attempt is answered.
TEST_F(DiscoveryClientTest, ListIsStaleUntilAResyncAttemptIsAnswered) {
  timeouts.response = 20ms;
  timeouts.staleWatchLinger = 20ms;
  bool stale = true;
  onCall = [&](std::size_t call, PeerConnection& connection) {
    if (call == 0) connection.reply(listText(1, false));
    if (call >= 2) stale = stale && client->stale();
    if (call == 6) connection.reply(listText(2, false, {"s-2"}));
  };
  start();
  ASSERT_TRUE(until([&] { return !receivedUids().empty(); }));
  EXPECT_TRUE(stale);
  EXPECT_FALSE(client->stale());
  EXPECT_EQ(watchFailures, 0) << "even after the old watch has timed out";
}

// The overdue long poll is answered while the resync is pending. The watch continues on its own connection,
// and the resync is cancelled.
TEST_F(DiscoveryClientTest, LateAnswerOfTheWatchCancelsTheResync) {
  onCall = [&](std::size_t call, PeerConnection& connection) {
    if (call == 0) connection.reply(listText(1, false));
    if (call == 2)
      calls[1].connection->reply(listText(2, false, {"s-2"}));  // while the server reads the resync
  };
  start();
  ASSERT_TRUE(waitForCalls(4));
  EXPECT_EQ(calls[3].connection, calls[1].connection) << "the watch continues on its connection";
  EXPECT_TRUE(calls[3].targetContains("since=2&"));
  EXPECT_TRUE(until([&] { return calls[2].connection->closedByPeer; })) << "the resync is cancelled";
  EXPECT_EQ(lists.size(), 2u);
}

// The resync and the overdue long poll are answered at the same moment, with different versions.
TEST_F(DiscoveryClientTest, SimultaneousAnswersOfWatchAndResyncNeverDecreaseTheVersion) {
  onCall = [&](std::size_t call, PeerConnection& connection) {
    if (call == 0) connection.reply(listText(1, false));
    if (call != 2) return;
    connection.reply(listText(3, false, {"s-3"}));
    calls[1].connection->reply(listText(2, false, {"s-2"}));
  };
  start();
  ASSERT_TRUE(waitForCalls(4));
  // The system decides which answer is read first. The watch continues from the version of that one, and no
  // older change is delivered after a newer one.
  EXPECT_TRUE(calls[3].connection == calls[2].connection ? calls[3].targetContains("since=3&")
                                                         : calls[3].targetContains("since=2&"));
  for (std::size_t i = 1; i < lists.size(); ++i) EXPECT_GE(lists[i].version, lists[i - 1].version);
}

// The overdue long poll fails, in each way, while the resync is pending. The resync continues and is
// answered.
TEST_F(DiscoveryClientTest, ResyncContinuesWhenTheOverdueWatchFails) {
  for (const auto& [name, fail] : kFailures) {
    SCOPED_TRACE(name);
    onCall = [&, broken = fail](std::size_t call, PeerConnection& connection) {
      if (call == 0) connection.reply(listText(1, false));
      if (call == 2) broken(*calls[1].connection);
    };
    start();
    ASSERT_TRUE(waitForCalls(3));
    // The old watch has ended before the resync is answered.
    ASSERT_TRUE(until([&] { return calls[1].connection->closedByPeer || !calls[1].connection->open; }));
    calls[2].connection->reply(listText(2, false, {"s-2"}));
    ASSERT_TRUE(waitForCalls(4));
    EXPECT_EQ(receivedUids(), std::set<std::string>{"s-2"});
    EXPECT_EQ(watchFailures, 0);
  }
}

// The server sends part of an answer to the long poll and then stops, so the watch is overdue as if nothing
// had been sent, and a resync replaces it.
TEST_F(DiscoveryClientTest, IncompleteAnswerMakesTheWatchOverdue) {
  const std::string whole = listText(2, false, {"s-2"});
  for (const std::size_t bytes : {std::size_t{1}, std::size_t{17}, whole.size() / 2, whole.size() - 1}) {
    SCOPED_TRACE(bytes);
    onCall = [&](std::size_t call, PeerConnection& connection) {
      if (call == 0) connection.reply(listText(1, false));
      if (call == 1) connection.reply(whole.substr(0, bytes));
      if (call == 2) connection.reply(whole);
    };
    start();
    ASSERT_TRUE(waitForCalls(4));
    EXPECT_EQ(receivedUids(), std::set<std::string>{"s-2"});
  }
}

// The server's backlog is full, so connecting to it times out. Once it accepts connections the list arrives.
TEST_F(DiscoveryClientTest, ConnectTimeoutIsRetried) {
  // The backlog has capacity for one connection that is not accepted. Further ones get no response at all.
  tcp::acceptor full(io);
  full.open(tcp::v4());
  full.bind(loopback());
  full.listen(0);
  tcp::socket filler(io);
  filler.connect(full.local_endpoint());
  timeouts.connect = 20ms;
  client = std::make_unique<DiscoveryClient>(
      io, full.local_endpoint(),
      DiscoveryClient::Callbacks{[this](const EndpointList& list) { lists.push_back(list); },
                                 [this] { ++watchFailures; }, [] {}, [this] { ++retryFailures; }},
      timeouts);
  client->setKnownVersion(1);
  client->watch();
  ASSERT_TRUE(until([&] { return retryFailures >= 3; }));
  EXPECT_EQ(watchFailures, 0);
  std::vector<std::shared_ptr<PeerConnection>> accepted;
  std::function<void()> accept = [&] {
    full.async_accept([&](error_code ec, tcp::socket socket) {
      if (ec) return;
      accepted.push_back(std::make_shared<PeerConnection>(std::move(socket), [&](PeerConnection& connection) {
        connection.reply(listText(2, false, {"s-2"}));
      }));
      accepted.back()->read();
      accept();
    });
  };
  accept();
  EXPECT_TRUE(until([&] { return receivedUids().size() == 1; }));
  full.close();
}

// Sixty consecutive long polls have different waits, so that gateways that start together do not stay in
// step.
TEST_F(DiscoveryClientTest, WaitOfEachLongPollIsRandomBetweenItsBounds) {
  timeouts.watchMin = 1000ms;
  timeouts.watchMax = 2000ms;
  onCall = [](std::size_t, PeerConnection& connection) { connection.reply(listText(1, false)); };
  start();
  ASSERT_TRUE(waitForCalls(60));
  std::set<int> drawn;
  for (std::size_t i = 1; i < 60; ++i)
    drawn.insert(std::stoi(calls[i].target.substr(calls[i].target.find("timeout_ms=") + 11)));
  EXPECT_GE(*drawn.begin(), 1000);
  EXPECT_LE(*drawn.rbegin(), 2000);
  EXPECT_GT(drawn.size(), 10u) << "gateways that start together must not stay in step";
}

// --- A watch that fails with an error -------------------------------------------------------------------

// The watch fails with an error, in each way and at each of its first calls. The caller is notified, and
// nothing is sent until it calls watch().
TEST_F(DiscoveryClientTest, FailedWatchIsRestartedOnlyByTheCaller) {
  for (const auto& [name, fail] : kFailures)
    for (std::size_t at = 0; at < 3; ++at) {
      SCOPED_TRACE(name + " at call " + std::to_string(at));
      timeouts.watchMin = timeouts.watchMax = 60s;
      onCall = [&, broken = fail](std::size_t call, PeerConnection& connection) {
        if (call == at) broken(connection);
        else if (call < at) connection.reply(listText(1, false));
      };
      start();
      ASSERT_TRUE(until([&] { return watchFailures == 1; }));
      EXPECT_EQ(calls.size(), at + 1) << "nothing is sent before watch() is called";
      client->watch();
      EXPECT_TRUE(waitForCalls(at + 2));
    }
}

// Discovery is set up again and counts versions from the start, so its changes do not apply to the current
// list. The client drops them and requests the full list.
TEST_F(DiscoveryClientTest, ChangesOfALowerVersionAreDroppedAndTheFullListIsRequested) {
  onCall = [](std::size_t call, PeerConnection& connection) {
    if (call == 0) connection.reply(listText(7, false));
    if (call == 2) connection.reply(listText(3, false, {"s-3"}));  // set up again: versions restart
    if (call == 3) connection.reply(listText(3, true, {"s-3", "s-4"}));
  };
  start(7);
  ASSERT_TRUE(waitForCalls(5));
  EXPECT_EQ(calls[3].target, "/discovery/hosts");
  EXPECT_EQ(lists.back().version, 3);
  EXPECT_TRUE(lists.back().full);
  EXPECT_EQ(lists.size(), 2u);
  EXPECT_TRUE(calls[4].targetContains("since=3&"));
}

// The caller calls watch() while a resync is pending. The resync continues and becomes the watch.
TEST_F(DiscoveryClientTest, WatchIsIgnoredDuringAResync) {
  onCall = [&](std::size_t call, PeerConnection& connection) {
    if (call == 0) connection.reply(listText(1, false));
    if (call != 2) return;
    client->watch();
    connection.reply(listText(2, false, {"s-2"}));
  };
  start();
  ASSERT_TRUE(waitForCalls(4));
  EXPECT_EQ(calls[3].connection, calls[2].connection);
  EXPECT_EQ(receivedUids(), std::set<std::string>{"s-2"});
}

// --- Refresh ------------------------------------------------------------------------------------

// Three refreshes in parallel to a healthy watch: one is rejected, one returns the current version, one a
// newer list. Only the last replaces the watch.
TEST_F(DiscoveryClientTest, RefreshIsOneAttemptAndReplacesTheWatchOnlyWithANewerList) {
  timeouts.watchMin = timeouts.watchMax = 60s;
  onCall = [](std::size_t call, PeerConnection& connection) {
    if (call == 0) connection.reply(listText(1, false));
    if (call == 2) connection.reply(answerText(503, "", ""));
    if (call == 3) connection.reply(listText(1, true, {"s-1"}));
    if (call == 4) connection.reply(listText(5, true, {"s-5"}));
  };
  start();
  ASSERT_TRUE(waitForCalls(2));
  client->refresh();
  client->refresh();
  ASSERT_TRUE(until([&] { return refreshFailures == 1; }));
  EXPECT_EQ(calls.size(), 3u) << "a refresh is ignored while another one is pending";
  client->refresh();
  ASSERT_TRUE(until([&] { return calls.size() == 4 && calls[3].connection->closedByPeer; }));
  EXPECT_EQ(lists.size(), 1u) << "a list of the current version is not delivered";
  EXPECT_FALSE(calls[1].connection->closedByPeer);
  client->refresh();
  ASSERT_TRUE(waitForCalls(6));
  EXPECT_EQ(receivedUids(), std::set<std::string>{"s-5"});
  EXPECT_EQ(calls[5].connection, calls[4].connection);
  EXPECT_TRUE(until([&] { return calls[1].connection->closedByPeer; }));
}

// --- Moving to another server
// -------------------------------------------------------------------------------

class DiscoveryClientMoveTest : public DiscoveryClientTest {
 public:
  std::vector<DiscoveryCall> newServerCalls;
  std::function<void(std::size_t, PeerConnection&)> onNewServerCall = [](std::size_t, PeerConnection&) {};
  std::vector<std::unique_ptr<Peer>> newServers;

  void start() {
    newServerCalls.clear();
    newServers.push_back(
        std::make_unique<Peer>(io, [this, serverIndex = newServers.size()](PeerConnection& connection) {
          if (serverIndex + 1 != newServers.size()) return;
          newServerCalls.push_back({connection.shared_from_this(), connection.request.target().to_string()});
          onNewServerCall(newServerCalls.size() - 1, connection);
        }));
    DiscoveryClientTest::start();
  }
  void move() { client->moveTo(newServers.back()->endpoint); }
};

// A move starts at each step of the old watch (opening, long poll, resync), and up to four of its calls fail,
// in each way. The old watch stays open until the new server has sent its full list.
TEST_F(DiscoveryClientMoveTest, IsRetriedUntilTheFullListArrives) {
  for (const auto& [name, fail] : kFailures)
    for (std::size_t at = 0; at < 3; ++at)
      for (std::size_t failing : {0, 1, 4}) {
        SCOPED_TRACE(name + " " + std::to_string(failing) + ", moved at call " + std::to_string(at));
        onCall = [&](std::size_t call, PeerConnection& connection) {
          if (call == at) move();
          if (call == 0) connection.reply(listText(1, false));
        };
        onNewServerCall = [&, broken = fail](std::size_t call, PeerConnection& connection) {
          if (call < failing) broken(connection);
          else if (call == failing) connection.reply(listText(0, true, {"s-new"}));
        };
        start();
        ASSERT_TRUE(until([&] { return newServerCalls.size() >= failing + 2; }));
        for (std::size_t i = 0; i <= failing; ++i) EXPECT_EQ(newServerCalls[i].target, "/discovery/hosts");
        EXPECT_TRUE(newServerCalls[failing + 1].targetContains("since=0&timeout_ms=30"))
            << "from the version of the new server";
        EXPECT_EQ(receivedUids(), std::set<std::string>{"s-new"});
        EXPECT_EQ(watchFailures, 0);
        EXPECT_TRUE(until([&] {
          return std::all_of(calls.begin(), calls.end(),
                             [](const auto& entry) { return entry.connection->closedByPeer; });
        }));
      }
}

// Before the new server answers, the old watch returns a change and then fails. The change is delivered, the
// failure is not reported, and watch() does not restart the move.
TEST_F(DiscoveryClientMoveTest, OldWatchDeliversChangesDuringTheMoveAndItsFailureIsNotReported) {
  timeouts.watchMin = timeouts.watchMax = 60s;
  onCall = [](std::size_t call, PeerConnection& connection) {
    if (call == 0) connection.reply(listText(1, false));
  };
  start();
  ASSERT_TRUE(waitForCalls(2));
  move();
  ASSERT_TRUE(until([&] { return newServerCalls.size() == 1; }));
  calls[1].connection->reply(listText(2, false, {"s-2"}));
  ASSERT_TRUE(waitForCalls(3));
  EXPECT_EQ(receivedUids(), std::set<std::string>{"s-2"});
  calls[2].connection->reset();
  client->watch();  // ignored, since the move continues
  newServerCalls[0].connection->reply(listText(0, true, {"s-new"}));
  ASSERT_TRUE(until([&] { return newServerCalls.size() == 2; }));
  EXPECT_EQ(newServerCalls[1].connection, newServerCalls[0].connection)
      << "the call of the move was not restarted";
  EXPECT_EQ(watchFailures, 0);
}

// The client is stopped during a move. The next watch() sends its request to the new server.
TEST_F(DiscoveryClientMoveTest, StoppedClientResumesTheMove) {
  timeouts.watchMin = timeouts.watchMax = 60s;
  onCall = [](std::size_t call, PeerConnection& connection) {
    if (call == 0) connection.reply(listText(1, false));
  };
  start();
  ASSERT_TRUE(waitForCalls(2));
  move();
  ASSERT_TRUE(until([&] { return newServerCalls.size() == 1; }));
  client->stop();
  client->watch();
  ASSERT_TRUE(until([&] { return newServerCalls.size() == 2; }));
  EXPECT_EQ(newServerCalls[1].target, "/discovery/hosts");
  EXPECT_EQ(calls.size(), 2u);
}

// --- Lists pushed by an agent ---------------------------------------------------------------------------

// An agent pushes the lists, and the watch on it fails in each way. The client retries without its caller,
// which does not restart watches on agents.
TEST_F(DiscoveryClientTest, WatchOnAnAgentIsRetriedAfterEachKindOfFailure) {
  source = DiscoveryClient::ListSource::pushed;
  for (const auto& [name, fail] : kFailures)
    for (std::size_t at = 0; at < 3; ++at) {
      SCOPED_TRACE(name + " at call " + std::to_string(at));
      timeouts.watchMin = timeouts.watchMax = 60s;
      onCall = [&, broken = fail](std::size_t call, PeerConnection& connection) {
        if (call >= at && call < at + 3) broken(connection);
        else if (call < at) connection.reply(listText(1, false));
        else if (call == at + 3) connection.reply(listText(2, false, {"s-2"}));
      };
      start();
      ASSERT_TRUE(until([&] { return !receivedUids().empty(); }));
      EXPECT_EQ(watchFailures, 0) << "the client retries without its caller";
    }
}

// The agent leaves eight calls unanswered. The ninth is answered, and the watch continues.
TEST_F(DiscoveryClientTest, UnresponsiveAgentIsRetriedUntilItAnswers) {
  source = DiscoveryClient::ListSource::pushed;
  timeouts.response = 20ms;
  onCall = [](std::size_t call, PeerConnection& connection) {
    if (call == 8) connection.reply(listText(2, false, {"s-2"}));  // the calls before it are never answered
  };
  start();
  ASSERT_TRUE(waitForCalls(10));
  EXPECT_EQ(receivedUids(), std::set<std::string>{"s-2"});
  EXPECT_EQ(calls[9].connection, calls[8].connection);
}

// --- Stop -----------------------------------------------------------------------------------------

// The client is stopped while the server reads each of its first calls. From then on nothing is delivered and
// nothing sent.
TEST_F(DiscoveryClientTest, StopAtAnyStepEndsAllCalls) {
  for (std::size_t at = 0; at < 6; ++at) {
    SCOPED_TRACE(at);
    onCall = [&](std::size_t call, PeerConnection& connection) {
      if (call == at) client->stop();
      if (call == 0) connection.reply(listText(1, false));
      else if (call >= 2) connection.reply(answerText(503, "", ""));
    };
    start();
    ASSERT_TRUE(waitForCalls(at + 1));
    const std::size_t received = lists.size();
    ASSERT_TRUE(until([&] {
      return std::all_of(calls.begin(), calls.end(),
                         [](const auto& entry) { return entry.connection->closedByPeer; });
    }));
    // Longer than a watch takes to become overdue and to be retried.
    asio::steady_timer timer(io, 100ms);
    bool elapsed = false;
    timer.async_wait([&](error_code) { elapsed = true; });
    ASSERT_TRUE(until([&] { return elapsed; }));
    EXPECT_EQ(calls.size(), at + 1);
    EXPECT_EQ(lists.size(), received);
    EXPECT_FALSE(client->stale());
  }
}

}  // namespace
}  // namespace cairnjunction::testing

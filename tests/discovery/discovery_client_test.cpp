// The client of discovery before a scripted one on loopback, which acts at named calls: watches that break in
// silence, tries that fail in every way, moves, agents that push. Calls are numbered from 0 in the order in
// which discovery read them.
#include "discovery/discovery_client.hpp"

#include <gtest/gtest.h>

#include <set>

#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;

std::string listText(std::int64_t rev, bool full, const std::vector<std::string>& uids = {}) {
  json targets = json::array();
  for (const std::string& uid : uids) targets.push_back(target(uid, loopback(9)));
  return answerText(200, "", json{{"rev", rev}, {"all", full}, {"targets", targets}}.dump());
}

struct DiscoveryCall {
  std::shared_ptr<PeerConnection> on;
  std::string target;
  bool has(const std::string& text) const { return target.find(text) != std::string::npos; }
};

class DiscoveryTest : public LoopTest {
 protected:
  std::vector<DiscoveryCall> calls;
  std::function<void(std::size_t, PeerConnection&)> act = [](std::size_t, PeerConnection&) {};
  // Another one for each start, so that nothing of the one before is taken for a call of the next.
  std::vector<std::unique_ptr<Peer>> peers;
  DiscoveryClient::Timeouts waits = quick();
  DiscoveryClient::ListSource mode = DiscoveryClient::ListSource::polled;
  std::unique_ptr<DiscoveryClient> discovery;
  std::vector<EndpointList> told;
  int failed = 0, verifyFailed = 0, tryFailed = 0;

  // Watches break at once, and nothing else ends by its time unless a test shortens it.
  static DiscoveryClient::Timeouts quick() {
    DiscoveryClient::Timeouts waits;
    waits.watchMin = waits.watchMax = 30ms;
    waits.watchGrace = 10ms;
    waits.staleWatchLinger = waits.response = waits.connect = 60s;
    waits.retryInitialBackoff = 1ms;
    waits.retryMaxBackoff = 4ms;
    return waits;
  }
  void start(std::optional<std::int64_t> version = 1) {
    if (discovery) discovery->stop();
    calls.clear();
    told.clear();
    failed = verifyFailed = tryFailed = 0;
    peers.push_back(std::make_unique<Peer>(io, [this, mine = peers.size()](PeerConnection& c) {
      if (mine + 1 != peers.size()) return;
      calls.push_back({c.shared_from_this(), c.request.target().to_string()});
      act(calls.size() - 1, c);
    }));
    discovery = std::make_unique<DiscoveryClient>(
        io, peers.back()->endpoint,
        DiscoveryClient::Callbacks{[this](const EndpointList& l) { told.push_back(l); }, [this] { ++failed; },
                                   [this] { ++verifyFailed; }, [this] { ++tryFailed; }},
        waits, mode);
    if (version) discovery->setKnownVersion(*version);
    discovery->watch();
  }
  ::testing::AssertionResult called(std::size_t n) {
    return until([this, n] { return calls.size() >= n; });
  }
  std::set<std::string> namesTold() const {
    std::set<std::string> names;
    for (const EndpointList& list : told)
      for (const DiscoveredEndpoint& host : list.endpoints) names.insert(host.uid);
    return names;
  }
};

// Ways in which a call fails.
const std::vector<std::pair<std::string, std::function<void(PeerConnection&)>>> kFailures = {
    {"turned away", [](PeerConnection& c) { c.reply(answerText(503, "", "")); }},
    {"turned away, closed",
     [](PeerConnection& c) { c.reply(answerText(503, "Connection: close\r\n", ""), true); }},
    {"reset", [](PeerConnection& c) { c.reset(); }},
    {"closed", [](PeerConnection& c) { c.close(); }},
    {"half an answer, then reset",
     [](PeerConnection& c) { c.replyThenReset("HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"rev\""); }},
    {"garbage", [](PeerConnection& c) { c.reply("no answer at all\r\n\r\n"); }},
    {"a list of nonsense", [](PeerConnection& c) { c.reply(answerText(200, "", "{\"rev\":\"x\"}")); }}};

// --- A watch that breaks in silence
// -------------------------------------------------------------------------

TEST_F(DiscoveryTest, ASilentWatchIsReplacedByASmallCallFromTheVersionHeld) {
  act = [](std::size_t n, PeerConnection& c) {
    if (n == 0) c.reply(listText(1, false));
    if (n == 2) c.reply(listText(2, false, {"s-2"}));
  };
  start();
  ASSERT_TRUE(called(4));
  EXPECT_TRUE(calls[0].has("since=1&timeout_ms=1")) << "of a watch, the first";
  EXPECT_TRUE(calls[1].has("since=1&timeout_ms=30")) << "which waits, and is never answered";
  EXPECT_TRUE(calls[2].has("since=1&timeout_ms=1"));
  EXPECT_FALSE(calls[2].has("timeout_ms=30"));
  EXPECT_NE(calls[2].on, calls[1].on) << "beside the watch, which may yet be answered";
  EXPECT_EQ(calls[3].on, calls[2].on) << "and carries the watch on";
  EXPECT_TRUE(calls[3].has("since=2&timeout_ms=30"));
  EXPECT_TRUE(until([&] { return calls[1].on->closedByPeer; }));
  EXPECT_EQ(namesTold(), std::set<std::string>{"s-2"});
  EXPECT_EQ(failed, 0);
}

// The fault's position: so many tries fail, each in each way, before one is answered.
TEST_F(DiscoveryTest, AResyncIsTriedUntilItIsAnswered) {
  for (const auto& [name, fail] : kFailures)
    for (std::size_t failing = 1; failing <= 6; ++failing) {
      SCOPED_TRACE(name + " " + std::to_string(failing));
      act = [&, broken = fail](std::size_t n, PeerConnection& c) {
        if (n == 0) c.reply(listText(1, false));
        else if (n >= 2 && n < 2 + failing) broken(c);
        else if (n == 2 + failing) c.reply(listText(2, false, {"s-2"}));
      };
      start();
      ASSERT_TRUE(called(3 + failing));
      ASSERT_TRUE(until([&] { return !namesTold().empty(); }));
      EXPECT_FALSE(discovery->stale());
      EXPECT_EQ(tryFailed, static_cast<int>(failing));
      EXPECT_EQ(failed, 0) << "nobody else decides when to ask again";
    }
}

TEST_F(DiscoveryTest, TriesThatAreSilentEndByTheirTimeAndTheListIsStaleTillOneIsAnswered) {
  waits.response = 20ms;
  waits.staleWatchLinger = 20ms;
  bool stale = true;
  act = [&](std::size_t n, PeerConnection& c) {
    if (n == 0) c.reply(listText(1, false));
    if (n >= 2) stale = stale && discovery->stale();
    if (n == 6) c.reply(listText(2, false, {"s-2"}));
  };
  start();
  ASSERT_TRUE(until([&] { return !namesTold().empty(); }));
  EXPECT_TRUE(stale);
  EXPECT_FALSE(discovery->stale());
  EXPECT_EQ(failed, 0) << "also once the old watch was given up";
}

TEST_F(DiscoveryTest, AnAnswerOfTheWatchThatComesWhileTheResyncIsOutKeepsItOn) {
  act = [&](std::size_t n, PeerConnection& c) {
    if (n == 0) c.reply(listText(1, false));
    if (n == 2) calls[1].on->reply(listText(2, false, {"s-2"}));  // in the moment in which it is read
  };
  start();
  ASSERT_TRUE(called(4));
  EXPECT_EQ(calls[3].on, calls[1].on) << "the watch goes on where it was";
  EXPECT_TRUE(calls[3].has("since=2&"));
  EXPECT_TRUE(until([&] { return calls[2].on->closedByPeer; })) << "and the call beside it is left";
  EXPECT_EQ(told.size(), 2u);
}

TEST_F(DiscoveryTest, AnAnswerOfTheOldWatchBehindThatOfTheResyncIsNotHeard) {
  act = [&](std::size_t n, PeerConnection& c) {
    if (n == 0) c.reply(listText(1, false));
    if (n != 2) return;
    c.reply(listText(3, false, {"s-3"}));
    calls[1].on->reply(listText(2, false, {"s-2"}));
  };
  start();
  ASSERT_TRUE(called(4));
  // Which of the two is read first is up to the system; whichever it is, the watch goes on from its version
  // and no change is told after a later one.
  EXPECT_TRUE(calls[3].on == calls[2].on ? calls[3].has("since=3&") : calls[3].has("since=2&"));
  for (std::size_t i = 1; i < told.size(); ++i) EXPECT_GE(told[i].version, told[i - 1].version);
}

TEST_F(DiscoveryTest, AWatchThatIsResetWhileTheResyncIsOutLeavesItTheLastHope) {
  for (const auto& [name, fail] : kFailures) {
    SCOPED_TRACE(name);
    act = [&, broken = fail](std::size_t n, PeerConnection& c) {
      if (n == 0) c.reply(listText(1, false));
      if (n == 2) broken(*calls[1].on);
    };
    start();
    ASSERT_TRUE(called(3));
    // The end of the old watch has come before this answer.
    ASSERT_TRUE(until([&] { return calls[1].on->closedByPeer || !calls[1].on->open; }));
    calls[2].on->reply(listText(2, false, {"s-2"}));
    ASSERT_TRUE(called(4));
    EXPECT_EQ(namesTold(), std::set<std::string>{"s-2"});
    EXPECT_EQ(failed, 0);
  }
}

TEST_F(DiscoveryTest, AnAnswerThatStopsHalfWayIsSilenceToo) {
  const std::string whole = listText(2, false, {"s-2"});
  for (const std::size_t bytes : {std::size_t{1}, std::size_t{17}, whole.size() / 2, whole.size() - 1}) {
    SCOPED_TRACE(bytes);
    act = [&](std::size_t n, PeerConnection& c) {
      if (n == 0) c.reply(listText(1, false));
      if (n == 1) c.reply(whole.substr(0, bytes));
      if (n == 2) c.reply(whole);
    };
    start();
    ASSERT_TRUE(called(4));
    EXPECT_EQ(namesTold(), std::set<std::string>{"s-2"});
  }
}

TEST_F(DiscoveryTest, AConnectionThatNeverComesUpIsTriedAnew) {
  // A listener with room for one connection that is not accepted: the next ones are not answered at all.
  tcp::acceptor full(io);
  full.open(tcp::v4());
  full.bind(loopback());
  full.listen(0);
  tcp::socket filler(io);
  filler.connect(full.local_endpoint());
  waits.connect = 20ms;
  discovery = std::make_unique<DiscoveryClient>(
      io, full.local_endpoint(),
      DiscoveryClient::Callbacks{[this](const EndpointList& l) { told.push_back(l); }, [this] { ++failed; },
                                 [] {}, [this] { ++tryFailed; }},
      waits);
  discovery->setKnownVersion(1);
  discovery->watch();
  ASSERT_TRUE(until([&] { return tryFailed >= 3; }));
  EXPECT_EQ(failed, 0);
  std::vector<std::shared_ptr<PeerConnection>> accepted;
  std::function<void()> accept = [&] {
    full.async_accept([&](error_code ec, tcp::socket socket) {
      if (ec) return;
      accepted.push_back(std::make_shared<PeerConnection>(
          std::move(socket), [&](PeerConnection& c) { c.reply(listText(2, false, {"s-2"})); }));
      accepted.back()->read();
      accept();
    });
  };
  accept();
  EXPECT_TRUE(until([&] { return namesTold().size() == 1; }));
  full.close();
}

TEST_F(DiscoveryTest, WaitsAreDrawnAnewForEachCallBetweenTheirBounds) {
  waits.watchMin = 1000ms;
  waits.watchMax = 2000ms;
  act = [](std::size_t, PeerConnection& c) { c.reply(listText(1, false)); };
  start();
  ASSERT_TRUE(called(60));
  std::set<int> drawn;
  for (std::size_t i = 1; i < 60; ++i)
    drawn.insert(std::stoi(calls[i].target.substr(calls[i].target.find("timeout_ms=") + 11)));
  EXPECT_GE(*drawn.begin(), 1000);
  EXPECT_LE(*drawn.rbegin(), 2000);
  EXPECT_GT(drawn.size(), 10u) << "gateways that begin together must not end together";
}

// --- What ends with a word
// ----------------------------------------------------------------------------------

TEST_F(DiscoveryTest, AWatchThatFailsWithAWordIsBegunAnewByWhoeverDecidesThat) {
  for (const auto& [name, fail] : kFailures)
    for (std::size_t at = 0; at < 3; ++at) {
      SCOPED_TRACE(name + " at call " + std::to_string(at));
      waits.watchMin = waits.watchMax = 60s;
      act = [&, broken = fail](std::size_t n, PeerConnection& c) {
        if (n == at) broken(c);
        else if (n < at) c.reply(listText(1, false));
      };
      start();
      ASSERT_TRUE(until([&] { return failed == 1; }));
      EXPECT_EQ(calls.size(), at + 1) << "nothing is asked before";
      discovery->watch();
      EXPECT_TRUE(called(at + 2));
    }
}

TEST_F(DiscoveryTest, ChangesFromThePastAreNotTakenAndTheWholeListIsAskedFor) {
  act = [](std::size_t n, PeerConnection& c) {
    if (n == 0) c.reply(listText(7, false));
    if (n == 2) c.reply(listText(3, false, {"s-3"}));  // set up anew, it counts from the start
    if (n == 3) c.reply(listText(3, true, {"s-3", "s-4"}));
  };
  start(7);
  ASSERT_TRUE(called(5));
  EXPECT_EQ(calls[3].target, "/discovery/hosts");
  EXPECT_EQ(told.back().version, 3);
  EXPECT_TRUE(told.back().full);
  EXPECT_EQ(told.size(), 2u);
  EXPECT_TRUE(calls[4].has("since=3&"));
}

TEST_F(DiscoveryTest, AWatchBegunByTheModuleWhileAResyncIsOutDoesNotDisturbIt) {
  act = [&](std::size_t n, PeerConnection& c) {
    if (n == 0) c.reply(listText(1, false));
    if (n != 2) return;
    discovery->watch();
    c.reply(listText(2, false, {"s-2"}));
  };
  start();
  ASSERT_TRUE(called(4));
  EXPECT_EQ(calls[3].on, calls[2].on);
  EXPECT_EQ(namesTold(), std::set<std::string>{"s-2"});
}

// --- Verifying
// ------------------------------------------------------------------------------------------------

TEST_F(DiscoveryTest, VerifyingIsOneTryAndLeavesAWatchThatItDoesNotDisprove) {
  waits.watchMin = waits.watchMax = 60s;
  act = [](std::size_t n, PeerConnection& c) {
    if (n == 0) c.reply(listText(1, false));
    if (n == 2) c.reply(answerText(503, "", ""));
    if (n == 3) c.reply(listText(1, true, {"s-1"}));
    if (n == 4) c.reply(listText(5, true, {"s-5"}));
  };
  start();
  ASSERT_TRUE(called(2));
  discovery->refresh();
  discovery->refresh();
  ASSERT_TRUE(until([&] { return verifyFailed == 1; }));
  EXPECT_EQ(calls.size(), 3u) << "one call, however often it is asked for";
  discovery->refresh();
  ASSERT_TRUE(until([&] { return calls.size() == 4 && calls[3].on->closedByPeer; }));
  EXPECT_EQ(told.size(), 1u) << "nothing new";
  EXPECT_FALSE(calls[1].on->closedByPeer);
  discovery->refresh();
  ASSERT_TRUE(called(6));
  EXPECT_EQ(namesTold(), std::set<std::string>{"s-5"});
  EXPECT_EQ(calls[5].on, calls[4].on);
  EXPECT_TRUE(until([&] { return calls[1].on->closedByPeer; }));
}

// --- Another server
// -----------------------------------------------------------------------------------------

class MovingDiscovery : public DiscoveryTest {
 protected:
  std::vector<DiscoveryCall> newCalls;
  std::function<void(std::size_t, PeerConnection&)> newAct = [](std::size_t, PeerConnection&) {};
  std::vector<std::unique_ptr<Peer>> others;

  void start() {
    newCalls.clear();
    others.push_back(std::make_unique<Peer>(io, [this, mine = others.size()](PeerConnection& c) {
      if (mine + 1 != others.size()) return;
      newCalls.push_back({c.shared_from_this(), c.request.target().to_string()});
      newAct(newCalls.size() - 1, c);
    }));
    DiscoveryTest::start();
  }
  void move() { discovery->moveTo(others.back()->endpoint); }
};

// A move is told at each step (the first call, the next one, a resync), and its calls fail so many times in
// each way.
TEST_F(MovingDiscovery, IsTriedUntilItsWholeListIsThereWhateverTheOldWatchDoes) {
  for (const auto& [name, fail] : kFailures)
    for (std::size_t at = 0; at < 3; ++at)
      for (std::size_t failing : {0, 1, 4}) {
        SCOPED_TRACE(name + " " + std::to_string(failing) + ", moved at call " + std::to_string(at));
        act = [&](std::size_t n, PeerConnection& c) {
          if (n == at) move();
          if (n == 0) c.reply(listText(1, false));
        };
        newAct = [&, broken = fail](std::size_t n, PeerConnection& c) {
          if (n < failing) broken(c);
          else if (n == failing) c.reply(listText(0, true, {"s-new"}));
        };
        start();
        ASSERT_TRUE(until([&] { return newCalls.size() >= failing + 2; }));
        for (std::size_t i = 0; i <= failing; ++i) EXPECT_EQ(newCalls[i].target, "/discovery/hosts");
        EXPECT_TRUE(newCalls[failing + 1].has("since=0&timeout_ms=30")) << "versions count anew";
        EXPECT_EQ(namesTold(), std::set<std::string>{"s-new"});
        EXPECT_EQ(failed, 0);
        EXPECT_TRUE(until([&] {
          return std::all_of(calls.begin(), calls.end(), [](const auto& c) { return c.on->closedByPeer; });
        }));
      }
}

TEST_F(MovingDiscovery, TheOldWatchIsHeardMeanwhileAndItsEndAsksNobody) {
  waits.watchMin = waits.watchMax = 60s;
  act = [](std::size_t n, PeerConnection& c) {
    if (n == 0) c.reply(listText(1, false));
  };
  start();
  ASSERT_TRUE(called(2));
  move();
  ASSERT_TRUE(until([&] { return newCalls.size() == 1; }));
  calls[1].on->reply(listText(2, false, {"s-2"}));
  ASSERT_TRUE(called(3));
  EXPECT_EQ(namesTold(), std::set<std::string>{"s-2"});
  calls[2].on->reset();
  discovery->watch();  // the module asks, and the move goes on
  newCalls[0].on->reply(listText(0, true, {"s-new"}));
  ASSERT_TRUE(until([&] { return newCalls.size() == 2; }));
  EXPECT_EQ(newCalls[1].on, newCalls[0].on) << "its call was not begun again";
  EXPECT_EQ(failed, 0);
}

TEST_F(MovingDiscovery, OneThatIsStoppedGoesOnAtTheNewServer) {
  waits.watchMin = waits.watchMax = 60s;
  act = [](std::size_t n, PeerConnection& c) {
    if (n == 0) c.reply(listText(1, false));
  };
  start();
  ASSERT_TRUE(called(2));
  move();
  ASSERT_TRUE(until([&] { return newCalls.size() == 1; }));
  discovery->stop();
  discovery->watch();
  ASSERT_TRUE(until([&] { return newCalls.size() == 2; }));
  EXPECT_EQ(newCalls[1].target, "/discovery/hosts");
  EXPECT_EQ(calls.size(), 2u);
}

// --- Pushed -----------------------------------------------------------------------------------------------

TEST_F(DiscoveryTest, AnAgentIsAskedAgainWhateverEndsTheWatch) {
  mode = DiscoveryClient::ListSource::pushed;
  for (const auto& [name, fail] : kFailures)
    for (std::size_t at = 0; at < 3; ++at) {
      SCOPED_TRACE(name + " at call " + std::to_string(at));
      waits.watchMin = waits.watchMax = 60s;
      act = [&, broken = fail](std::size_t n, PeerConnection& c) {
        if (n >= at && n < at + 3) broken(c);
        else if (n < at) c.reply(listText(1, false));
        else if (n == at + 3) c.reply(listText(2, false, {"s-2"}));
      };
      start();
      ASSERT_TRUE(until([&] { return !namesTold().empty(); }));
      EXPECT_EQ(failed, 0) << "the module has no say in it";
    }
}

TEST_F(DiscoveryTest, AnAgentThatIsSilentForAWhileIsHeardWhenItIsBack) {
  mode = DiscoveryClient::ListSource::pushed;
  waits.response = 20ms;
  act = [](std::size_t n, PeerConnection& c) {
    if (n == 8) c.reply(listText(2, false, {"s-2"}));  // the calls before it are never answered
  };
  start();
  ASSERT_TRUE(called(10));
  EXPECT_EQ(namesTold(), std::set<std::string>{"s-2"});
  EXPECT_EQ(calls[9].on, calls[8].on);
}

TEST(DiscoveryWaits, AnAgentThatIsBackIsAskedWithinAQuarterOfASecond) {
  const DiscoveryClient::Timeouts waits = DiscoveryClient::Timeouts{}.forAgent();
  EXPECT_LE(waits.connect, waits.response);
  EXPECT_LT(waits.response + waits.retryMaxBackoff + waits.retryMaxBackoff / 2, 250ms);
}

// A watch that breaks in silence in any moment of its life is found out, and a try that is turned away leaves
// time for others, before what it misses counts as told: 6 s after its silence, or 2 s past its wait.
TEST(DiscoveryWaits, ThereIsTimeForTriesBeforeWhatASilentWatchMissesCountsAsTold) {
  const DiscoveryClient::Timeouts waits;
  const auto told = std::max<std::chrono::milliseconds>(6s, waits.watchMax + 2s);
  const auto foundOut = waits.watchMax + waits.watchGrace;
  EXPECT_GE(told - foundOut, 3s) << "three calls of a discovery that works through one a second";
  EXPECT_GE(told - foundOut, waits.response + waits.retryInitialBackoff * 3 / 2 + 1s)
      << "one that is silent, and another";
}

// --- Ends
// ---------------------------------------------------------------------------------------------------

// Stopped at each call, also from within it: nothing is told and nothing asked from then on.
TEST_F(DiscoveryTest, StoppedAtAnyStepItAsksNoMore) {
  for (std::size_t at = 0; at < 6; ++at) {
    SCOPED_TRACE(at);
    act = [&](std::size_t n, PeerConnection& c) {
      if (n == at) discovery->stop();
      if (n == 0) c.reply(listText(1, false));
      else if (n >= 2) c.reply(answerText(503, "", ""));
    };
    start();
    ASSERT_TRUE(called(at + 1));
    const std::size_t heard = told.size();
    ASSERT_TRUE(until([&] {
      return std::all_of(calls.begin(), calls.end(), [](const auto& c) { return c.on->closedByPeer; });
    }));
    // As long as a watch takes to break, and tries to come again.
    asio::steady_timer passed(io, 100ms);
    bool over = false;
    passed.async_wait([&](error_code) { over = true; });
    ASSERT_TRUE(until([&] { return over; }));
    EXPECT_EQ(calls.size(), at + 1);
    EXPECT_EQ(told.size(), heard);
    EXPECT_FALSE(discovery->stale());
  }
}

}  // namespace
}  // namespace cairnjunction::testing

// What a pool tells of an attempt's end, for both protocols, over real sockets: why a connection failed,
// which one carried the attempt, whether it was kept, and each change of the count.
#include <deque>

#include "http/upstream.hpp"
#include "jsonrpc/peers.hpp"
#include "jsonrpc/upstream.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using ochrehill::Carrier;
using ochrehill::Fault;
using ochrehill::Outcome;

// Takes connections only once it is told to. Its queue is full before, so that further ones don't come up.
class FullListener {
 public:
  explicit FullListener(asio::io_context& io) : io_(io), acceptor_(io) {
    acceptor_.open(tcp::v4());
    acceptor_.bind(loopback());
    acceptor_.listen(0);
    endpoint = acceptor_.local_endpoint();
    for (int i = 0; i < 3; ++i) {
      fillers_.push_back(std::make_unique<tcp::socket>(io));
      fillers_.back()->async_connect(endpoint, [this](error_code ec) { filled += !ec; });
    }
  }
  void acceptAll() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) return;
      taken.push_back(std::make_shared<Lines>(std::move(socket)));
      taken.back()->read();
      acceptAll();
    });
  }
  // Of all connections, in bytes.
  std::size_t received() const {
    std::size_t n = 0;
    for (const auto& lines : taken) n += lines->received;
    return n;
  }
  void dropFillers() { fillers_.clear(); }

  tcp::endpoint endpoint;
  int filled = 0;
  std::vector<std::shared_ptr<Lines>> taken;

 private:
  asio::io_context& io_;
  tcp::acceptor acceptor_;
  std::vector<std::unique_ptr<tcp::socket>> fillers_;
};

struct Setting {
  const char* name;
  bool jsonRpc;
};

class PoolFacts : public LoopTest, public ::testing::WithParamInterface<Setting> {
 protected:
  std::unique_ptr<HostUpstream> pool;
  std::deque<AttemptEnd> ends;
  std::vector<HostConnections> told;
  CallId last = 0;

  void make(std::size_t connections = 10, std::chrono::milliseconds connectTimeout = 60s) {
    const auto ended = [this](AttemptEnd end) { ends.push_back(std::move(end)); };
    if (GetParam().jsonRpc) {
      jsonrpc::Upstream::Limits limits;
      limits.connections = connections;
      limits.connectTimeout = connectTimeout;
      limits.streams = 1;
      pool = std::make_unique<jsonrpc::Upstream>(io, limits, ended);
    } else {
      HttpUpstream::Limits limits;
      limits.connections = connections;
      limits.connectTimeout = connectTimeout;
      pool = std::make_unique<HttpUpstream>(io, limits, ended);
    }
    pool->onConnections([this](ochrehill::HostId host, HostConnections now) {
      EXPECT_EQ(host, 1u);
      EXPECT_LE(now.up, now.open);
      told.push_back(now);
    });
  }
  AttemptKey send(std::chrono::milliseconds limit = 60s) {
    Call call;
    call.name = "c" + std::to_string(++last);
    call.message.operation = "read";
    call.message.target = "/read";
    pool->start({last, 0}, 1, call, limit);
    return {last, 0};
  }
  AttemptEnd end() {
    EXPECT_TRUE(until([&] { return !ends.empty(); }));
    if (ends.empty()) return {};
    AttemptEnd e = std::move(ends.front());
    ends.pop_front();
    return e;
  }
  HostConnections now() const { return pool->connectionsOf(1); }

  // A host of either protocol that serves all, or says `instead`.
  std::unique_ptr<Peer> http;
  std::unique_ptr<Worker> rpc;
  std::string instead;
  tcp::endpoint serve() {
    if (!GetParam().jsonRpc) {
      http = std::make_unique<Peer>(
          io, [this](PeerConnection& c) { c.reply(instead.empty() ? answerText(200, "", "ok") : instead); });
      return http->endpoint;
    }
    rpc = std::make_unique<Worker>(io, [this](Lines& from, const json& request) {
      if (instead.empty()) from.say(result(request["id"], "ok"));
      else from.send(instead);
    });
    return rpc->endpoint;
  }
};

TEST_P(PoolFacts, AnAnswerTellsItsConnectionAndThatItWasKept) {
  make();
  pool->list(1, serve(), true);
  ASSERT_EQ(told.size(), 1u) << "also that there is none";
  send();
  AttemptEnd e = end();
  EXPECT_EQ(e.outcome, Outcome::served);
  EXPECT_EQ(e.carrier, Carrier::fresh);
  EXPECT_TRUE(e.kept);
  EXPECT_EQ(now().open, 1u);
  send();
  e = end();
  EXPECT_EQ(e.carrier, Carrier::reused);
  EXPECT_TRUE(e.kept);
  EXPECT_EQ(now().up, 1u);
  pool->closeIdle(1);
  EXPECT_EQ(now().open, 0u);
  EXPECT_EQ(told.back().open, 0u);
}

TEST_P(PoolFacts, RefusedIsToldAsRefused) {
  make();
  tcp::acceptor gone(io, loopback());
  const tcp::endpoint at = gone.local_endpoint();
  gone.close();
  pool->list(1, at, true);
  send();
  const AttemptEnd e = end();
  EXPECT_EQ(e.outcome, Outcome::connectFailed);
  EXPECT_EQ(e.fault, Fault::refused);
  EXPECT_EQ(e.carrier, Carrier::none);
  EXPECT_FALSE(e.kept);
  EXPECT_EQ(now().open, 0u);
}

TEST_P(PoolFacts, AConnectionThatDoesNotComeUpInItsTimeIsSilent) {
  FullListener full(io);
  make(10, 80ms);
  pool->list(1, full.endpoint, true);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  send();
  const AttemptEnd e = end();
  EXPECT_EQ(e.outcome, Outcome::connectFailed);
  EXPECT_EQ(e.fault, Fault::dialSilent);
  EXPECT_EQ(now().open, 0u);
}

TEST_P(PoolFacts, AnAttemptWhoseOwnTimeEndsBeforeThatSaysNothingOfTheHost) {
  FullListener full(io);
  make();
  pool->list(1, full.endpoint, true);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  send(80ms);
  const AttemptEnd e = end();
  EXPECT_EQ(e.outcome, Outcome::connectFailed);
  EXPECT_EQ(e.fault, Fault::outOfTime);
}

TEST_P(PoolFacts, WithNoDescriptorLeftNothingIsTried) {
  make(0);
  pool->list(1, serve(), true);
  send();
  const AttemptEnd e = end();
  EXPECT_EQ(e.outcome, Outcome::connectFailed);
  EXPECT_EQ(e.fault, Fault::noDescriptor);
  EXPECT_EQ(e.carrier, Carrier::none);
  EXPECT_EQ(now().open, 0u);
}

// A drain told while an attempt is dialling: nothing of it may reach the host any more.
TEST_P(PoolFacts, WhatIsDialledWhenItsHostIsDrainedIsTakenBack) {
  FullListener full(io);
  make();
  pool->list(1, full.endpoint, true);
  ASSERT_TRUE(until([&] { return full.filled > 0; }));
  send();
  EXPECT_EQ(now().open, 1u);
  EXPECT_EQ(now().up, 0u);
  pool->list(1, full.endpoint, false);
  full.acceptAll();
  const AttemptEnd e = end();
  EXPECT_EQ(e.outcome, Outcome::connectFailed);
  EXPECT_EQ(e.fault, Fault::withdrawn);
  EXPECT_EQ(now().open, 0u);
  full.dropFillers();
  ASSERT_TRUE(until([&] {
    std::size_t ended = 0;
    for (const auto& lines : full.taken) ended += lines->closedByPeer;
    return ended == full.taken.size() && full.taken.size() >= 2;
  }));
  EXPECT_EQ(full.received(), 0u);
}

TEST_P(PoolFacts, WhatCannotBeReadIsSpoiltAndItsConnectionIsClosed) {
  make();
  instead = "no protocol at all\r\n\r\n";
  pool->list(1, serve(), true);
  send();
  const AttemptEnd e = end();
  EXPECT_EQ(e.fault, Fault::spoilt);
  EXPECT_TRUE(e.outcome == Outcome::error || e.outcome == Outcome::reset) << "it may have run";
  EXPECT_FALSE(e.kept);
  EXPECT_EQ(now().open, 0u);
}

TEST_P(PoolFacts, TheEndOfAnIdleConnectionIsToldWithoutAnyAttempt) {
  make();
  pool->list(1, serve(), true);
  send();
  end();
  ASSERT_EQ(now().open, 1u);
  told.clear();
  if (http) http->connections[0]->close();
  else rpc->connections[0]->close();
  ASSERT_TRUE(until([&] { return !told.empty(); }));
  EXPECT_EQ(told.back().open, 0u);
  EXPECT_EQ(told.back().up, 0u);
}

INSTANTIATE_TEST_SUITE_P(All, PoolFacts, ::testing::Values(Setting{"Http", false}, Setting{"JsonRpc", true}),
                         [](const auto& info) { return std::string(info.param.name); });

}  // namespace
}  // namespace cairnjunction::testing

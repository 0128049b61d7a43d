// Pool, membership and module together, over real loopback sockets, with random peers and random faults:
// after every step what the module and the membership believe is what the peers see. A seed reproduces the
// choices.
//
// The event loop is run until nothing more is due, so that both ends have seen what the last step did; only
// the kernel's delivery is waited for, by the comparison itself, and never a fixed time.
#include <random>
#include <set>

#include "core/engine.hpp"
#include "http/upstream.hpp"
#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using policy::EndpointId;
using policy::EndpointListKind;
using policy::EndpointState;
using policy::Timestamp;

constexpr int kSteps = 300;
constexpr int kHosts = 5;
constexpr std::size_t kConnections = 24;  // of the pool: few enough that it runs out of them

// A host as a process: listens or not, holds what it was asked until the test answers.
class Host {
 public:
  Host(asio::io_context& io, int number)
      : io_(io), port_(io), endpoint(port_.endpoint), uid("h-" + std::to_string(number)) {
    listen();
  }

  void listen() {
    acceptor_.emplace(io_);
    acceptor_->open(tcp::v4());
    acceptor_->set_option(tcp::acceptor::reuse_address(true));
    acceptor_->bind(endpoint);
    acceptor_->listen();
    accept();
  }
  bool listening() const { return acceptor_.has_value(); }
  // The process dies: its connections are reset, new ones refused.
  void die() {
    acceptor_.reset();
    for (auto& c : connections) c->reset();
    prune();
  }
  void prune() {
    std::erase_if(connections, [](const auto& c) { return !c->open || c->closedByPeer; });
    std::erase_if(held, [](const auto& c) { return !c->open || c->closedByPeer; });
  }
  std::size_t up() {
    prune();
    return connections.size();
  }

  std::vector<std::shared_ptr<PeerConnection>> connections, held;

 private:
  void accept() {
    acceptor_->async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) return;
      connections.push_back(std::make_shared<PeerConnection>(
          std::move(socket), [this](PeerConnection& c) { held.push_back(c.shared_from_this()); }));
      connections.back()->read();
      accept();
    });
  }

  asio::io_context& io_;
  const ReservedPort port_;  // it comes back to its own
  std::optional<tcp::acceptor> acceptor_;

 public:
  const tcp::endpoint endpoint;
  const std::string uid;
};

class Play : public LoopTest, public ::testing::WithParamInterface<unsigned> {
 protected:
  struct Clock final : Runtime {
    Timestamp at{24h}, wake{};
    int doubts = 0;
    Timestamp now() const override { return at; }
    void wakeAt(Timestamp t) override { wake = t; }
    void pollEndpoints() override {}
    void requestResync() override { ++doubts; }
    void log(const std::string&) override {}
  };
  struct Sink final : ReplySink {
    std::map<std::uint64_t, int> replies;
    void onReply(std::uint64_t ticket, Reply) override { ++replies[ticket]; }
  };

  std::mt19937 random{GetParam()};
  Clock clock;
  Sink sink;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<EndpointState> phases = std::vector<EndpointState>(kHosts, EndpointState::active);
  std::vector<std::string> names;  // as the list has them: a host may come back under a new one
  std::unique_ptr<HttpUpstream> pool;
  std::unique_ptr<Engine> engine;
  std::uint64_t calls = 0;
  int generation = 0;

  static policy::Settings settings() {
    policy::Settings s;
    s.cancelAllowed = true;
    s.maxAttempts = 4;
    s.slowStartDuration = 2s;
    s.collapseWindow = 2s;
    s.eventInterval = 5ms;
    for (const auto& [name, effect] :
         {std::pair{"read", policy::Idempotency::safe}, std::pair{"write", policy::Idempotency::unsafe}}) {
      policy::ClassSettings c;
      c.name = name;
      c.idempotency = effect;
      c.latencyObjective = 20s;
      c.clientTimeout = 20s;
      s.classes.push_back(c);
    }
    return s;
  }

  void SetUp() override {
    HttpUpstream::Limits limits;
    limits.connections = kConnections;
    limits.connectTimeout = 20s;
    pool = std::make_unique<HttpUpstream>(
        io, limits, [this](AttemptOutcome end) { engine->attemptEnded(std::move(end)); });
    engine = std::make_unique<Engine>(settings(), clock, *pool);
    pool->onConnections(
        [this](EndpointId h, EndpointConnections now) { engine->connectionsChanged(h, now); });
    for (int i = 0; i < kHosts; ++i) {
      hosts.push_back(std::make_unique<Host>(io, i));
      names.push_back(hosts.back()->uid);
    }
    tellAll();
  }
  void TearDown() override { pool->stop(); }

  int below(int n) { return static_cast<int>(random() % static_cast<unsigned>(n)); }

  void tellAll() {
    std::vector<policy::EndpointInfo> entries;
    for (int i = 0; i < kHosts; ++i) {
      policy::EndpointInfo e;
      e.address = names[static_cast<std::size_t>(i)];
      e.state = phases[static_cast<std::size_t>(i)];
      entries.push_back(e);
    }
    engine->updateEndpoints(EndpointListKind::replace, entries, [&] {
      pool->removeAllEndpoints();
      for (int i = 0; i < kHosts; ++i)
        if (const EndpointId id = idOf(i); id != policy::kNone)
          pool->updateEndpoint(id, hosts[static_cast<std::size_t>(i)]->endpoint,
                               phases[static_cast<std::size_t>(i)] == EndpointState::active);
    });
  }
  EndpointId idOf(int host) const { return engine->findEndpoint(names[static_cast<std::size_t>(host)]); }

  void call() {
    Call call;
    call.externalId = "c" + std::to_string(++calls);
    call.attributes.classIndex = static_cast<std::uint32_t>(below(2));
    call.attributes.timeRemaining = 20s;
    call.message.operation = "read";
    call.message.target = "/read";
    call.message.body = call.externalId;
    engine->accept(std::move(call), sink, calls);
  }

  void step() {
    const auto i = static_cast<std::size_t>(below(kHosts));
    Host& host = *hosts[i];
    host.prune();
    const int what = below(100);
    if (what < 45) return call();
    if (what < 75) return answer(host);
    if (what < 80) return host.die();
    if (what < 88) {
      if (!host.listening()) host.listen();
      return;
    }
    if (what < 91) {  // the list: drained, or serving again
      phases[i] = phases[i] == EndpointState::active ? EndpointState::draining : EndpointState::active;
      return tellAll();
    }
    if (what < 93) {  // replaced by another one, at the same address
      names[i] = host.uid + "-" + std::to_string(++generation);
      phases[i] = EndpointState::active;
      return tellAll();
    }
    if (what < 96) {  // closes what is idle
      for (auto& c : host.connections)
        if (std::find(host.held.begin(), host.held.end(), c) == host.held.end()) c->close();
      return host.prune();
    }
    clock.at += std::chrono::milliseconds(20 + below(300));
    engine->wake();
  }

  void answer(Host& host) {
    if (host.held.empty()) return;
    const auto c = host.held[static_cast<std::size_t>(below(static_cast<int>(host.held.size())))];
    std::erase(host.held, c);
    switch (below(8)) {
      case 0: return c->reply(answerText(503, "X-Not-Run: 1\r\n", ""));
      case 1: return c->reply(answerText(500, "", "no"));
      case 2: return c->reply("garbage of no protocol\r\n\r\n");
      case 3: c->reset(); return host.prune();
      case 4: return c->reply(answerText(200, "Connection: close\r\n", c->request.body()), true);
      default: return c->reply(answerText(200, "", c->request.body()));
    }
  }

  // What each side has, as text, so that a difference can be read.
  std::string believed() const {
    std::string text;
    for (int i = 0; i < kHosts; ++i) {
      const EndpointId id = idOf(i);
      if (id == policy::kNone) {
        text += names[static_cast<std::size_t>(i)] + ": unknown\n";
        continue;
      }
      text += names[static_cast<std::size_t>(i)] + ": open " +
              std::to_string(engine->loadBalancer().openConnections(id)) + " pool " +
              std::to_string(pool->connectionsOf(id).open) + " up " +
              std::to_string(pool->connectionsOf(id).established) + "\n";
    }
    return text + "calls " + std::to_string(engine->activeCalls()) + "\n";
  }

  // Connections that the peers hold; those of hosts that were renamed belong to no listed one, so all
  // together.
  bool agrees() {
    std::size_t up = 0, held = 0, out = 0;
    for (int i = 0; i < kHosts; ++i) {
      up += hosts[static_cast<std::size_t>(i)]->up();
      held += hosts[static_cast<std::size_t>(i)]->held.size();
      const EndpointId id = idOf(i);
      if (id == policy::kNone) continue;
      const EndpointConnections pooled = pool->connectionsOf(id);
      if (pooled.open != engine->loadBalancer().openConnections(id)) return false;
      if (pooled.open != pooled.established) return false;  // a dial that is not over
      out += engine->loadBalancer().attemptsInFlight(id);
    }
    return up == pool->connectionCount() && held >= out;
  }
};

TEST_P(Play, WhatIsBelievedIsWhatThePeersSee) {
  for (int i = 0; i < kSteps; ++i) {
    step();
    ASSERT_TRUE(until([&] { return agrees(); })) << "step " << i << "\n" << believed();
    for (int h = 0; h < kHosts; ++h) {
      const EndpointId id = idOf(h);
      if (id == policy::kNone) continue;
      const auto at = static_cast<std::size_t>(h);
      const EndpointStatus belief = engine->endpointHealth().statusOf(id, clock.at);
      ASSERT_EQ(belief.condition == EndpointCondition::draining, phases[at] == EndpointState::draining)
          << "step " << i;
      // Only one that has refused, and has taken no connection since but that of a probe, is out.
      if (belief.condition == EndpointCondition::unreachable) {
        ASSERT_LE(pool->connectionsOf(id).established,
                  std::min(engine->loadBalancer().attemptsInFlight(id), 1u))
            << i;
      }
    }
    ASSERT_EQ(engine->violations(), 0u);
    for (const auto& [ticket, n] : sink.replies) ASSERT_EQ(n, 1) << "call " << ticket;
  }
  // In the end all hosts serve: each is found again by real work alone, and each call has its one answer.
  for (int i = 0; i < kHosts; ++i) {
    phases[static_cast<std::size_t>(i)] = EndpointState::active;
    if (!hosts[static_cast<std::size_t>(i)]->listening()) hosts[static_cast<std::size_t>(i)]->listen();
  }
  tellAll();
  std::set<int> heard;
  const auto answerAll = [&] {
    for (int h = 0; h < kHosts; ++h)
      for (const auto& c : std::exchange(hosts[static_cast<std::size_t>(h)]->held, {})) {
        heard.insert(h);
        c->reply(answerText(200, "", c->request.body()));
      }
  };
  for (int i = 0; i < 2000 && (heard.size() < kHosts || engine->endpointHealth().unreachableCount() > 0);
       ++i) {
    clock.at += 20ms;
    engine->wake();
    call();
    ASSERT_TRUE(until([&] {
      answerAll();
      return engine->activeCalls() == 0;
    }));
  }
  EXPECT_EQ(heard.size(), static_cast<std::size_t>(kHosts));
  EXPECT_EQ(engine->endpointHealth().unreachableCount(), 0u);
  EXPECT_EQ(sink.replies.size(), calls);
  for (const auto& [ticket, n] : sink.replies) EXPECT_EQ(n, 1) << "call " << ticket;
}

INSTANTIATE_TEST_SUITE_P(Seeds, Play, ::testing::Range(1u, 41u));

}  // namespace
}  // namespace cairnjunction::testing

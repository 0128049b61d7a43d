// Upstream, endpoint health and decision module together, over loopback sockets, with random endpoints and
// random faults: after every step their state agrees with what the endpoints see. A seed reproduces the
// choices.
//
// After each step the event loop runs until both sides agree, so only the kernel's delivery is waited for,
// and never a fixed time.
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
constexpr int kEndpointCount = 5;
constexpr std::size_t kMaxConnections = 24;  // few enough that the upstream runs out of them

// The process of an endpoint: listens or not, and holds its requests until the test answers them.
class EndpointProcess {
 public:
  EndpointProcess(asio::io_context& io, int number)
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
  // Its connections are reset, and new ones are refused.
  void die() {
    acceptor_.reset();
    for (auto& connection : connections) connection->reset();
    prune();
  }
  void prune() {
    std::erase_if(connections,
                  [](const auto& connection) { return !connection->open || connection->closedByPeer; });
    std::erase_if(held, [](const auto& connection) { return !connection->open || connection->closedByPeer; });
  }
  std::size_t openConnections() {
    prune();
    return connections.size();
  }

  std::vector<std::shared_ptr<PeerConnection>> connections, held;

 private:
  void accept() {
    acceptor_->async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) return;
      connections.push_back(std::make_shared<PeerConnection>(
          std::move(socket),
          [this](PeerConnection& connection) { held.push_back(connection.shared_from_this()); }));
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

class UpstreamConsistencyTest : public LoopTest, public ::testing::WithParamInterface<unsigned> {
 public:
  struct Clock final : Runtime {
    Timestamp at{24h}, wake{};
    int resyncRequests = 0;
    Timestamp now() const override { return at; }
    void wakeAt(Timestamp time) override { wake = time; }
    void pollEndpoints() override {}
    void requestResync() override { ++resyncRequests; }
    void log(const std::string&) override {}
  };
  struct Sink final : ReplySink {
    std::map<std::uint64_t, int> replies;
    void onReply(std::uint64_t ticket, Reply) override { ++replies[ticket]; }
  };

  std::mt19937 random{GetParam()};
  Clock clock;
  Sink sink;
  std::vector<std::unique_ptr<EndpointProcess>> hosts;
  std::vector<EndpointState> states = std::vector<EndpointState>(kEndpointCount, EndpointState::active);
  std::vector<std::string> names;  // as the list has them: an endpoint may come back under a new one
  std::unique_ptr<HttpUpstream> upstream;
  std::unique_ptr<Engine> engine;
  std::uint64_t calls = 0;
  int generation = 0;

  static policy::Settings settings() {
    policy::Settings settings;
    settings.cancelAllowed = true;
    settings.maxAttempts = 4;
    settings.slowStartDuration = 2s;
    settings.collapseWindow = 2s;
    settings.eventInterval = 5ms;
    for (const auto& [name, idempotency] :
         {std::pair{"read", policy::Idempotency::safe}, std::pair{"write", policy::Idempotency::unsafe}}) {
      policy::ClassSettings requestClass;
      requestClass.name = name;
      requestClass.idempotency = idempotency;
      requestClass.latencyObjective = 20s;
      requestClass.clientTimeout = 20s;
      settings.classes.push_back(requestClass);
    }
    return settings;
  }

  void SetUp() override {
    HttpUpstream::Limits limits;
    limits.connections = kMaxConnections;
    limits.connectTimeout = 20s;
    upstream = std::make_unique<HttpUpstream>(
        io, limits, [this](AttemptOutcome end) { engine->attemptEnded(std::move(end)); });
    engine = std::make_unique<Engine>(settings(), clock, *upstream);
    upstream->onConnections([this](EndpointId endpoint, EndpointConnections current) {
      engine->connectionsChanged(endpoint, current);
    });
    for (int i = 0; i < kEndpointCount; ++i) {
      hosts.push_back(std::make_unique<EndpointProcess>(io, i));
      names.push_back(hosts.back()->uid);
    }
    sendList();
  }
  void TearDown() override { upstream->stop(); }

  int below(int bound) { return static_cast<int>(random() % static_cast<unsigned>(bound)); }

  void sendList() {
    std::vector<policy::EndpointInfo> entries;
    for (int i = 0; i < kEndpointCount; ++i) {
      policy::EndpointInfo entry;
      entry.address = names[static_cast<std::size_t>(i)];
      entry.state = states[static_cast<std::size_t>(i)];
      entries.push_back(entry);
    }
    engine->updateEndpoints(EndpointListKind::replace, entries, [&] {
      upstream->removeAllEndpoints();
      for (int i = 0; i < kEndpointCount; ++i)
        if (const EndpointId id = idOf(i); id != policy::kNone)
          upstream->updateEndpoint(id, hosts[static_cast<std::size_t>(i)]->endpoint,
                                   states[static_cast<std::size_t>(i)] == EndpointState::active);
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
    const auto i = static_cast<std::size_t>(below(kEndpointCount));
    EndpointProcess& host = *hosts[i];
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
      states[i] = states[i] == EndpointState::active ? EndpointState::draining : EndpointState::active;
      return sendList();
    }
    if (what < 93) {  // replaced by another one, at the same address
      names[i] = host.uid + "-" + std::to_string(++generation);
      states[i] = EndpointState::active;
      return sendList();
    }
    if (what < 96) {  // closes what is idle
      for (auto& connection : host.connections)
        if (std::find(host.held.begin(), host.held.end(), connection) == host.held.end()) connection->close();
      return host.prune();
    }
    clock.at += std::chrono::milliseconds(20 + below(300));
    engine->wake();
  }

  void answer(EndpointProcess& host) {
    if (host.held.empty()) return;
    const auto connection = host.held[static_cast<std::size_t>(below(static_cast<int>(host.held.size())))];
    std::erase(host.held, connection);
    switch (below(8)) {
      case 0: return connection->reply(answerText(503, "X-Not-Run: 1\r\n", ""));
      case 1: return connection->reply(answerText(500, "", "no"));
      case 2: return connection->reply("garbage of no protocol\r\n\r\n");
      case 3: connection->reset(); return host.prune();
      case 4:
        return connection->reply(answerText(200, "Connection: close\r\n", connection->request.body()), true);
      default: return connection->reply(answerText(200, "", connection->request.body()));
    }
  }

  // The state of each side as text, for a difference that is reported.
  std::string describe() const {
    std::string text;
    for (int i = 0; i < kEndpointCount; ++i) {
      const EndpointId id = idOf(i);
      if (id == policy::kNone) {
        text += names[static_cast<std::size_t>(i)] + ": unknown\n";
        continue;
      }
      text += names[static_cast<std::size_t>(i)] + ": open " +
              std::to_string(engine->loadBalancer().openConnections(id)) + " upstream " +
              std::to_string(upstream->connectionsOf(id).open) + " established " +
              std::to_string(upstream->connectionsOf(id).established) + "\n";
    }
    return text + "calls " + std::to_string(engine->activeCalls()) + "\n";
  }

  // Connections are compared in sum: those of an endpoint that was renamed belong to no listed one.
  bool agrees() {
    std::size_t open = 0, held = 0, inFlight = 0;
    for (int i = 0; i < kEndpointCount; ++i) {
      open += hosts[static_cast<std::size_t>(i)]->openConnections();
      held += hosts[static_cast<std::size_t>(i)]->held.size();
      const EndpointId id = idOf(i);
      if (id == policy::kNone) continue;
      const EndpointConnections connections = upstream->connectionsOf(id);
      if (connections.open != engine->loadBalancer().openConnections(id)) return false;
      if (connections.open != connections.established) return false;  // one is still connecting
      inFlight += engine->loadBalancer().attemptsInFlight(id);
    }
    return open == upstream->connectionCount() && held >= inFlight;
  }
};

// 300 random steps: calls, answers of every kind, deaths, restarts, drains, replacements. In the end all
// endpoints serve again.
TEST_P(UpstreamConsistencyTest, StateAgreesWithWhatTheEndpointsSee) {
  for (int i = 0; i < kSteps; ++i) {
    step();
    ASSERT_TRUE(until([&] { return agrees(); })) << "step " << i << "\n" << describe();
    for (int index = 0; index < kEndpointCount; ++index) {
      const EndpointId id = idOf(index);
      if (id == policy::kNone) continue;
      const auto at = static_cast<std::size_t>(index);
      const EndpointStatus status = engine->endpointHealth().statusOf(id, clock.at);
      ASSERT_EQ(status.condition == EndpointCondition::draining, states[at] == EndpointState::draining)
          << "step " << i;
      // An unreachable one has accepted no connection since its refusal but that of a probe.
      if (status.condition == EndpointCondition::unreachable) {
        ASSERT_LE(upstream->connectionsOf(id).established,
                  std::min(engine->loadBalancer().attemptsInFlight(id), 1u))
            << i;
      }
    }
    ASSERT_EQ(engine->violations(), 0u);
    for (const auto& [ticket, count] : sink.replies) ASSERT_EQ(count, 1) << "call " << ticket;
  }
  // In the end all endpoints serve: each is found again by probes alone, and each call has exactly one reply.
  for (int i = 0; i < kEndpointCount; ++i) {
    states[static_cast<std::size_t>(i)] = EndpointState::active;
    if (!hosts[static_cast<std::size_t>(i)]->listening()) hosts[static_cast<std::size_t>(i)]->listen();
  }
  sendList();
  std::set<int> reached;
  const auto answerAll = [&] {
    for (int index = 0; index < kEndpointCount; ++index)
      for (const auto& connection : std::exchange(hosts[static_cast<std::size_t>(index)]->held, {})) {
        reached.insert(index);
        connection->reply(answerText(200, "", connection->request.body()));
      }
  };
  for (int i = 0;
       i < 2000 && (reached.size() < kEndpointCount || engine->endpointHealth().unreachableCount() > 0);
       ++i) {
    clock.at += 20ms;
    engine->wake();
    call();
    ASSERT_TRUE(until([&] {
      answerAll();
      return engine->activeCalls() == 0;
    }));
  }
  EXPECT_EQ(reached.size(), static_cast<std::size_t>(kEndpointCount));
  EXPECT_EQ(engine->endpointHealth().unreachableCount(), 0u);
  EXPECT_EQ(sink.replies.size(), calls);
  for (const auto& [ticket, count] : sink.replies) EXPECT_EQ(count, 1) << "call " << ticket;
}

INSTANTIATE_TEST_SUITE_P(Seeds, UpstreamConsistencyTest, ::testing::Range(1u, 41u));

}  // namespace
}  // namespace cairnjunction::testing

// Tests the upstream, the endpoint health and the load balancer together, over loopback sockets, with random
// events and faults: after each step their state agrees with that of the endpoints. The random choices are
// reproducible by the seed.
//
// After each step the event loop runs until both sides agree, so the test waits only for the kernel to
// deliver and never for a fixed time.
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

// The process of an endpoint, which the test can stop and restart. Its requests wait until the test answers
// them.
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
  // Resets all connections and refuses new ones.
  void terminate() {
    acceptor_.reset();
    for (auto& connection : connections) connection->reset();
    prune();
  }
  // Removes closed connections.
  void prune() {
    const auto isClosed = [](const auto& connection) {
      return !connection->open || connection->closedByPeer;
    };
    std::erase_if(connections, isClosed);
    std::erase_if(unanswered, isClosed);
  }
  std::size_t openConnections() {
    prune();
    return connections.size();
  }

  std::vector<std::shared_ptr<PeerConnection>> connections;
  std::vector<std::shared_ptr<PeerConnection>> unanswered;  // those of them with an unanswered request

 private:
  void accept() {
    acceptor_->async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) return;
      connections.push_back(std::make_shared<PeerConnection>(
          std::move(socket),
          [this](PeerConnection& connection) { unanswered.push_back(connection.shared_from_this()); }));
      connections.back()->read();
      accept();
    });
  }

  asio::io_context& io_;
  const ReservedPort port_;  // reserved, so that listen() gets the same port again after terminate()
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
    std::map<std::uint64_t, int> replies;  // number of replies by frontend token
    void onReply(std::uint64_t frontendToken, Reply) override { ++replies[frontendToken]; }
  };

  std::mt19937 random{GetParam()};
  Clock clock;
  Sink sink;
  std::vector<std::unique_ptr<EndpointProcess>> processes;
  std::vector<EndpointState> states = std::vector<EndpointState>(kEndpointCount, EndpointState::active);
  std::vector<std::string> names;  // in the list; a process gets a new name when its endpoint is replaced
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
      processes.push_back(std::make_unique<EndpointProcess>(io, i));
      names.push_back(processes.back()->uid);
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
          upstream->updateEndpoint(id, processes[static_cast<std::size_t>(i)]->endpoint,
                                   states[static_cast<std::size_t>(i)] == EndpointState::active);
    });
  }
  // The id of the endpoint with the name of a process; kNone if the load balancer does not know it.
  EndpointId idOf(int process) const {
    return engine->findEndpoint(names[static_cast<std::size_t>(process)]);
  }

  void sendCall() {
    Call call;
    call.externalId = "c" + std::to_string(++calls);
    call.attributes.classIndex = static_cast<std::uint32_t>(below(2));
    call.attributes.timeRemaining = 20s;
    call.message.operation = "read";
    call.message.target = "/read";
    call.message.body = call.externalId;
    engine->accept(std::move(call), sink, calls);
  }

  // One random event, at a random process.
  void step() {
    const auto i = static_cast<std::size_t>(below(kEndpointCount));
    EndpointProcess& process = *processes[i];
    process.prune();
    const int percent = below(100);
    if (percent < 45) return sendCall();
    if (percent < 75) return answer(process);
    if (percent < 80) return process.terminate();
    if (percent < 88) {
      if (!process.listening()) process.listen();
      return;
    }
    if (percent < 91) {  // drained by the list, or active again
      states[i] = states[i] == EndpointState::active ? EndpointState::draining : EndpointState::active;
      return sendList();
    }
    if (percent < 93) {  // replaced by another endpoint at the same address
      names[i] = process.uid + "-" + std::to_string(++generation);
      states[i] = EndpointState::active;
      return sendList();
    }
    if (percent < 96) {  // closes its idle connections
      for (auto& connection : process.connections)
        if (std::find(process.unanswered.begin(), process.unanswered.end(), connection) ==
            process.unanswered.end())
          connection->close();
      return process.prune();
    }
    clock.at += std::chrono::milliseconds(20 + below(300));
    engine->wake();
  }

  // Answers a random request of the process in a random way.
  void answer(EndpointProcess& process) {
    if (process.unanswered.empty()) return;
    const int index = below(static_cast<int>(process.unanswered.size()));
    const auto connection = process.unanswered[static_cast<std::size_t>(index)];
    std::erase(process.unanswered, connection);
    switch (below(8)) {
      case 0: return connection->reply(answerText(503, "X-Not-Run: 1\r\n", ""));
      case 1: return connection->reply(answerText(500, "", "no"));
      case 2: return connection->reply("garbage of no protocol\r\n\r\n");
      case 3: connection->reset(); return process.prune();
      case 4:
        return connection->reply(answerText(200, "Connection: close\r\n", connection->request.body()), true);
      default: return connection->reply(answerText(200, "", connection->request.body()));
    }
  }

  // The state of the load balancer and of the upstream as text, for the message of a failure.
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

  // Whether the state of the engine and the upstream agrees with that of the processes. Connections are
  // compared in total, since those of a replaced endpoint belong to no listed one.
  bool agrees() {
    std::size_t open = 0, unanswered = 0, inFlight = 0;
    for (int i = 0; i < kEndpointCount; ++i) {
      open += processes[static_cast<std::size_t>(i)]->openConnections();
      unanswered += processes[static_cast<std::size_t>(i)]->unanswered.size();
      const EndpointId id = idOf(i);
      if (id == policy::kNone) continue;
      const EndpointConnections connections = upstream->connectionsOf(id);
      if (connections.open != engine->loadBalancer().openConnections(id)) return false;
      if (connections.open != connections.established) return false;  // a connection is still being opened
      inFlight += engine->loadBalancer().attemptsInFlight(id);
    }
    return open == upstream->connectionCount() && unanswered >= inFlight;
  }
};

// 300 random steps: calls, answers of every kind, terminations, restarts, drains, replacements. Afterwards
// all endpoints serve again.
TEST_P(UpstreamConsistencyTest, StateAgreesWithThatOfTheEndpoints) {
  for (int i = 0; i < kSteps; ++i) {
    step();
    ASSERT_TRUE(until([&] { return agrees(); })) << "step " << i << "\n" << describe();
    for (int index = 0; index < kEndpointCount; ++index) {
      const EndpointId id = idOf(index);
      if (id == policy::kNone) continue;
      const EndpointState state = states[static_cast<std::size_t>(index)];
      const EndpointStatus status = engine->endpointHealth().statusOf(id, clock.at);
      ASSERT_EQ(status.condition == EndpointCondition::draining, state == EndpointState::draining)
          << "step " << i;
      // Since its refusal an unreachable endpoint has accepted at most the connection of a probe.
      if (status.condition == EndpointCondition::unreachable) {
        ASSERT_LE(upstream->connectionsOf(id).established,
                  std::min(engine->loadBalancer().attemptsInFlight(id), 1u))
            << i;
      }
    }
    ASSERT_EQ(engine->violations(), 0u);
    for (const auto& [frontendToken, count] : sink.replies) ASSERT_EQ(count, 1) << "call " << frontendToken;
  }
  // All endpoints serve again: probes alone find each of them, and each call gets exactly one reply.
  for (int i = 0; i < kEndpointCount; ++i) {
    states[static_cast<std::size_t>(i)] = EndpointState::active;
    if (!processes[static_cast<std::size_t>(i)]->listening())
      processes[static_cast<std::size_t>(i)]->listen();
  }
  sendList();
  std::set<int> reached;
  const auto answerAll = [&] {
    for (int index = 0; index < kEndpointCount; ++index)
      for (const auto& connection :
           std::exchange(processes[static_cast<std::size_t>(index)]->unanswered, {})) {
        reached.insert(index);
        connection->reply(answerText(200, "", connection->request.body()));
      }
  };
  for (int i = 0;
       i < 2000 && (reached.size() < kEndpointCount || engine->endpointHealth().unreachableCount() > 0);
       ++i) {
    clock.at += 20ms;
    engine->wake();
    sendCall();
    ASSERT_TRUE(until([&] {
      answerAll();
      return engine->activeCalls() == 0;
    }));
  }
  EXPECT_EQ(reached.size(), static_cast<std::size_t>(kEndpointCount));
  EXPECT_EQ(engine->endpointHealth().unreachableCount(), 0u);
  EXPECT_EQ(sink.replies.size(), calls);
  for (const auto& [frontendToken, count] : sink.replies) EXPECT_EQ(count, 1) << "call " << frontendToken;
}

INSTANTIATE_TEST_SUITE_P(Seeds, UpstreamConsistencyTest, ::testing::Range(1u, 41u));

}  // namespace
}  // namespace cairnjunction::testing

// One gateway process: connects engine, frontends, upstream and discovery; reload and graceful shutdown.
#include "app/gateway.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "http/upstream.hpp"
#include "jsonrpc/upstream.hpp"

namespace cairnjunction {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using policy::Duration;
using policy::EndpointId;
using policy::EndpointListKind;
using policy::EndpointState;
using policy::Timestamp;
using Clock = std::chrono::steady_clock;

// Part of the memory (1/n) for requests of HTTP clients, for responses that they have not read, and for what
// HTTP endpoints have sent.
constexpr std::size_t kBodyPart = 4;
constexpr std::size_t kResponsePart = 8;
// Part of the memory (1/n) for JSON-RPC's texts and responses; and the largest body, in bytes, for workers
// that speak JSON-RPC, since it becomes one frame.
constexpr std::size_t kTextPart = 8;
constexpr std::uint64_t kJsonBodyMost = 64 << 10;
// Client requests use at most a third (1/n) of the descriptors. Three quarters of that third may be held by
// connections that have sent a request; a quarter stays free for new ones.
constexpr std::size_t kClientPart = 3;
constexpr std::size_t kKeptNum = 3, kKeptDen = 4;
// Descriptors reserved for listener, discovery, event loop, standard streams and libraries.
constexpr std::size_t kOwnDescriptors = 32;

std::size_t shareOf(std::size_t sockets, std::size_t part, std::size_t of) {
  return (sockets - kOwnDescriptors) * part / of;
}

// `memory`: what responses are charged to.
HttpUpstream::Limits hostLimits(const Config& config, const SilenceSettings& silence,
                                std::shared_ptr<MemoryAccount> memory) {
  return {shareOf(config.sockets, 2, 5),           config.connectTimeout, config.module.idleTimeout, silence,
          (config.memoryMb << 20) / kResponsePart, std::move(memory)};
}

// With two frontends each gets half of what a single one gets.
std::size_t clientConnections(const Config& config, bool both) {
  return shareOf(config.sockets, 3, 5) / (both ? 2 : 1);
}

// Connections that have sent a request; above it idle keep-alive connections are closed
// (HttpServer::Limits::kept).
std::size_t keptConnections(const Config& config) {
  return config.sockets / kClientPart * kKeptNum / kKeptDen;
}

// The load balancer's settings for this gateway. HTTP connections carry one request at a time; only JSON-RPC
// workers take several.
policy::Settings moduleSettings(const Config& config, const jsonrpc::Settings& jsonRpc) {
  policy::Settings settings = config.module;
  // An HTTP client holds one connection for each request in flight. If all client connections were in use,
  // new clients would fail to connect whatever the priority of their requests. The in-flight limit lies below
  // the number of client connections, so the cutoff rises first: requests of the lowest priority are rejected
  // at once and free their connections.
  if (!jsonRpc.listen) settings.maxInFlight = static_cast<std::uint32_t>(config.sockets / kClientPart);
  if (jsonRpc.workers.jsonRpc) settings.streamsPerConnection = jsonRpc.workers.streams;
  return settings;
}

HttpServer::Limits clientLimits(const Config& config, HttpServer::Limits waits,
                                const jsonrpc::Settings& jsonRpc) {
  const bool both = jsonRpc.listen.has_value();
  waits.connections = std::min(waits.connections, clientConnections(config, both));
  waits.kept = std::min(waits.kept, keptConnections(config));
  if (jsonRpc.workers.jsonRpc) waits.bodyMost = std::min(waits.bodyMost, kJsonBodyMost);
  waits.bodyBytes = std::min(waits.bodyBytes, (config.memoryMb << 20) / kBodyPart);
  waits.responseBytes = std::min(waits.responseBytes, (config.memoryMb << 20) / kResponsePart);
  return waits;
}

}  // namespace

Gateway::Gateway(asio::io_context& io, const Config& config, Waits waits,
                 std::function<void(std::string)> log, const jsonrpc::Settings& jsonRpc,
                 std::shared_ptr<const route::Router> router, const fleet::Settings* fleet)
    : io_(io),
      unixStart_(std::chrono::system_clock::now()),
      settings_(moduleSettings(config, jsonRpc)),
      jsonRpcSettings_(jsonRpc),
      waits_(waits),
      shared_(config.acceptFd >= 0),
      log_(std::move(log)),
      memoryLog_([this](const std::string& line) { log_(line); }),
      upstream_(makeUpstream(config)),
      engine_(settings_, *this, *upstream_),
      discovery_(io, config.discovery,
                 {[this](const EndpointList& list) { fromDiscovery(list); }, [this] { discoveryFailed(); },
                  [this] { engine_.resyncFailed(); },
                  [this] {
                    if (fleet_) fleet_->discoveryFailed();
                  }},
                 waits.discovery,
                 settings_.pollDiscovery ? DiscoveryClient::ListSource::polled
                                         : DiscoveryClient::ListSource::pushed),
      waker_(io),
      drainTimer_(io),
      pools_(router ? std::make_unique<Pools>(
                          io, std::move(router), engine_, hostLimits(config, waits_.silence, memory_),
                          settings_, config.sockets / kClientPart, (config.memoryMb << 20) / kBodyPart,
                          [this](const std::string& line) { log_(line); })
                    : nullptr),
      http_(
          io, {config.listen, config.acceptFd}, clientLimits(config, waits.clients, jsonRpc),
          settings_.tenants, engine_, [this] { return ready_ && !draining_; }, pools_.get(), memory_),
      memoryMonitor_(io, memory_, config.memoryMb << 20,
                     [this](const std::string& line) { memoryLog_.log(now(), line); }) {
  http_.server().onMemoryShed = [this](const std::string& line) { memoryLog_.log(now(), line); };
  upstream_->onConnections(
      [this](EndpointId host, EndpointConnections now) { engine_.connectionsChanged(host, now); });
  if (jsonRpcSettings_.listen) {
    jsonrpc::FrontendLimits& limits = jsonRpcSettings_.limits;
    limits.connections = std::min(limits.connections, clientConnections(config, true));
    limits.bytes = std::min(limits.bytes, (config.memoryMb << 20) / kTextPart);
    // Call ids begin with this name and go into headers to HTTP workers, so it must hold visible characters
    // only.
    std::string prefix = config.name;
    std::replace_if(
        prefix.begin(), prefix.end(), [](char c) { return c <= ' ' || c >= 0x7f; }, '_');
    // Unique for each start: workers may still remember call ids of the previous process.
    const auto born =
        std::chrono::duration_cast<std::chrono::microseconds>(unixStart_.time_since_epoch()).count();
    jsonRpc_ = std::make_unique<jsonrpc::Frontend>(io, jsonRpcSettings_, engine_,
                                                   prefix + "-" + std::to_string(born) + "-", memory_);
  }
  if (config.known) discovery_.setKnownVersion(config.known->version);
  if (fleet)
    fleet_ = std::make_unique<FleetEndpointLists>(io, *fleet, config.name, discovery_, engine_,
                                                  config.discovery, config.known, !settings_.pollDiscovery,
                                                  [this](const EndpointList& list) { told(list); });
  // The load balancer begins to poll discovery once it has a list, even an empty one.
  told(config.known ? *config.known : EndpointList{0, true, {}}, EndpointListKind::restored);
  // Where endpoint lists are pushed, the load balancer never polls, but the list that discovery has now
  // already counts as notified. Without this first poll the gateway would use an old list until the next
  // push.
  if (!settings_.pollDiscovery) pollEndpoints();
  if (config.mgmt)
    adminServer_ = std::make_unique<admin::AdminServer>(
        io, *config.mgmt, [this](std::string_view line) { return answerOperator(line); });
}

Gateway::~Gateway() {
  upstream_->stop();
  if (pools_) pools_->stop();
  discovery_.stop();
}

std::unique_ptr<EndpointUpstream> Gateway::makeUpstream(const Config& config) {
  const auto ended = [this](AttemptOutcome end) { engine_.attemptEnded(std::move(end)); };
  if (!jsonRpcSettings_.workers.jsonRpc) {
    auto upstream = std::make_unique<HttpUpstream>(
        io_, hostLimits(config, waits_.silence, memory_), ended,
        ResponseEvents{[this](AttemptOutcome started) { engine_.responseStarted(std::move(started)); },
                       [this](const AttemptOutcome& delayed) { engine_.responseDelayed(delayed); }});
    limitUpstream_ = [this, to = upstream.get()](const Config& c) {
      to->setLimits(hostLimits(c, waits_.silence, memory_));
    };
    unsolicitedBytes_ = [of = upstream.get()] { return of->unsolicitedBytes(); };
    upstream->onUnsolicitedBytes([this](const UnsolicitedBytes& found) {
      if (found.first) log_(logLine(found, engine_.addressOf(found.endpoint)));
    });
    return upstream;
  }
  jsonrpc::Upstream::Limits limits;
  const HttpUpstream::Limits as = hostLimits(config, waits_.silence, memory_);
  limits.connections = as.connections;
  limits.connectTimeout = as.connectTimeout;
  limits.idleClose = as.idleClose;
  limits.streams = jsonRpcSettings_.workers.streams;
  limits.form = jsonRpcSettings_.workers.form;
  auto upstream = std::make_unique<jsonrpc::Upstream>(
      io_, limits, ended, [this](const AttemptOutcome& delayed) { engine_.responseDelayed(delayed); });
  limitUpstream_ = [this, to = upstream.get()](const Config& c) {
    const HttpUpstream::Limits now = hostLimits(c, waits_.silence, memory_);
    to->setLimits(now.connections, now.connectTimeout, now.idleClose);
  };
  return upstream;
}

// --- Clock ----------------------------------------------------------------------------------------------

Timestamp Gateway::now() const { return clock_.now(); }

// Uses one fixed offset between the clocks. If it changed, an endpoint's start time would move and the load
// balancer would take the endpoint for a new process.
Timestamp Gateway::moduleTime(std::int64_t unixMs) const {
  if (unixMs <= 0) return Timestamp{};
  const Timestamp at =
      LoadBalancerClock::kStart + (std::chrono::milliseconds(unixMs) - unixStart_.time_since_epoch());
  return std::max(at, Timestamp{});
}

void Gateway::wakeAt(Timestamp at) {
  wakeAt_ = at;
  holdUps_.onTimerSet(at);
  waker_.expires_at(clock_.at(at));
  waker_.async_wait(lifetime_.guard([this](error_code ec) {
    if (ec || now() < wakeAt_) return;
    holdUps_.onTimerFired(now());
    engine_.wake();
  }));
}

// --- Discovery, and the fleet before it -------------------------------------------------------------------

void Gateway::pollEndpoints() {
  if (fleet_) fleet_->subscribe();
  else discovery_.watch();
}

void Gateway::requestResync() {
  if (fleet_) fleet_->resync();
  else discovery_.refresh();
}

void Gateway::fromDiscovery(const EndpointList& list) {
  if (fleet_) fleet_->fromDiscovery(list);
  else told(list);
}

void Gateway::discoveryFailed() {
  if (fleet_) fleet_->discoveryFailed();
  engine_.updateEndpoints(EndpointListKind::unavailable, {});
}

// --- Endpoints --------------------------------------------------------------------------------------------

void Gateway::told(const EndpointList& list) {
  told(list, list.full ? EndpointListKind::replace : EndpointListKind::update);
}

void Gateway::told(const EndpointList& list, EndpointListKind kind) {
  std::vector<policy::EndpointInfo> entries;
  for (const DiscoveredEndpoint& host : list.endpoints) {
    policy::EndpointInfo e;
    // The load balancer identifies an endpoint by its uid, which is the same at all gateways and stays when
    // the address changes.
    e.address = host.uid;
    e.zone = host.zone;
    e.machineKind = host.machineKind;
    e.cell = host.cell;
    e.weight = host.weight;
    e.startedAt = moduleTime(host.bootMs);
    e.state = host.state == DiscoveredState::serving    ? EndpointState::active
              : host.state == DiscoveredState::draining ? EndpointState::draining
                                                        : EndpointState::removed;
    entries.push_back(std::move(e));
  }
  const auto byAddress = [&] {
    if (kind != EndpointListKind::update) upstream_->removeAllEndpoints();
    for (const DiscoveredEndpoint& host : list.endpoints)
      if (const EndpointId id = engine_.findEndpoint(host.uid); id != policy::kNone)
        if (upstream_->updateEndpoint(id, host.endpoint, host.state == DiscoveredState::serving))
          engine_.endpointAddressChanged(id);
  };
  engine_.updateEndpoints(kind, entries, byAddress);
  ready_ = ready_ || !list.endpoints.empty() || kind != EndpointListKind::restored;
}

// --- Operators ------------------------------------------------------------------------------------------

admin::Figures Gateway::figures() const {
  admin::Figures figures;
  for (const Engine::ReplyCounts& tally : engine_.replyCounts())
    figures.classes.push_back({tally.className, tally.ok, tally.rejected, tally.failed});
  figures.dispatches = upstream_->attemptsWritten();
  std::uint64_t connectionsOpened = upstream_->connectionsOpened();
  std::uint64_t unsolicitedBytes = unsolicitedBytes_ ? unsolicitedBytes_() : 0;
  if (pools_)
    for (const auto& pool : pools_->fixed()) {
      const auto& tallies = pool->engine().replyCounts();
      for (std::size_t i = 0; i < tallies.size(); ++i) {
        const auto known = std::find_if(figures.classes.begin(), figures.classes.end(),
                                        [&](const auto& c) { return c.name == tallies[i].className; });
        if (known == figures.classes.end()) continue;
        known->success += tallies[i].ok;
        known->overload += tallies[i].rejected;
        known->error += tallies[i].failed;
      }
      figures.dispatches += pool->upstream().attemptsWritten();
      connectionsOpened += pool->upstream().connectionsOpened();
      unsolicitedBytes += pool->upstream().unsolicitedBytes();
    }
  figures.concurrent = engine_.awaitingReply();
  const Engine::EndpointCounts targets = engine_.endpointCounts();
  figures.targets = targets.listed;
  figures.targetsDisabled = targets.avoided;
  figures.reloadSuccess = reloads_;
  figures.reloadFailure = reloadFailures_;
  if (fleet_) figures.more = fleet_->figures();
  figures.more.emplace_back("list_stale", discovery_.stale());
  figures.more.emplace_back("connections_opened", connectionsOpened);
  figures.more.emplace_back("unsolicited_bytes", unsolicitedBytes);
  appendConnectionFigures(figures);
  appendMemoryFigures(figures);
  return figures;
}

void Gateway::appendConnectionFigures(admin::Figures& figures) const {
  const HttpServer& server = http_.server();
  figures.more.emplace_back("client_connections", server.connections());
  for (std::size_t i = 0; i < kHttpCloseReasonNames.size(); ++i)
    figures.more.emplace_back("closed." + std::string(kHttpCloseReasonNames[i]),
                              server.closes(static_cast<HttpCloseReason>(i)));
  for (std::size_t i = 0; i < kRequestErrorNames.size(); ++i)
    figures.more.emplace_back("refused." + std::string(kRequestErrorNames[i]),
                              server.rejections(static_cast<RequestError>(i)));
}

void Gateway::appendMemoryFigures(admin::Figures& figures) const {
  figures.more.emplace_back("memory.requests", memory_->held(MemoryOwner::clientRequests));
  figures.more.emplace_back("memory.responses", memory_->held(MemoryOwner::clientResponses));
  figures.more.emplace_back("memory.endpoints", memory_->held(MemoryOwner::endpointResponses));
  figures.more.emplace_back("memory.jsonrpc", memory_->held(MemoryOwner::jsonRpcClients));
}

std::string Gateway::answerOperator(std::string_view line) const {
  if (line == "check")
    return ready_ && !draining_ ? "SUCCESS\n" : draining_ ? "FAILURE stopping\n" : "FAILURE no hosts yet\n";
  if (line == "vars") return admin::reportText(figures()) + "EOT\n";
  return "FAILURE unknown call: check, vars\n";
}

// --- Reload and drain -----------------------------------------------------------------------------------

// Listeners change at a restart only, and so do JSON-RPC's settings other than the classes of its methods.
void Gateway::reload(const Config& config, const jsonrpc::Settings& jsonRpc) {
  const policy::Settings next = moduleSettings(config, jsonRpcSettings_);
  if ((pools_ && !pools_->mayConfigure(next)) || !engine_.configure(next))
    throw BadConfig("grades: more classes than there is room for");
  settings_ = next;
  if (pools_) pools_->configure(next);
  http_.setTenants(settings_.tenants);
  // Assigned in place, since the frontend keeps references to the methods. The index of a method's class is
  // that in the file until here, and the engine's own from here on.
  for (std::size_t i = 0; i < jsonRpcSettings_.methods.size() && i < jsonRpc.methods.size(); ++i) {
    jsonrpc::MethodSettings& method = jsonRpcSettings_.methods[i];
    method = jsonRpc.methods[i];
    method.classIndex = engine_.classes().current().at(next.classes[method.classIndex].name);
  }
  ++reloads_;
  if (fleet_) fleet_->moveTo(config.discovery);
  else discovery_.moveTo(config.discovery);
  limitUpstream_(config);
  memoryMonitor_.setLimit(config.memoryMb << 20);
  http_.server().setLimits(clientLimits(config, waits_.clients, jsonRpcSettings_));
}

void Gateway::drain(std::function<void()> done) {
  if (draining_) return;
  draining_ = true;
  drained_ = std::move(done);
  if (fleet_) fleet_->leave();
  const Timestamp noticedAt = now();
  shutdown_ = shutdownSchedule(noticedAt - holdUps_.possibleDelay(noticedAt), settings_.classes);
  // If the listening socket is shared, the next process serves already, so each response closes its
  // connection and clients reconnect there. The same holds at once where the deadlines leave no time to go on
  // serving.
  if (shared_ || !shutdown_.servesOn()) http_.server().lastAnswers();
  engine_.expectKillAt(shutdown_.killAt);
  if (pools_) pools_->expectKillIn(shutdown_.killAt - now());
  logShutdownStep("begun");
  callAt(shutdown_.stopListeningAt, &Gateway::onAcceptingOver);
}

// The next step of a graceful shutdown.
void Gateway::callAt(Timestamp time, void (Gateway::*step)()) {
  drainTimer_.expires_at(clock_.at(time));
  drainTimer_.async_wait(lifetime_.guard([this, step](error_code ec) {
    if (!ec) (this->*step)();
  }));
}

void Gateway::onAcceptingOver() {
  const Duration left = shutdown_.lateDeadline - now();
  engine_.limitTimeRemaining(left);
  if (pools_) pools_->limitTimeRemaining(left);
  logShutdownStep("late-calls-limited");
  if (shared_) return finishDrain();
  http_.server().stopListening();
  callAt(shutdown_.stopServingAt, &Gateway::finishDrain);
}

// How far a graceful shutdown has come, and what is open then.
void Gateway::logShutdownStep(std::string_view step) {
  std::size_t calls = engine_.activeCalls(), awaiting = engine_.awaitingReply();
  if (pools_)
    for (const auto& pool : pools_->fixed()) {
      calls += pool->engine().activeCalls();
      awaiting += pool->engine().awaitingReply();
    }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(shutdown_.killAt - now());
  std::string line = "shutdown-step step=" + std::string(step);
  line += " kill_in_ms=" + std::to_string(left.count());
  line += " calls=" + std::to_string(calls) + " awaiting_reply=" + std::to_string(awaiting);
  line += " http_connections=" + std::to_string(http_.server().connections());
  if (jsonRpc_) line += " jsonrpc_connections=" + std::to_string(jsonRpc_->connections());
  log_(line);
}

void Gateway::finishDrain() {
  logShutdownStep("serving-ended");
  http_.server().lastAnswers();
  jsonRpcEmpty_ = !jsonRpc_;
  http_.server().onEmpty = [this] { emptied(httpEmpty_); };
  http_.server().stopAccepting();
  if (jsonRpc_) jsonRpc_->stopAccepting([this] { emptied(jsonRpcEmpty_); });
  callAt(shutdown_.lateDeadline, &Gateway::stopReading);
}

// What is not read whole by now is not taken, so that half a text does not hold the process.
void Gateway::stopReading() {
  logShutdownStep("reading-ended");
  const std::size_t rejected = http_.server().stopReading();
  if (rejected > 0) log_("shutdown-rejected partial_requests=" + std::to_string(rejected));
  if (jsonRpc_) jsonRpc_->stopReading();
}

void Gateway::emptied(bool& front) {
  front = true;
  if (!httpEmpty_ || !jsonRpcEmpty_ || !drained_) return;
  logShutdownStep("ended");
  std::exchange(drained_, nullptr)();
}

}  // namespace cairnjunction

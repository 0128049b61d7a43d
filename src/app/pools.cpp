// Pools of a routes file: settings, server addresses and passive health of fixed pools; bounds that all
// share.
#include "app/pools.hpp"

#include <algorithm>
#include <climits>

namespace cairnjunction {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using policy::EndpointListKind;
using policy::Settings;
using policy::Timestamp;
using Clock = std::chrono::steady_clock;

constexpr int kRefused = 503;

// Settings of a fixed pool: it never polls discovery, and its in-flight limit is `calls`.
Settings poolSettings(Settings settings, const route::Pool& pool, std::uint64_t calls) {
  settings.pollDiscovery = false;
  settings.maxPollInterval = {};
  settings.seed ^= std::hash<std::string>{}(pool.name);
  settings.maxInFlight = static_cast<std::uint32_t>(std::min<std::uint64_t>(calls, UINT32_MAX));
  return settings;
}

// Lowers `time` to the shortest connect timeout among the pool's locations.
void shorten(const std::vector<route::Location>& locations, const std::string& pool, policy::Duration& time) {
  for (const route::Location& location : locations) {
    if (location.proxy && location.proxy->pool == pool && location.proxy->connectTimeout)
      time = std::min<policy::Duration>(time, *location.proxy->connectTimeout);
    shorten(location.nested, pool, time);
  }
}

HttpUpstream::Limits poolLimits(HttpUpstream::Limits limits, const route::Pool& pool,
                                const route::Routes& routes) {
  for (const route::Server& server : routes.servers)
    shorten(server.locations, pool.name, limits.connectTimeout);
  return limits;
}

asio::ip::tcp::endpoint addressOf(asio::io_context& io, const route::Pool& pool, const std::string& text) {
  const std::size_t colon = text.rfind(':');
  std::string host = text.substr(0, colon), port = colon == std::string::npos ? "80" : text.substr(colon + 1);
  if (host.size() > 1 && host.front() == '[') host = host.substr(1, host.size() - 2);
  error_code ec;
  asio::ip::tcp::resolver resolver(io);
  const auto found = resolver.resolve(host, port, ec);
  if (ec || found.empty())
    throw BadConfig("pool '" + pool.name + "': '" + text + "' has no address: " + ec.message());
  return found.begin()->endpoint();
}

}  // namespace

FixedPool::FixedPool(asio::io_context& io, const route::Pool& pool, std::size_t index,
                     pools::SharedQuota& descriptors, const HttpUpstream::Limits& limits,
                     const Settings& settings, std::function<void(std::string)> log)
    : io_(io),
      name_(pool.name),
      index_(index),
      descriptors_(descriptors),
      log_(std::move(log)),
      plan_(pool.servers),
      upstream_(io, limits, [this](AttemptOutcome end) { ended(std::move(end)); },
                {[this](AttemptOutcome started) { engine_.responseStarted(std::move(started)); },
                 [this](const AttemptOutcome& delayed) { engine_.responseDelayed(delayed); }}),
      engine_(settings, *this, upstream_),
      waker_(io),
      planTimer_(io) {
  upstream_.shareDescriptors(this);
  upstream_.onUnsolicitedBytes([this](const UnsolicitedBytes& found) {
    if (found.first) this->log(logLine(found, engine_.addressOf(found.endpoint)));
  });
  upstream_.onConnections(
      [this](policy::EndpointId host, EndpointConnections now) { engine_.connectionsChanged(host, now); });
  for (std::size_t i = 0; i < pool.servers.size(); ++i) {
    const route::PoolServer& s = pool.servers[i];
    const int most = s.connectionsMost > 0
                         ? static_cast<int>(std::min<std::uint32_t>(s.connectionsMost, INT_MAX))
                         : INT_MAX;
    // An address that is listed twice counts as two servers, so the index is part of the uid.
    servers_.push_back({s.address + "#" + std::to_string(i), addressOf(io, pool, s.address), most,
                        static_cast<double>(s.weight)});
  }
  tell(EndpointListKind::replace);
}

FixedPool::~FixedPool() { upstream_.stop(); }

Timestamp FixedPool::now() const { return clock_.now(); }

void FixedPool::wakeAt(Timestamp at) {
  wakeAt_ = at;
  waker_.expires_at(clock_.at(at));
  waker_.async_wait(lifetime_.guard([this](error_code ec) {
    if (!ec && now() >= wakeAt_) engine_.wake();
  }));
}

void FixedPool::ended(AttemptOutcome end) {
  const auto server = serverOf_.find(end.endpoint);
  if (server != serverOf_.end() &&
      plan_.onResult(now(), server->second, pools::isServerFailure(end.outcome, end.failureReason)))
    tellSoon();
  engine_.attemptEnded(std::move(end));
}

// An attempt may end while the engine carries out the load balancer's actions; an endpoint list handed in
// then would re-enter it. So the update is posted to the event loop, once for all changes of one turn.
void FixedPool::tellSoon() {
  if (std::exchange(telling_, true)) return;
  asio::post(io_, lifetime_.guard([this] {
    telling_ = false;
    tell(EndpointListKind::update);
  }));
}

void FixedPool::tell(EndpointListKind kind) {
  std::vector<policy::EndpointInfo> entries;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    policy::EndpointInfo e;
    e.address = servers_[i].uid;
    // Servers of equal weight count as one machine kind, whose speed the load balancer learns.
    e.machineKind = std::to_string(servers_[i].weight);
    e.weight = servers_[i].weight;
    e.maxInFlight = servers_[i].attemptsMost;
    e.state = plan_.offered()[i] ? policy::EndpointState::active : policy::EndpointState::draining;
    entries.push_back(std::move(e));
  }
  engine_.updateEndpoints(kind, entries, [&] {
    for (std::size_t i = 0; i < servers_.size(); ++i) {
      const policy::EndpointId id = engine_.findEndpoint(servers_[i].uid);
      if (id == policy::kNone) continue;
      serverOf_[id] = i;
      upstream_.updateEndpoint(id, servers_[i].endpoint, plan_.offered()[i]);
    }
  });
  planAt();
}

void FixedPool::planAt() {
  const auto at = plan_.nextReturnAt();
  if (!at) return;
  planTimer_.expires_at(clock_.at(*at));
  planTimer_.async_wait(lifetime_.guard([this](error_code ec) {
    if (ec) return;
    if (plan_.onTick(now())) tell(EndpointListKind::update);
    else planAt();
  }));
}

Pools::Pools(asio::io_context& io, std::shared_ptr<const route::Router> router, Engine& discovered,
             const HttpUpstream::Limits& limits, const Settings& settings, std::uint64_t calls,
             std::uint64_t bytes, const std::function<void(std::string)>& log)
    : router_(std::move(router)),
      callsMost_(calls),
      descriptors_(limits.connections, std::max<std::size_t>(router_->routes().pools.size(), 1)),
      calls_(calls, std::max<std::size_t>(router_->routes().pools.size(), 1)),
      bytes_(bytes, std::max<std::size_t>(router_->routes().pools.size(), 1)),
      limiter_(router_->routes()) {
  const auto& pools = router_->routes().pools;
  for (std::size_t i = 0; i < pools.size(); ++i) {
    indexOf_.emplace(pools[i].name, i);
    if (pools[i].source == route::Pool::Source::discovery) {
      engines_.push_back(&discovered);
      continue;
    }
    fixed_.push_back(std::make_unique<FixedPool>(io, pools[i], i, descriptors_,
                                                 poolLimits(limits, pools[i], router_->routes()),
                                                 poolSettings(settings, pools[i], calls), log));
    engines_.push_back(&fixed_.back()->engine());
  }
}

Engine* Pools::engineOf(std::string_view pool) {
  const auto known = indexOf_.find(pool);
  return known == indexOf_.end() ? nullptr : engines_[known->second];
}

int Pools::admit(const route::Decision& decision, std::uint64_t bytes, Hold& hold) {
  const std::size_t pool = indexOf_.find(decision.pool)->second;
  if (!calls_.acquire(pool, 1)) return kRefused;
  if (!bytes_.acquire(pool, bytes)) {
    calls_.release(pool, 1);
    return kRefused;
  }
  if (const std::optional<int> status =
          limiter_.admit(policy::Timestamp(Clock::now().time_since_epoch()), decision)) {
    calls_.release(pool, 1);
    bytes_.release(pool, bytes);
    return *status;
  }
  hold = {pool, bytes, decision.connections};
  return 0;
}

void Pools::over(const Hold& hold) {
  calls_.release(hold.pool, 1);
  bytes_.release(hold.pool, hold.bytes);
  limiter_.onRequestEnded(hold.connections);
}

bool Pools::mayConfigure(const Settings& settings) const {
  return std::all_of(fixed_.begin(), fixed_.end(),
                     [&](const auto& pool) { return pool->engine().mayConfigure(settings); });
}

void Pools::configure(const Settings& settings) {
  const auto& pools = router_->routes().pools;
  for (std::size_t i = 0, at = 0; i < pools.size(); ++i)
    if (pools[i].source == route::Pool::Source::fixed)
      fixed_[at++]->engine().configure(poolSettings(settings, pools[i], callsMost_));
}

void Pools::limitTimeRemaining(policy::Duration left) {
  for (const auto& pool : fixed_) pool->engine().limitTimeRemaining(left);
}

void Pools::expectKillIn(policy::Duration left) {
  for (const auto& pool : fixed_) pool->engine().expectKillAt(pool->engine().now() + left);
}

void Pools::stop() {
  for (const auto& pool : fixed_) pool->upstream().stop();
}

std::size_t Pools::connections() const {
  std::size_t n = 0;
  for (const auto& pool : fixed_) n += pool->upstream().connectionCount();
  return n;
}

}  // namespace cairnjunction

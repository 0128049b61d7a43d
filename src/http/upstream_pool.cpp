// The connections of an HTTP upstream.
#include "http/upstream_pool.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "upstream/idle_connection.hpp"

namespace cairnjunction {

using boost::asio::ip::tcp;
using policy::Duration;
using policy::EndpointId;
using Clock = HttpConnection::Clock;
namespace {

// Connections opened ahead for a distrusted endpoint, whose connections carry one request each.
constexpr std::size_t kMaxSpares = 32;
// Connections of an endpoint that may be in use while an attempt waits for another one of it.
constexpr std::size_t kMaxInUseToWait = 3;
constexpr Duration kMaxRoundTrip = std::chrono::milliseconds(30);

const char* nameOf(UnsolicitedAfter after) {
  switch (after) {
    case UnsolicitedAfter::connecting: return "connecting";
    case UnsolicitedAfter::response: return "response";
    case UnsolicitedAfter::responseLate: return "response-late";
    case UnsolicitedAfter::connectingOrResponse: return "connecting-or-response";
  }
  return "";
}
// Idle connections that have been silent for this many times the required silence are as good as any: of
// them the one used last is taken, so that few connections stay in use.
constexpr int kAmpleSilenceFactor = 4;

}  // namespace

std::string logLine(const UnsolicitedBytes& found, const std::string& endpoint) {
  using std::chrono::milliseconds;
  const auto silence = std::chrono::duration_cast<milliseconds>(found.silence).count();
  return "unsolicited-bytes endpoint=" + endpoint + " after=" + nameOf(found.after) +
         " silence_ms=" + std::to_string(silence);
}

HttpConnectionPool::HttpConnectionPool(boost::asio::io_context& io, const HttpConnectionLimits& limits,
                                       ConnectionCounts& counts, MakeConnection makeConnection)
    : limits_(limits),
      counts_(counts),
      makeConnection_(std::move(makeConnection)),
      idleCheck_(io, kIdleCheckInterval, [this] { closeOutdated(); }) {
  trust_.configure(limits.silence);
}

bool HttpConnectionPool::updateEndpoint(EndpointId endpoint, const tcp::endpoint& address, bool serving) {
  counts_.track(endpoint);
  return endpoints_.update(endpoint, address, serving, [](Endpoints::Entry& entry) {
    for (const auto& connection : std::exchange(entry.connections, {})) connection->close();
  });
}

void HttpConnectionPool::forget(EndpointId endpoint) {
  closeIdle(endpoint);
  endpoints_.erase(endpoint);
  trust_.forget(endpoint);
  counts_.untrack(endpoint);
}

void HttpConnectionPool::closeIdle(EndpointId endpoint) {
  Endpoints::Entry* const entry = endpoints_.find(endpoint);
  if (entry == nullptr) return;
  for (const auto& connection : std::exchange(entry->connections, {})) connection->close();
}

void HttpConnectionPool::stop() {
  idleCheck_.stop();
  unsolicitedBytesSeen_ = nullptr;
  for (const auto& connection : std::exchange(openingSpares_, {})) connection->close();
  endpoints_.forEach([](Endpoints::Entry& entry) {
    for (const auto& connection : std::exchange(entry.connections, {})) connection->close();
  });
}

HttpConnectionPool::ConnectionPtr HttpConnectionPool::acquire(Endpoints::Entry& entry, EndpointId endpoint) {
  ConnectionPtr connection = takeSilent(entry);
  const bool mustWait = !connection;
  const auto now = Clock::now();
  if (!connection) connection = takeSoonestSilent(entry, waitUntil(entry, endpoint, now));
  if (!connection) connection = open(endpoint);
  openSpares(entry, endpoint, mustWait);
  return connection;
}

// Until when an attempt rather waits for a connection than opens one. A new connection costs its endpoint
// work, so few attempts wait; but if many had to, more connections are needed anyway.
Clock::time_point HttpConnectionPool::waitUntil(const Endpoints::Entry& entry, EndpointId endpoint,
                                                Clock::time_point now) const {
  if (isAtLimit()) return Clock::time_point::max();
  const bool fewInUse = counts_.of(endpoint).open <= entry.connections.size() + kMaxInUseToWait;
  return now + (fewInUse ? limits_.silence.ofUsed : trust_.requiredSilence(endpoint, {}, now));
}

HttpConnectionPool::ConnectionPtr HttpConnectionPool::open(EndpointId endpoint) {
  if (!mayOpen()) return nullptr;
  counts_.onOpening(endpoint);
  return makeConnection_(endpoint);
}

// Opens connections for later attempts while new ones are of use only after a wait, or for one request only:
// one in the place of the connection that an attempt uses up, and one more where there are too few.
void HttpConnectionPool::openSpares(Endpoints::Entry& entry, EndpointId endpoint, bool attemptWaits) {
  const auto now = Clock::now();
  int spares = trust_.isSingleUse(endpoint, now) ? 1 : 0;
  if (attemptWaits && (spares > 0 || trust_.areNewInDoubt(now))) ++spares;
  for (; spares > 0; --spares) {
    if (isAtLimit() || entry.connections.size() >= kMaxSpares) return;
    const ConnectionPtr connection = open(endpoint);
    if (!connection) return;
    openingSpares_.insert(connection);
    connection->openSpare(entry.address);
  }
}

bool HttpConnectionPool::mayOpen() {
  if (isAtLimit() && !closeOldestIdle()) return false;
  if (descriptorQuota_ == nullptr || descriptorQuota_->acquire()) return true;
  // Closing one of our idle connections releases a descriptor.
  return closeOldestIdle() && descriptorQuota_->acquire();
}

Clock::time_point HttpConnectionPool::silentEnough(const HttpConnection& connection,
                                                   Clock::time_point now) const {
  const Duration required = trust_.requiredSilence(connection.endpoint(), connection.history(now), now);
  const auto silent = connection.silentSince() + required;
  if (connection.isUsed() || required == Duration::zero()) return silent;
  // What the endpoint sends as soon as it has accepted the connection arrives a round trip after that.
  return silent + std::min(connection.connectTime(), kMaxRoundTrip);
}

// The best one for a request now: of those with ample silence the one used last, otherwise the one that has
// been silent for longest.
HttpConnectionPool::ConnectionPtr HttpConnectionPool::takeSilent(Endpoints::Entry& entry) {
  for (;;) {
    const auto now = Clock::now();
    const auto isBetter = [&](const ConnectionPtr& left, const ConnectionPtr& right) {
      const auto isAmple = [&](const ConnectionPtr& connection) {
        return now - connection->silentSince() >=
               kAmpleSilenceFactor * (silentEnough(*connection, now) - connection->silentSince());
      };
      if (isAmple(left) != isAmple(right)) return isAmple(left);
      return isAmple(left) ? left->silentSince() >= right->silentSince()
                           : left->silentSince() < right->silentSince();
    };
    ConnectionPtr best;
    for (const ConnectionPtr& connection : entry.connections) {
      if (now < silentEnough(*connection, now)) continue;
      if (!best || isBetter(connection, best)) best = connection;
    }
    if (!best) return nullptr;
    if (closeIfUnusable(entry, best)) continue;
    std::erase(entry.connections, best);
    return best;
  }
}

// The one that will have been silent for long enough first, if that is so by then.
HttpConnectionPool::ConnectionPtr HttpConnectionPool::takeSoonestSilent(Endpoints::Entry& entry,
                                                                        Clock::time_point by) {
  for (;;) {
    const auto now = Clock::now();
    const auto soonest = std::min_element(entry.connections.begin(), entry.connections.end(),
                                          [&](const ConnectionPtr& left, const ConnectionPtr& right) {
                                            return silentEnough(*left, now) < silentEnough(*right, now);
                                          });
    if (soonest == entry.connections.end() || silentEnough(**soonest, now) > by) return nullptr;
    ConnectionPtr connection = *soonest;
    if (closeIfUnusable(entry, connection)) continue;
    std::erase(entry.connections, connection);
    return connection;
  }
}

// Closes an idle connection that can't be used any more. Returns whether it did.
bool HttpConnectionPool::closeIfUnusable(Endpoints::Entry& entry, const ConnectionPtr& connection) {
  const IdleInput input = connection->idleInput();
  if (input == IdleInput::silent && !isIdleTooLong(*connection)) return false;
  if (input == IdleInput::unsolicitedBytes) onUnsolicitedBytes(*connection);
  std::erase(entry.connections, connection);
  connection->close();
  return true;
}

void HttpConnectionPool::onUnsolicitedBytes(const HttpConnection& connection) {
  const auto now = Clock::now();
  const EndpointId endpoint = connection.endpoint();
  UnsolicitedBytes found{endpoint, connection.unsolicitedAfter(), now - connection.silentSince()};
  found.first = trust_.onUnsolicitedBytes(endpoint, found.after, now);
  if (found.after == UnsolicitedAfter::responseLate || found.after == UnsolicitedAfter::connectingOrResponse)
    closeUsedIdle(endpoint);
  if (unsolicitedBytesSeen_) unsolicitedBytesSeen_(found);
}

void HttpConnectionPool::closeUsedIdle(EndpointId endpoint) {
  Endpoints::Entry* const entry = endpoints_.find(endpoint);
  if (entry == nullptr) return;
  std::erase_if(entry->connections, [](const ConnectionPtr& idle) {
    if (idle->isUsed()) idle->close();
    return idle->isUsed();
  });
}

bool HttpConnectionPool::closeOldestIdle() {
  std::vector<ConnectionPtr>* oldest = nullptr;
  endpoints_.forEach([&](Endpoints::Entry& entry) {
    auto& idle = entry.connections;
    if (idle.empty()) return;
    if (oldest == nullptr || idle.front()->silentSince() < oldest->front()->silentSince()) oldest = &idle;
  });
  if (oldest == nullptr) return false;
  oldest->front()->close();
  oldest->erase(oldest->begin());
  return true;
}

bool HttpConnectionPool::isIdleTooLong(const HttpConnection& connection) const {
  return cairnjunction::isIdleTooLong(connection.silentSince(), Clock::now(), limits_.idleClose);
}

// Closes idle connections whose endpoint is no longer active, or would close them soon.
void HttpConnectionPool::closeOutdated() {
  endpoints_.forEach([this](Endpoints::Entry& entry) {
    std::erase_if(entry.connections, [&](const ConnectionPtr& connection) {
      if (entry.serving && !isIdleTooLong(*connection)) return false;
      connection->close();
      return true;
    });
  });
}

void HttpConnectionPool::addIdle(ConnectionPtr connection) {
  openingSpares_.erase(connection);
  Endpoints::Entry* const entry = endpoints_.find(connection->endpoint());
  if (entry != nullptr) entry->connections.push_back(std::move(connection));
}

void HttpConnectionPool::closeIdle(const ConnectionPtr& connection) {
  if (Endpoints::Entry* const entry = endpoints_.find(connection->endpoint()))
    std::erase(entry->connections, connection);
  connection->close();
}

void HttpConnectionPool::onClosed(HttpConnection& connection, bool established, bool onlyStreaming) {
  openingSpares_.erase(connection.shared_from_this());
  if (descriptorQuota_ != nullptr) descriptorQuota_->release();
  if (onlyStreaming) counts_.onExcludedClosed();
  else counts_.onClosed(connection.endpoint(), established);
}

}  // namespace cairnjunction

// The connections of an HTTP upstream.
#include "http/upstream_pool.hpp"

#include <algorithm>
#include <iterator>
#include <utility>
#include <vector>

#include "upstream/idle_connection.hpp"

namespace cairnjunction {

using boost::asio::ip::tcp;
using policy::EndpointId;
using Clock = std::chrono::steady_clock;

HttpConnectionPool::HttpConnectionPool(boost::asio::io_context& io, const HttpConnectionLimits& limits,
                                       ConnectionCounts& counts, MakeConnection makeConnection)
    : limits_(limits),
      counts_(counts),
      makeConnection_(std::move(makeConnection)),
      idleCheck_(io, kIdleCheckInterval, [this] { closeOutdated(); }) {}

bool HttpConnectionPool::updateEndpoint(EndpointId endpoint, const tcp::endpoint& address, bool serving) {
  counts_.track(endpoint);
  return endpoints_.update(endpoint, address, serving, [](Endpoints::Entry& entry) {
    for (const auto& connection : std::exchange(entry.connections, {})) connection->close();
  });
}

void HttpConnectionPool::forget(EndpointId endpoint) {
  closeIdle(endpoint);
  endpoints_.erase(endpoint);
  counts_.untrack(endpoint);
}

void HttpConnectionPool::closeIdle(EndpointId endpoint) {
  Endpoints::Entry* const entry = endpoints_.find(endpoint);
  if (entry == nullptr) return;
  for (const auto& connection : std::exchange(entry->connections, {})) connection->close();
}

void HttpConnectionPool::stop() {
  idleCheck_.stop();
  endpoints_.forEach([](Endpoints::Entry& entry) {
    for (const auto& connection : std::exchange(entry.connections, {})) connection->close();
  });
}

HttpConnectionPool::ConnectionPtr HttpConnectionPool::acquire(Endpoints::Entry& entry, EndpointId endpoint) {
  if (ConnectionPtr idle = takeIdle(entry)) return idle;
  if (!mayOpen()) return nullptr;
  counts_.onOpening(endpoint);
  return makeConnection_(endpoint);
}

bool HttpConnectionPool::mayOpen() {
  if (counts_.total() >= limits_.connections && !closeOldestIdle()) return false;
  if (descriptorQuota_ == nullptr || descriptorQuota_->acquire()) return true;
  // Closing one of our idle connections releases a descriptor.
  return closeOldestIdle() && descriptorQuota_->acquire();
}

HttpConnectionPool::ConnectionPtr HttpConnectionPool::takeIdle(Endpoints::Entry& entry) {
  auto& idle = entry.connections;
  const auto quietSince = Clock::now() - limits_.quiet;
  while (!idle.empty()) {
    // The most recently used one whose quiet period has passed, so that few connections stay in use; if there
    // is none, the one whose quiet period ends first.
    const auto quiet = std::find_if(idle.rbegin(), idle.rend(), [&](const ConnectionPtr& connection) {
      return connection->idleSince() <= quietSince;
    });
    const auto chosen = quiet == idle.rend() ? idle.begin() : std::prev(quiet.base());
    ConnectionPtr connection = std::move(*chosen);
    idle.erase(chosen);
    if (!isIdleTooLong(*connection) && connection->isUsable()) return connection;
    connection->close();
  }
  return nullptr;
}

bool HttpConnectionPool::closeOldestIdle() {
  std::vector<ConnectionPtr>* oldest = nullptr;
  endpoints_.forEach([&](Endpoints::Entry& entry) {
    auto& idle = entry.connections;
    if (idle.empty()) return;
    if (oldest == nullptr || idle.front()->idleSince() < oldest->front()->idleSince()) oldest = &idle;
  });
  if (oldest == nullptr) return false;
  oldest->front()->close();
  oldest->erase(oldest->begin());
  return true;
}

bool HttpConnectionPool::isIdleTooLong(const HttpConnection& connection) const {
  return cairnjunction::isIdleTooLong(connection.idleSince(), Clock::now(), limits_.idleClose);
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
  Endpoints::Entry* const entry = endpoints_.find(connection->endpoint());
  if (entry != nullptr) entry->connections.push_back(std::move(connection));
}

void HttpConnectionPool::closeIdle(const ConnectionPtr& connection) {
  if (Endpoints::Entry* const entry = endpoints_.find(connection->endpoint()))
    std::erase(entry->connections, connection);
  connection->close();
}

void HttpConnectionPool::onClosed(EndpointId endpoint, bool established, bool onlyStreaming) {
  if (descriptorQuota_ != nullptr) descriptorQuota_->release();
  if (onlyStreaming) counts_.onExcludedClosed();
  else counts_.onClosed(endpoint, established);
}

}  // namespace cairnjunction

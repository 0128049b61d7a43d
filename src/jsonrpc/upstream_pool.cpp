#include "jsonrpc/upstream_pool.hpp"

#include <boost/asio/post.hpp>
#include <utility>

#include "jsonrpc/upstream_connection.hpp"
#include "jsonrpc/worker_protocol.hpp"
#include "upstream/idle_connection.hpp"

namespace cairnjunction::jsonrpc {

using boost::asio::ip::tcp;
using policy::Duration;
using policy::EndpointId;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kReadSize = 64 << 10;  // bytes read from a connection at a time

}  // namespace

UpstreamPool::UpstreamPool(boost::asio::io_context& io, const UpstreamLimits& limits,
                           ConnectionCounts& counts, MakeConnection makeConnection)
    : io_(io),
      limits_(limits),
      counts_(counts),
      makeConnection_(std::move(makeConnection)),
      parser_(limits.answerBytes + kReplyOverhead),
      readBuffer_(kReadSize),
      idleCheck_(io, kIdleCheckInterval, [this] { drainOutdated(); }) {}

void UpstreamPool::setLimits(std::size_t connections, Duration connectTimeout, Duration idleClose) {
  limits_.connections = connections;
  limits_.connectTimeout = connectTimeout;
  limits_.idleClose = idleClose;
}

// A connection that is drained or closed leaves the entry, so these go through a copy.

bool UpstreamPool::updateEndpoint(EndpointId endpoint, const tcp::endpoint& address, bool serving) {
  counts_.track(endpoint);
  return endpoints_.update(endpoint, address, serving, [](const Endpoints::Entry& entry) {
    for (const auto& connection : std::vector<ConnectionPtr>(entry.connections)) connection->drain();
  });
}

void UpstreamPool::forget(EndpointId endpoint) {
  closeIdle(endpoint);
  endpoints_.erase(endpoint);
  counts_.untrack(endpoint);
}

void UpstreamPool::closeIdle(EndpointId endpoint) {
  const Endpoints::Entry* const entry = endpoints_.find(endpoint);
  if (entry == nullptr) return;
  for (const auto& connection : std::vector<ConnectionPtr>(entry->connections))
    if (connection->isIdle()) connection->drain();
}

void UpstreamPool::stop() {
  idleCheck_.stop();
  endpoints_.forEach([](const Endpoints::Entry& entry) {
    for (const auto& connection : std::vector<ConnectionPtr>(entry.connections))
      connection->close(policy::Outcome::reset);
  });
}

void UpstreamPool::drainOutdated() {
  const auto now = Clock::now();
  endpoints_.forEach([&](const Endpoints::Entry& entry) {
    for (const auto& connection : std::vector<ConnectionPtr>(entry.connections))
      if (connection->isIdleTooLong(now) || (!entry.serving && connection->isIdle())) connection->drain();
  });
}

UpstreamPool::ConnectionPtr UpstreamPool::acquire(Endpoints::Entry& entry, EndpointId endpoint) {
  if (ConnectionPtr busy = fullestWithRoom(entry)) return busy;
  if (ConnectionPtr idle = latestIdle(entry)) return idle;
  if (counts_.total() >= limits_.connections && !closeOldestIdle()) return nullptr;
  counts_.onOpening(endpoint);
  ConnectionPtr opened = makeConnection_(endpoint);
  entry.connections.push_back(opened);
  opened->connect(entry.address);
  return opened;
}

// The fullest, so that few connections are kept in use, and the others become idle and are closed.
UpstreamPool::ConnectionPtr UpstreamPool::fullestWithRoom(Endpoints::Entry& entry) {
  ConnectionPtr fullest;
  for (const auto& connection : entry.connections)
    if (!connection->isIdle() && connection->hasRoom() &&
        (!fullest || connection->callCount() > fullest->callCount()))
      fullest = connection;
  return fullest;
}

// The latest opened of the idle ones, which the endpoint is the least likely to close just now.
UpstreamPool::ConnectionPtr UpstreamPool::latestIdle(Endpoints::Entry& entry) {
  const auto now = Clock::now();
  for (std::size_t i = entry.connections.size(); i-- > 0;) {
    ConnectionPtr connection = entry.connections[i];
    if (!connection->isIdle() || !connection->takesCalls()) continue;
    if (!connection->isIdleTooLong(now) && connection->isOpen()) return connection;
    connection->drain();
  }
  return nullptr;
}

bool UpstreamPool::closeOldestIdle() {
  ConnectionPtr oldest;
  endpoints_.forEach([&](const Endpoints::Entry& entry) {
    for (const auto& connection : entry.connections)
      if (connection->isIdle() && (!oldest || connection->idleSince() < oldest->idleSince()))
        oldest = connection;
  });
  if (!oldest) return false;
  oldest->drain();
  return true;
}

void UpstreamPool::onClosed(const UpstreamConnection& connection, bool established) {
  if (Endpoints::Entry* const entry = endpoints_.find(connection.endpoint()))
    std::erase_if(entry->connections, [&](const auto& each) { return each.get() == &connection; });
  counts_.onClosed(connection.endpoint(), established);
}

void UpstreamPool::flushSoon(ConnectionPtr connection) {
  toFlush_.push_back(std::move(connection));
  if (std::exchange(flushPosted_, true)) return;
  boost::asio::post(io_, guard_.guard([this] {
    flushPosted_ = false;
    for (const auto& each : std::exchange(toFlush_, {})) each->flush();
  }));
}

}  // namespace cairnjunction::jsonrpc

#include "policy/connection_age.hpp"

#include <algorithm>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

// Beyond its own subset a gateway gives connections back when they were not used for so long.
constexpr Duration kCloseIdleAfter = std::chrono::seconds(5);
constexpr Duration kFirstIdleStep = std::chrono::milliseconds(250);  // doubled with each step
constexpr double kLostGain = 0.2;        // per attempt: over the last five of its step
constexpr double kLostDecay = 0.005;     // per update: tried again after some twenty seconds
constexpr double kStaleLostShare = 0.3;  // lost so often beyond the share of fresh ones: not used

}  // namespace

bool ConnectionAgeTracker::hasRoom(const Endpoint& endpoint, Timestamp now) const {
  const ConnectionRecord& connections = endpoint.connections;
  const bool timedOut = settings_.idleTimeout > Duration{} && endpoint.inFlight == 0 &&
                        now - connections.lastUsedAt >= settings_.idleTimeout;
  return !timedOut && static_cast<std::uint32_t>(endpoint.inFlight) <
                          static_cast<std::uint32_t>(connections.open) * settings_.streamsPerConnection;
}

std::size_t ConnectionAgeTracker::idleStep(const Endpoint& endpoint, Timestamp now) const {
  if (!hasRoom(endpoint, now) || endpoint.inFlight > 0) return 0;
  const Duration idle = now - endpoint.connections.lastUsedAt;
  std::size_t step = 0;
  for (Duration limit = kFirstIdleStep; step + 1 < kIdleSteps && idle >= limit; limit *= 2) ++step;
  return step;
}

bool ConnectionAgeTracker::isStale(std::size_t idleStep) const {
  return idleStep > 0 && lostShare_[idleStep] > kStaleLostShare + lostShare_[0];
}

ConnectionAgeTracker::Use ConnectionAgeTracker::recordSend(Endpoint& endpoint, Timestamp now) {
  ConnectionRecord& connections = endpoint.connections;
  Use use;
  use.idleStep = idleStep(endpoint, now);
  if (isStale(use.idleStep)) {
    use.closeStaleFirst = true;
    use.idleStep = 0;
    if (!connections.reported) connections.open = 0;
  }
  use.newConnection = !hasRoom(endpoint, now);
  connections.lastUsedAt = now;
  if (!connections.reported && !hasRoom(endpoint, now)) ++connections.open;
  return use;
}

void ConnectionAgeTracker::recordOutcome(std::size_t idleStep, Outcome outcome) {
  const bool lost = outcome == Outcome::timeout || outcome == Outcome::reset;
  const bool arrived =
      outcome == Outcome::served || outcome == Outcome::error || outcome == Outcome::overloaded;
  if (!lost && !arrived) return;
  // Keeps lostShare_ rising with the idle time: a loss counts for all longer idle times too, and an arrival
  // for all shorter ones. A loss on a connection that was new or in use says nothing about idle ones.
  const std::size_t first = lost ? idleStep : 0;
  const std::size_t end = lost && idleStep > 0 ? kIdleSteps : idleStep + 1;
  for (std::size_t i = first; i < end; ++i) lostShare_[i] += kLostGain * ((lost ? 1 : 0) - lostShare_[i]);
}

void ConnectionAgeTracker::recordClosed(Endpoint& endpoint) {
  ConnectionRecord& connections = endpoint.connections;
  if (!connections.reported) connections.open = std::max(connections.open - 1, 0);
}

void ConnectionAgeTracker::recordReported(Endpoint& endpoint, std::uint32_t open) {
  endpoint.connections.reported = true;
  endpoint.connections.open = static_cast<int>(open);
}

void ConnectionAgeTracker::reset(Endpoint& endpoint) {
  if (!endpoint.connections.reported) endpoint.connections.open = 0;
}

void ConnectionAgeTracker::update(EndpointTable& endpoints, Timestamp now, std::vector<EndpointId>& toClose) {
  const std::vector<EndpointId>& ordered = endpoints.ordered();
  for (std::size_t i = endpoints.subsetSize(); i < ordered.size(); ++i) {
    Endpoint& endpoint = endpoints[ordered[i]];
    ConnectionRecord& connections = endpoint.connections;
    if (connections.open == 0 || endpoint.inFlight > 0 || now - connections.lastUsedAt < kCloseIdleAfter)
      continue;
    if (!connections.reported) connections.open = 0;
    toClose.push_back(ordered[i]);
  }
  for (double& share : lostShare_) share *= 1 - kLostDecay;
}

}  // namespace cairnjunction::policy

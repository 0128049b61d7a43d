#include "policy/connection_age.hpp"

#include <algorithm>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

// Outside its subset a gateway closes connections that were unused for this time.
constexpr Duration kUnusedConnectionTimeout = std::chrono::seconds(5);
constexpr Duration kFirstIdleStepDuration =
    std::chrono::milliseconds(250);       // idle time at which step 1 begins; doubles with each step
constexpr double kLossRateGain = 0.2;     // per attempt: over about the last 5 of the step
constexpr double kLossRateDecay = 0.005;  // per update: a stale step is used again after about 20 s
constexpr double kStaleLossRate =
    0.3;  // excess over the loss rate of fresh connections from which on a step is stale

}  // namespace

bool ConnectionAgeTracker::hasCapacity(const Endpoint& endpoint, Timestamp now) const {
  const ConnectionRecord& connections = endpoint.connections;
  const bool timedOut = settings_.idleTimeout > Duration{} && endpoint.inFlight == 0 &&
                        now - connections.lastUsedAt >= settings_.idleTimeout;
  return !timedOut && static_cast<std::uint32_t>(endpoint.inFlight) <
                          static_cast<std::uint32_t>(connections.open) * settings_.streamsPerConnection;
}

std::size_t ConnectionAgeTracker::idleStep(const Endpoint& endpoint, Timestamp now) const {
  if (!hasCapacity(endpoint, now) || endpoint.inFlight > 0) return 0;
  const Duration idle = now - endpoint.connections.lastUsedAt;
  std::size_t step = 0;
  for (Duration limit = kFirstIdleStepDuration; step + 1 < kIdleSteps && idle >= limit; limit *= 2) ++step;
  return step;
}

bool ConnectionAgeTracker::isStale(std::size_t idleStep) const {
  return idleStep > 0 && lossRates_[idleStep] > kStaleLossRate + lossRates_[0];
}

ConnectionAgeTracker::SendEffect ConnectionAgeTracker::recordSend(Endpoint& endpoint, Timestamp now) {
  ConnectionRecord& connections = endpoint.connections;
  SendEffect effect;
  effect.idleStep = idleStep(endpoint, now);
  if (isStale(effect.idleStep)) {
    effect.closeStaleFirst = true;
    effect.idleStep = 0;
    if (!connections.openIsReported) connections.open = 0;
  }
  effect.newConnection = !hasCapacity(endpoint, now);
  connections.lastUsedAt = now;
  if (!connections.openIsReported && !hasCapacity(endpoint, now)) ++connections.open;
  return effect;
}

void ConnectionAgeTracker::recordOutcome(std::size_t idleStep, Outcome outcome) {
  const bool lost = outcome == Outcome::timeout || outcome == Outcome::reset;
  const bool answered =
      outcome == Outcome::served || outcome == Outcome::error || outcome == Outcome::overloaded;
  if (!lost && !answered) return;
  // Keeps lossRates_ rising with the idle time: a loss also counts for all longer idle times, and an answer
  // for all shorter ones. A loss on a connection that was new or in use is no evidence about idle ones.
  const std::size_t first = lost ? idleStep : 0;
  const std::size_t end = lost && idleStep > 0 ? kIdleSteps : idleStep + 1;
  for (std::size_t i = first; i < end; ++i) lossRates_[i] += kLossRateGain * ((lost ? 1 : 0) - lossRates_[i]);
}

void ConnectionAgeTracker::recordClosed(Endpoint& endpoint) {
  ConnectionRecord& connections = endpoint.connections;
  if (!connections.openIsReported) connections.open = std::max(connections.open - 1, 0);
}

void ConnectionAgeTracker::recordReported(Endpoint& endpoint, std::uint32_t open) {
  endpoint.connections.openIsReported = true;
  endpoint.connections.open = static_cast<int>(open);
}

void ConnectionAgeTracker::reset(Endpoint& endpoint) {
  if (!endpoint.connections.openIsReported) endpoint.connections.open = 0;
}

void ConnectionAgeTracker::update(EndpointTable& endpoints, Timestamp now, std::vector<EndpointId>& toClose) {
  const std::vector<EndpointId>& ordered = endpoints.ordered();
  for (std::size_t i = endpoints.subsetSize(); i < ordered.size(); ++i) {
    Endpoint& endpoint = endpoints[ordered[i]];
    ConnectionRecord& connections = endpoint.connections;
    if (connections.open == 0 || endpoint.inFlight > 0 ||
        now - connections.lastUsedAt < kUnusedConnectionTimeout)
      continue;
    if (!connections.openIsReported) connections.open = 0;
    toClose.push_back(ordered[i]);
  }
  for (double& rate : lossRates_) rate *= 1 - kLossRateDecay;
}

}  // namespace cairnjunction::policy

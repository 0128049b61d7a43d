#include "policy/endpoint_picker.hpp"

#include <algorithm>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

// With more requests than endpoints each endpoint has several, and a fixed limit of one would count none as
// idle: two blind draws would decide, and some endpoints would queue while cores of others stand free. So
// idle is what lies this far under the mean, whatever made it uneven. Where each of many gateways has less
// than one in flight to an endpoint, the limit is one.
constexpr double kIdleShareOfMean = 0.75;
constexpr double kLocalWeight = 2;          // own zone in the draw: yields to an endpoint 1.4 times as fast
constexpr std::size_t kKeyEndpoints = 3;    // that share the requests of one key
constexpr double kDrawLatencyLeast = 0.01;  // square of a relative latency: below it the draw is not improved
constexpr double kIdleLatencyLeast = 0.05;  // relative latency: below it an endpoint may hold no more

}  // namespace

std::optional<EndpointId> EndpointPicker::pick(const ActiveRequest& request, Timestamp now) {
  const auto count = static_cast<double>(std::max<std::size_t>(in_.endpoints.reachableCount(), 1));
  idleInFlightLimit_ = std::max(kIdleShareOfMean * in_.endpoints.inFlight() / count, 1.0);
  collectCandidates(request, Requirement::healthy, now);
  if (candidates_.empty()) collectCandidates(request, Requirement::anyAllowed, now);
  if (candidates_.empty()) return std::nullopt;
  if (const auto id = pickSlowStarting(request, now)) return id;
  if (in_.settings.keyAffinity && request.key)
    if (const auto id = pickByKey(*request.key)) return id;
  if (const auto id = drawIdle(request.classIndex)) return id;
  return drawLessLoaded(request.classIndex);
}

void EndpointPicker::collectCandidates(const ActiveRequest& request, Requirement requirement, Timestamp now) {
  candidates_.clear();
  bool foundIdle = false;
  for (const EndpointId id : in_.endpoints.ordered()) {
    if (foundIdle && candidates_.size() >= in_.endpoints.subsetSize()) break;
    if (!isCandidate(request, id, requirement, now)) continue;
    candidates_.push_back(id);
    foundIdle |= isIdle(in_.endpoints[id]);
  }
}

bool EndpointPicker::isCandidate(const ActiveRequest& request, EndpointId id, Requirement requirement,
                                 Timestamp now) const {
  Endpoint& endpoint = in_.endpoints[id];
  if (endpoint.reachability == Reachability::unreachable) return false;
  if (!in_.connectBackoff.mayConnectAtAll(now) && !in_.connections.hasRoom(endpoint, now)) return false;
  // A probe is for a first attempt: a retry has less time left.
  if (endpoint.reachability == Reachability::probeOnly && request.attemptCount > 0) return false;
  if (requirement == Requirement::healthy && (!isHealthy(endpoint, now) || request.wasSentTo(id)))
    return false;
  return in_.retryPolicy.mayRunAt(request, endpoint, now) &&
         in_.slowStart.mayAdmit(endpoint, in_.endpoints, now) &&
         endpoint.inFlight < endpoint.info.maxInFlight;
}

bool EndpointPicker::isHealthy(const Endpoint& endpoint, Timestamp now) const {
  if (now < endpoint.outlier.restUntil || endpoint.responsiveness.unresponsive) return false;
  if (!ConnectBackoff::mayConnect(endpoint, now) && !in_.connections.hasFreshRoom(endpoint, now))
    return false;
  switch (endpoint.outlier.state) {
    case EjectionState::healthy: return true;
    case EjectionState::ejected: return false;
    case EjectionState::probation: return endpoint.inFlight == 0;
  }
  return false;
}

bool EndpointPicker::isIdle(const Endpoint& endpoint) const {
  return endpoint.inFlight < idleInFlightLimit_ * in_.latency.medianRelativeLatency() /
                                 std::max(endpoint.latency.relativeLatency, kIdleLatencyLeast);
}

// Among a hundred endpoints a gateway with few requests would draw the one in slow start when it could send
// to it once in half a minute, and the endpoint would not warm up. Its tokens are few and are spent first.
std::optional<EndpointId> EndpointPicker::pickSlowStarting(const ActiveRequest& request, Timestamp now) {
  if (request.attemptCount > 0) return std::nullopt;
  for (const EndpointId id : candidates_) {
    const Endpoint& endpoint = in_.endpoints[id];
    if (in_.slowStart.isActive(endpoint, now) && isIdle(endpoint) &&
        in_.random.unit() > in_.rates.sampleConfidence())
      return id;
  }
  return std::nullopt;
}

// Narrows the candidates to the first ones in the key's rendezvous order, which is the same at all gateways.
std::optional<EndpointId> EndpointPicker::pickByKey(std::uint64_t key) {
  const std::size_t count = std::min(kKeyEndpoints, candidates_.size());
  std::partial_sort(candidates_.begin(), candidates_.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates_.end(), [&](EndpointId left, EndpointId right) {
                      return mix(in_.endpoints[left].hash ^ key) > mix(in_.endpoints[right].hash ^ key);
                    });
  candidates_.resize(count);
  for (const EndpointId id : candidates_) {
    const Endpoint& endpoint = in_.endpoints[id];
    if (isIdle(endpoint) && in_.random.unit() < endpoint.loadReport.selectionShare) return id;
  }
  return std::nullopt;
}

// Beside many gateways this one's attempts in flight say little, every endpoint looks idle, and the own zone
// would be overloaded. So the draw leans towards endpoints that answer fast, and only lightly towards the own
// zone.
std::optional<EndpointId> EndpointPicker::drawIdle(std::uint32_t classIndex) {
  double sum = 0;
  std::optional<EndpointId> chosen;
  for (const EndpointId id : candidates_) {
    const Endpoint& endpoint = in_.endpoints[id];
    if (!isIdle(endpoint)) continue;
    const double latency = endpoint.latency.relativeLatency;
    const double weight = (endpoint.local ? kLocalWeight : 1) * endpoint.loadReport.selectionShare *
                          in_.outliers.classSuccessWeight(endpoint, classIndex) /
                          std::max(latency * latency, kDrawLatencyLeast);
    sum += weight;
    if (in_.random.unit() * sum < weight) chosen = id;
  }
  return chosen;
}

EndpointId EndpointPicker::drawLessLoaded(std::uint32_t classIndex) {
  const EndpointId first = candidates_[in_.random.below(candidates_.size())];
  const EndpointId second = candidates_[in_.random.below(candidates_.size())];
  const auto load = [&](EndpointId id) {
    const Endpoint& endpoint = in_.endpoints[id];
    return (endpoint.inFlight + 1) * endpoint.latency.relativeLatency;
  };
  const auto weight = [&](EndpointId id) {
    return in_.outliers.classSuccessWeight(in_.endpoints[id], classIndex);
  };
  return load(first) * weight(second) <= load(second) * weight(first) ? first : second;
}

}  // namespace cairnjunction::policy

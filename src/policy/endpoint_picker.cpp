#include "policy/endpoint_picker.hpp"

#include <algorithm>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

// An endpoint is idle below this fraction of the mean number in flight. With more requests than endpoints
// every endpoint has several in flight, and with a fixed limit of one none would be idle: two random draws
// would decide, and some endpoints would queue while others have free cores. The limit is at least one, for
// deployments where each of many gateways has less than one in flight per endpoint.
constexpr double kIdleFractionOfMean = 0.75;
constexpr double kSameZoneWeight = 2;        // in the draw: outweighed by an endpoint 1.4 times as fast
constexpr std::size_t kEndpointsPerKey = 3;  // endpoints that share the requests of one key
constexpr double kMinSquaredLatency = 0.01;  // squared relative latency: lower ones get no more weight
constexpr double kMinIdleLatency = 0.05;  // relative latency: lower ones do not raise the idle limit further

}  // namespace

std::optional<EndpointId> EndpointPicker::pick(const ActiveRequest& request, Timestamp now) {
  const auto count = static_cast<double>(std::max<std::size_t>(inputs_.endpoints.reachableCount(), 1));
  idleInFlightLimit_ = std::max(kIdleFractionOfMean * inputs_.endpoints.inFlight() / count, 1.0);
  collectCandidates(request, Requirement::healthy, now);
  if (candidates_.empty()) collectCandidates(request, Requirement::anyAllowed, now);
  if (candidates_.empty()) return std::nullopt;
  if (const auto id = pickSlowStarting(request, now)) return id;
  if (inputs_.settings.keyAffinity && request.key)
    if (const auto id = pickByKey(*request.key)) return id;
  if (const auto id = drawIdle(request.classIndex)) return id;
  return drawLessLoaded(request.classIndex);
}

void EndpointPicker::collectCandidates(const ActiveRequest& request, Requirement requirement, Timestamp now) {
  candidates_.clear();
  bool foundIdle = false;
  for (const EndpointId id : inputs_.endpoints.ordered()) {
    if (foundIdle && candidates_.size() >= inputs_.endpoints.subsetSize()) break;
    if (!isCandidate(request, id, requirement, now)) continue;
    candidates_.push_back(id);
    foundIdle |= isIdle(inputs_.endpoints[id]);
  }
}

bool EndpointPicker::isCandidate(const ActiveRequest& request, EndpointId id, Requirement requirement,
                                 Timestamp now) const {
  Endpoint& endpoint = inputs_.endpoints[id];
  if (endpoint.reachability == Reachability::unreachable) return false;
  if (!inputs_.connectBackoff.hasDescriptors(now) && !inputs_.connections.hasCapacity(endpoint, now))
    return false;
  // Only first attempts are used as probes: a retry has less time left.
  if (endpoint.reachability == Reachability::probeOnly && request.attemptCount > 0) return false;
  if (requirement == Requirement::healthy && (!isHealthy(endpoint, now) || request.wasSentTo(id)))
    return false;
  return inputs_.retryPolicy.mayRunAt(request, endpoint, now) &&
         inputs_.slowStart.mayAdmit(endpoint, inputs_.endpoints, now) &&
         endpoint.inFlight < endpoint.info.maxInFlight;
}

bool EndpointPicker::isHealthy(const Endpoint& endpoint, Timestamp now) const {
  if (now < endpoint.outlier.overloadBackoffUntil || endpoint.responsiveness.unresponsive) return false;
  if (!ConnectBackoff::mayConnect(endpoint, now) && !inputs_.connections.hasFreshCapacity(endpoint, now))
    return false;
  switch (endpoint.outlier.state) {
    case EjectionState::healthy: return true;
    case EjectionState::ejected: return false;
    case EjectionState::probation: return endpoint.inFlight == 0;
  }
  return false;
}

bool EndpointPicker::isIdle(const Endpoint& endpoint) const {
  return endpoint.inFlight < idleInFlightLimit_ * inputs_.latency.medianRelativeLatency() /
                                 std::max(endpoint.latency.relativeLatency, kMinIdleLatency);
}

// By a plain draw among a hundred endpoints, a gateway with few requests would send to an endpoint in slow
// start once in half a minute, and the endpoint would not warm up. So its tokens, which are few, are spent
// first.
std::optional<EndpointId> EndpointPicker::pickSlowStarting(const ActiveRequest& request, Timestamp now) {
  if (request.attemptCount > 0) return std::nullopt;
  for (const EndpointId id : candidates_) {
    const Endpoint& endpoint = inputs_.endpoints[id];
    if (inputs_.slowStart.isActive(endpoint, now) && isIdle(endpoint) &&
        inputs_.random.unit() > inputs_.rates.sampleConfidence())
      return id;
  }
  return std::nullopt;
}

// Reduces the candidates to the first ones in the key's rendezvous order, which is the same at all gateways.
std::optional<EndpointId> EndpointPicker::pickByKey(std::uint64_t key) {
  const std::size_t count = std::min(kEndpointsPerKey, candidates_.size());
  std::partial_sort(candidates_.begin(), candidates_.begin() + static_cast<std::ptrdiff_t>(count),
                    candidates_.end(), [&](EndpointId left, EndpointId right) {
                      return mix(inputs_.endpoints[left].addressHash ^ key) >
                             mix(inputs_.endpoints[right].addressHash ^ key);
                    });
  candidates_.resize(count);
  for (const EndpointId id : candidates_) {
    const Endpoint& endpoint = inputs_.endpoints[id];
    if (isIdle(endpoint) && inputs_.random.unit() < endpoint.loadReport.selectionWeight) return id;
  }
  return std::nullopt;
}

// With many gateways, one gateway's attempts in flight say little about an endpoint's load: every endpoint
// looks idle, and a strong preference for the same zone would overload it. So the draw favours endpoints that
// answer fast, and the same zone only slightly.
std::optional<EndpointId> EndpointPicker::drawIdle(std::uint32_t classIndex) {
  double sum = 0;
  std::optional<EndpointId> chosen;
  for (const EndpointId id : candidates_) {
    const Endpoint& endpoint = inputs_.endpoints[id];
    if (!isIdle(endpoint)) continue;
    const double latency = endpoint.latency.relativeLatency;
    const double weight = (endpoint.inOwnZone ? kSameZoneWeight : 1) * endpoint.loadReport.selectionWeight *
                          inputs_.outliers.classSuccessWeight(endpoint, classIndex) /
                          std::max(latency * latency, kMinSquaredLatency);
    sum += weight;
    if (inputs_.random.unit() * sum < weight) chosen = id;
  }
  return chosen;
}

EndpointId EndpointPicker::drawLessLoaded(std::uint32_t classIndex) {
  const EndpointId first = candidates_[inputs_.random.below(candidates_.size())];
  const EndpointId second = candidates_[inputs_.random.below(candidates_.size())];
  const auto load = [&](EndpointId id) {
    const Endpoint& endpoint = inputs_.endpoints[id];
    return (endpoint.inFlight + 1) * endpoint.latency.relativeLatency;
  };
  const auto weight = [&](EndpointId id) {
    return inputs_.outliers.classSuccessWeight(inputs_.endpoints[id], classIndex);
  };
  return load(first) * weight(second) <= load(second) * weight(first) ? first : second;
}

}  // namespace cairnjunction::policy

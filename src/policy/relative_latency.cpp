#include "policy/relative_latency.hpp"

#include <cmath>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

constexpr double kLatencyGain = 0.1;       // per answer: over about the last 10 of an endpoint
constexpr double kIdleLatencyGain = 0.05;  // per update without requests: over at least 2 s

}  // namespace

void LatencyTracker::recordAnswer(EndpointTable& endpoints, Endpoint& endpoint, ClassState& requestClass,
                                  double costRatio, double seconds) {
  const double ratio = requestClass.recordLatency(seconds, costRatio);
  LatencyRecord& latency = endpoint.latency;
  latency.answers += 1;
  latency.relativeLatency += kLatencyGain * (ratio - latency.relativeLatency);
  MachineKind& kind = endpoints.kindOf(endpoint);
  kind.relativeLatency += kSampleGain * (ratio - kind.relativeLatency);
}

void LatencyTracker::recordTimeout(Endpoint& endpoint, const ClassState& requestClass, double costRatio,
                                   double seconds) {
  if (requestClass.typicalLatency() <= 0 || seconds <= requestClass.typicalLatency() * costRatio) return;
  LatencyRecord& latency = endpoint.latency;
  latency.relativeLatency +=
      kLatencyGain * (requestClass.latencyRatio(seconds, costRatio) - latency.relativeLatency);
}

void LatencyTracker::reset(const EndpointTable& endpoints, Endpoint& endpoint, double capacityFraction) {
  endpoint.latency.relativeLatency = endpoints.kindOf(endpoint).relativeLatency / std::sqrt(capacityFraction);
}

void LatencyTracker::update(EndpointTable& endpoints, const TrafficRates& rates) {
  std::vector<double> latencies;
  for (const EndpointId id : endpoints.listed()) {
    Endpoint& endpoint = endpoints[id];
    LatencyRecord& latency = endpoint.latency;
    // A high latency from a past problem keeps requests away, and without requests it would never change.
    if (latency.answers <= 0 && endpoint.inFlight == 0) {
      const double kindLatency = endpoints.kindOf(endpoint).relativeLatency;
      latency.relativeLatency +=
          kIdleLatencyGain * rates.sampleConfidence() * (kindLatency - latency.relativeLatency);
    }
    if (endpoint.reachability == Reachability::reachable) latencies.push_back(latency.relativeLatency);
  }
  medianRelativeLatency_ = quantile(latencies, 0.5, 1);
}

}  // namespace cairnjunction::policy

// Relative latency: how long an endpoint takes against what is typical for the class of the request.
#pragma once

#include "policy/endpoint_table.hpp"
#include "policy/request_table.hpp"
#include "policy/traffic_rates.hpp"

namespace cairnjunction::policy {

class LatencyTracker {
 public:
  // Notes an answer that took `seconds`.
  static void recordAnswer(EndpointTable& endpoints, Endpoint& endpoint, ClassState& requestClass,
                           double costRatio, double seconds);
  // Notes an attempt that had no answer in `seconds`: its answer would have taken that long at least.
  static void recordTimeout(Endpoint& endpoint, const ClassState& requestClass, double costRatio,
                            double seconds);
  // The endpoint has a new process, with this share of its capacity: it is taken for one of its kind.
  static void reset(const EndpointTable& endpoints, Endpoint& endpoint, double capacityFraction);

  // Fades what was learned of endpoints that had no requests since the last update, and updates the median.
  void update(EndpointTable& endpoints, const TrafficRates& rates);

  // Of the reachable endpoints, as of the last update; 1 without one.
  double medianRelativeLatency() const { return medianRelativeLatency_; }

 private:
  double medianRelativeLatency_ = 1;
};

}  // namespace cairnjunction::policy

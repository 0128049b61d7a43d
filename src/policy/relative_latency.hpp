// Relative latency: latency of an endpoint as a multiple of the typical latency of the request's class.
#pragma once

#include "policy/endpoint_table.hpp"
#include "policy/request_table.hpp"
#include "policy/traffic_rates.hpp"

namespace cairnjunction::policy {

// Tracks the relative latency of endpoints and machine kinds.
class LatencyTracker {
 public:
  // Records an answer that took `seconds` to a request of this cost ratio.
  static void recordAnswer(EndpointTable& endpoints, Endpoint& endpoint, ClassState& requestClass,
                           double costRatio, double seconds);
  // Records an attempt without an answer within `seconds`, as a lower bound of its latency.
  static void recordTimeout(Endpoint& endpoint, const ClassState& requestClass, double costRatio,
                            double seconds);
  // The endpoint has a new process with this fraction of its capacity, above 0 to 1: derives its relative
  // latency from that of its machine kind.
  static void reset(const EndpointTable& endpoints, Endpoint& endpoint, double capacityFraction);

  // Moves the relative latency of endpoints without answers since the last update, and with no attempt in
  // flight, towards that of their machine kind, and updates the median. Must be called once every
  // kUpdateInterval.
  void update(EndpointTable& endpoints, const TrafficRates& rates);

  // Of the reachable endpoints, as of the last update; 1 if there is none.
  double medianRelativeLatency() const { return medianRelativeLatency_; }

 private:
  double medianRelativeLatency_ = 1;
};

}  // namespace cairnjunction::policy

// Responsiveness: detects endpoints that have attempts in flight and have not responded for a long time.
#pragma once

#include "policy/endpoint_table.hpp"
#include "policy/request_table.hpp"

namespace cairnjunction::policy {

// A paused or lost endpoint would accumulate requests until they time out. An endpoint that has not responded
// for several times the typical latency while an attempt is in flight is unresponsive: it receives no
// attempts until it responds, or none of its attempts is in flight any longer.
class ResponsivenessMonitor {
 public:
  // Records that an attempt of this request is sent to the endpoint.
  static void recordSend(Endpoint& endpoint, RequestRef request) {
    endpoint.responsiveness.sentRequests.push_back(request);
  }
  // The endpoint sent a response of any kind.
  static void recordResponse(Endpoint& endpoint, Timestamp now) {
    endpoint.responsiveness.lastResponseAt = now;
  }
  // The endpoint has a new process: it counts as responsive.
  static void reset(Endpoint& endpoint) { endpoint.responsiveness.unresponsive = false; }

  // Updates which endpoints are unresponsive; must be called once every kUpdateInterval. `typicalLatency`:
  // mean over all classes, in seconds.
  static void update(EndpointTable& endpoints, const RequestTable& requests, double typicalLatency,
                     Timestamp now);
};

}  // namespace cairnjunction::policy

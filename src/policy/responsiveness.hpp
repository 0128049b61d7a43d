// Responsiveness: endpoints that hold attempts and have said nothing for long.
#pragma once

#include "policy/endpoint_table.hpp"
#include "policy/request_table.hpp"

namespace cairnjunction::policy {

// A paused or lost endpoint would gather requests until they time out. One that has been silent for several
// times of what its oldest attempt should take counts as unresponsive, and is sent nothing until it is heard
// of.
class ResponsivenessMonitor {
 public:
  static void recordSend(Endpoint& endpoint, RequestRef request) {
    endpoint.responsiveness.sent.push_back(request);
  }
  // The endpoint has said anything at all.
  static void recordResponse(Endpoint& endpoint, Timestamp now) {
    endpoint.responsiveness.lastResponseAt = now;
  }
  // The endpoint has a new process.
  static void reset(Endpoint& endpoint) { endpoint.responsiveness.unresponsive = false; }

  // To be called once every kUpdateInterval. `typicalLatency`: seconds, over all classes.
  static void update(EndpointTable& endpoints, const RequestTable& requests, double typicalLatency,
                     Timestamp now);
};

}  // namespace cairnjunction::policy

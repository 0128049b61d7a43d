// Load reports: listed weights that fall with the load of an endpoint from all gateways together.
#pragma once

#include "policy/endpoint_table.hpp"

namespace cairnjunction::policy {

// Reports describe the load of some time ago. If all gateways avoided a loaded endpoint immediately, it would
// become idle and have the lowest load in the next report, and so on. So a report changes the selection
// weight of its endpoint only gradually.
class LoadReports {
 public:
  // Updates the selection weight from the endpoint's listed weight. EndpointTable::upsert must have been
  // called before, for the unloaded weight of the machine kind.
  void record(const EndpointTable& endpoints, Endpoint& endpoint) const;
  // The endpoint has a new process.
  static void reset(Endpoint& endpoint) { endpoint.loadReport = LoadRecord{}; }
  // Updates the median load of the reachable endpoints; must be called once every kUpdateInterval.
  void update(const EndpointTable& endpoints);

 private:
  double medianLoad_ = 1;  // 1 + requests per core
};

}  // namespace cairnjunction::policy

// Load reports: listed weights that fall with what an endpoint holds of all gateways together.
#pragma once

#include "policy/endpoint_table.hpp"

namespace cairnjunction::policy {

// Reports tell what an endpoint held some time ago. Were all gateways to avoid a loaded endpoint at once, it
// would empty and look best in the next report; so each report moves the share of its draws by a little.
class LoadReports {
 public:
  // Takes in the weight of a list; the endpoint's machine kind must know its full weight.
  void record(const EndpointTable& endpoints, Endpoint& endpoint) const;
  // The endpoint has a new process.
  static void reset(Endpoint& endpoint) { endpoint.loadReport = LoadRecord{}; }
  // Updates the median load of the reachable endpoints; to be called once every kUpdateInterval.
  void update(const EndpointTable& endpoints);

 private:
  double medianLoad_ = 1;
};

}  // namespace cairnjunction::policy

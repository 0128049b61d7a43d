#include "policy/load_reports.hpp"

#include <algorithm>
#include <cmath>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

constexpr double kOverloadedLoadFactor = 1.5;  // a load above this multiple of the median is too high
constexpr double kOverloadExponent =
    0.5;  // a report of a load too high divides the weight by the excess to this power
constexpr double kRecoveryFactor = 1.1;  // factor on the weight at a report of a load that is not too high
constexpr double kMinSelectionWeight = 0.05;  // so that it still receives some requests
constexpr double kMinListedWeight = 0.001;

}  // namespace

void LoadReports::record(const EndpointTable& endpoints, Endpoint& endpoint) const {
  LoadRecord& report = endpoint.loadReport;
  report.load = endpoints.kindOf(endpoint).unloadedWeight / std::max(endpoint.info.weight, kMinListedWeight);
  const double excess = report.load / (kOverloadedLoadFactor * medianLoad_);
  const double change = excess > 1 ? std::pow(excess, -kOverloadExponent) : kRecoveryFactor;
  report.selectionWeight = std::clamp(report.selectionWeight * change, kMinSelectionWeight, 1.0);
}

void LoadReports::update(const EndpointTable& endpoints) {
  std::vector<double> loads;
  for (const EndpointId id : endpoints.listed())
    if (endpoints[id].reachability == Reachability::reachable) loads.push_back(endpoints[id].loadReport.load);
  medianLoad_ = quantile(loads, 0.5, 1);
}

}  // namespace cairnjunction::policy

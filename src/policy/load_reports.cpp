#include "policy/load_reports.hpp"

#include <algorithm>
#include <cmath>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

constexpr double kOverloadedBy = 1.5;    // times the median load: too much
constexpr double kShareReduction = 0.5;  // power of the excess that is taken off the share at each report
constexpr double kShareRecovery = 1.1;   // factor at each report that is not too much
constexpr double kSelectionShareLeast = 0.05;  // so that it is still sent some
constexpr double kWeightLeast = 0.001;

}  // namespace

void LoadReports::record(const EndpointTable& endpoints, Endpoint& endpoint) const {
  LoadRecord& report = endpoint.loadReport;
  report.load = endpoints.kindOf(endpoint).fullWeight / std::max(endpoint.info.weight, kWeightLeast);
  const double excess = report.load / (kOverloadedBy * medianLoad_);
  const double change = excess > 1 ? std::pow(excess, -kShareReduction) : kShareRecovery;
  report.selectionShare = std::clamp(report.selectionShare * change, kSelectionShareLeast, 1.0);
}

void LoadReports::update(const EndpointTable& endpoints) {
  std::vector<double> loads;
  for (const EndpointId id : endpoints.listed())
    if (endpoints[id].reachability == Reachability::reachable) loads.push_back(endpoints[id].loadReport.load);
  medianLoad_ = quantile(loads, 0.5, 1);
}

}  // namespace cairnjunction::policy

// Implementation of the public interface; forwards to LoadBalancer::Impl. Each event sets the current time,
// passes through the objects concerned in the order below, and ends with the same steps. The order matters:
// it determines the order of the random draws and of the actions.
//
// On a request:
//  - RequestTable, ClassTable (cost, time spent on client retries), TrafficRates, RetryBudget;
//  - TenantQuota, PriorityScorer, AdmissionController;
//  - the request is rejected, queued by KeySerializer, or sent.
// To send an attempt:
//  - RetryPolicy (deadline, attempts left), AdmissionController (spare capacity);
//  - EndpointPicker, with RetryPolicy, SlowStart, ConnectBackoff, ConnectionAgeTracker and OutlierDetector;
//  - SlowStart, ConnectionAgeTracker and ResponsivenessMonitor record the send;
//  - for a first attempt, HedgingPolicy determines the time of a hedge.
// On a result:
//  - depending on the outcome, ResponsivenessMonitor, LatencyTracker, TrafficRates, AdmissionController,
//    ConnectBackoff;
//  - OutlierDetector, ConnectionAgeTracker, KeySerializer (cooldown);
//  - the request ends, is retried (RetryPolicy, RetryBudget), or is rejected or failed (RetryPolicy).
// On a wake:
//  - the timers that are due;
//  - once every kUpdateInterval the statistics: ConnectionAgeTracker, LatencyTracker, ResponsivenessMonitor,
//    LoadReports, OutlierDetector, SlowStart, PriorityScorer, KeySerializer, TrafficRates, ClassTable,
//    AdmissionController.
// On an endpoint list:
//  - EndpointListPoller, EndpointTable, LoadReports;
//  - for a restarted endpoint, the statistics of its previous process are reset.
// At the end of every event:
//  - KeySerializer (sends the heads of queues that have become ready), EndpointListPoller;
//  - TimerQueue (the next wake-up).
#include "cairnjunction/load_balancer.hpp"

#include <stdexcept>
#include <utility>

#include "policy/load_balancer_impl.hpp"
#include "policy/settings_validation.hpp"

namespace cairnjunction::policy {

LoadBalancer::LoadBalancer(Settings settings, Timestamp now) {
  validate(settings);
  impl_ = std::make_unique<Impl>(std::move(settings), now);
}
LoadBalancer::~LoadBalancer() = default;
LoadBalancer::LoadBalancer(LoadBalancer&&) noexcept = default;
LoadBalancer& LoadBalancer::operator=(LoadBalancer&&) noexcept = default;

void LoadBalancer::configure(Timestamp now, Settings settings) {
  validate(settings);
  impl_->configure(now, std::move(settings));
}
void LoadBalancer::onEndpoints(Timestamp now, EndpointListKind kind,
                               const std::vector<EndpointInfo>& entries) {
  impl_->onEndpoints(now, kind, entries);
}
void LoadBalancer::onRequest(Timestamp now, const Request& request) { impl_->onRequest(now, request); }
void LoadBalancer::onResponseStarted(Timestamp now, RequestId request, std::uint32_t attempt) {
  impl_->onResponseStarted(now, request, attempt);
}
void LoadBalancer::onResult(Timestamp now, const AttemptResult& result) { impl_->onResult(now, result); }
void LoadBalancer::onClientDisconnected(Timestamp now, RequestId request) {
  impl_->onClientDisconnected(now, request);
}
void LoadBalancer::onWake(Timestamp now) { impl_->onWake(now); }
void LoadBalancer::onReachability(Timestamp now, EndpointId endpoint, Reachability reachability,
                                  Timestamp startedAfter) {
  impl_->onReachability(now, endpoint, reachability, startedAfter);
}
void LoadBalancer::onConnections(EndpointId endpoint, std::uint32_t open) {
  impl_->onConnections(endpoint, open);
}

std::vector<Action>& LoadBalancer::actions() { return impl_->actions(); }

EndpointId LoadBalancer::findEndpoint(std::string_view address) const {
  return impl_->endpoints().idOf(address);
}
const std::string& LoadBalancer::address(EndpointId endpoint) const {
  if (endpoint >= impl_->endpoints().size()) throw std::out_of_range("no endpoint has this id");
  return impl_->endpoints()[endpoint].info.address;
}
double LoadBalancer::cutoff() const { return impl_->cutoff(); }
std::size_t LoadBalancer::activeRequests() const { return impl_->activeRequests(); }
std::uint32_t LoadBalancer::attemptsInFlight(EndpointId endpoint) const {
  if (endpoint >= impl_->endpoints().size()) return 0;
  return static_cast<std::uint32_t>(impl_->endpoints()[endpoint].inFlight);
}
std::uint32_t LoadBalancer::openConnections(EndpointId endpoint) const {
  if (endpoint >= impl_->endpoints().size()) return 0;
  return static_cast<std::uint32_t>(impl_->endpoints()[endpoint].connections.open);
}
bool LoadBalancer::isAvoided(EndpointId endpoint) const {
  if (endpoint >= impl_->endpoints().size()) return true;
  const Endpoint& record = impl_->endpoints()[endpoint];
  return record.outlier.state == EjectionState::ejected || record.responsiveness.unresponsive ||
         record.reachability != Reachability::reachable;
}

}  // namespace cairnjunction::policy

// The public face of the decision module: each event goes on to the part that it concerns. Nothing is decided
// here.
#include "cairnjunction/load_balancer.hpp"

#include "policy/module.hpp"
#include "policy/settings_validation.hpp"

namespace cairnjunction::policy {

struct LoadBalancer::Impl : Module {
  using Module::Module;
};

LoadBalancer::LoadBalancer(Settings settings, Timestamp now) {
  validate(settings);
  impl_ = std::make_unique<Impl>(std::move(settings), now);
}
LoadBalancer::~LoadBalancer() = default;
LoadBalancer::LoadBalancer(LoadBalancer&&) noexcept = default;
LoadBalancer& LoadBalancer::operator=(LoadBalancer&&) noexcept = default;

void LoadBalancer::configure(Timestamp now, Settings settings) {
  validate(settings);
  impl_->event(now, [&] { impl_->configure(std::move(settings)); });
}

void LoadBalancer::onEndpoints(Timestamp now, EndpointListKind kind,
                               const std::vector<EndpointInfo>& entries) {
  impl_->event(now, [&] { impl_->onHosts(kind, entries); });
}
void LoadBalancer::onRequest(Timestamp now, const Request& request) {
  impl_->event(now, [&] { impl_->onRequest(request); });
}
void LoadBalancer::onResponseStarted(Timestamp now, RequestId request, std::uint32_t attempt) {
  impl_->event(now, [&] { impl_->onAnswerStarted(request, attempt); });
}
void LoadBalancer::onResult(Timestamp now, const AttemptResult& result) {
  impl_->event(now, [&] { impl_->onResult(result); });
}
void LoadBalancer::onClientDisconnected(Timestamp now, RequestId request) {
  impl_->event(now, [&] { impl_->onClientGone(request); });
}
void LoadBalancer::onWake(Timestamp now) {
  impl_->event(now, [&] { impl_->onWake(); });
}
void LoadBalancer::onReachability(Timestamp now, EndpointId host, Reachability reach,
                                  Timestamp startedAfter) {
  impl_->event(now, [&] { impl_->onReach(host, reach, startedAfter); });
}
void LoadBalancer::onConnections(EndpointId host, std::uint32_t open) { impl_->onConnections(host, open); }
std::uint32_t LoadBalancer::attemptsInFlight(EndpointId host) const {
  return host < impl_->hosts.size() ? static_cast<std::uint32_t>(impl_->hosts[host].inflight) : 0;
}
std::uint32_t LoadBalancer::openConnections(EndpointId host) const {
  return host < impl_->hosts.size() ? static_cast<std::uint32_t>(impl_->hosts[host].lines) : 0;
}
bool LoadBalancer::isAvoided(EndpointId host) const {
  if (host >= impl_->hosts.size()) return true;
  const Host& h = impl_->hosts[host];
  return h.health == Health::ejected || h.silent || h.reach != Reachability::reachable;
}
std::vector<Action>& LoadBalancer::actions() { return impl_->out; }
EndpointId LoadBalancer::findEndpoint(std::string_view address) const {
  const auto it = impl_->hostIds.find(std::string(address));
  return it == impl_->hostIds.end() ? kNone : it->second;
}
const std::string& LoadBalancer::address(EndpointId host) const {
  return impl_->hosts.at(host).entry.address;
}
double LoadBalancer::cutoff() const { return impl_->cut; }
std::size_t LoadBalancer::activeRequests() const { return impl_->slotOf.size(); }

}  // namespace cairnjunction::policy

// The public face of the decision module: each event goes on to the part that it concerns. Nothing is decided
// here.
#include "ochrehill/ochrehill.hpp"
#include "policy/module.hpp"
#include "settings.hpp"

namespace ochrehill {

struct Balancer::Impl : Module {
  using Module::Module;
};

Balancer::Balancer(Settings settings, Time now) {
  validate(settings);
  impl_ = std::make_unique<Impl>(std::move(settings), now);
}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::configure(Time now, Settings settings) {
  validate(settings);
  impl_->event(now, [&] { impl_->configure(std::move(settings)); });
}

void Balancer::onHosts(Time now, ListKind kind, const std::vector<HostEntry>& entries) {
  impl_->event(now, [&] { impl_->onHosts(kind, entries); });
}
void Balancer::onRequest(Time now, const Request& request) {
  impl_->event(now, [&] { impl_->onRequest(request); });
}
void Balancer::onAnswerStarted(Time now, RequestId request, std::uint32_t attempt) {
  impl_->event(now, [&] { impl_->onAnswerStarted(request, attempt); });
}
void Balancer::onResult(Time now, const AttemptResult& result) {
  impl_->event(now, [&] { impl_->onResult(result); });
}
void Balancer::onClientGone(Time now, RequestId request) {
  impl_->event(now, [&] { impl_->onClientGone(request); });
}
void Balancer::onWake(Time now) {
  impl_->event(now, [&] { impl_->onWake(); });
}
void Balancer::onReach(Time now, HostId host, Reach reach, Time startedAfter) {
  impl_->event(now, [&] { impl_->onReach(host, reach, startedAfter); });
}
void Balancer::onConnections(HostId host, std::uint32_t open) { impl_->onConnections(host, open); }
std::uint32_t Balancer::attemptsOut(HostId host) const {
  return host < impl_->hosts.size() ? static_cast<std::uint32_t>(impl_->hosts[host].inflight) : 0;
}
std::uint32_t Balancer::connections(HostId host) const {
  return host < impl_->hosts.size() ? static_cast<std::uint32_t>(impl_->hosts[host].lines) : 0;
}
bool Balancer::avoids(HostId host) const {
  if (host >= impl_->hosts.size()) return true;
  const Host& h = impl_->hosts[host];
  return h.health == Health::ejected || h.silent || h.reach != Reach::open;
}
std::vector<Action>& Balancer::actions() { return impl_->out; }
HostId Balancer::findHost(std::string_view address) const {
  const auto it = impl_->hostIds.find(std::string(address));
  return it == impl_->hostIds.end() ? kNone : it->second;
}
const std::string& Balancer::address(HostId host) const { return impl_->hosts.at(host).entry.address; }
double Balancer::cutoff() const { return impl_->cut; }
std::size_t Balancer::openRequests() const { return impl_->slotOf.size(); }

}  // namespace ochrehill

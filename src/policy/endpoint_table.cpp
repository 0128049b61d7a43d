#include "policy/endpoint_table.hpp"

#include <algorithm>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

// Endpoints accept a limited number of connections, which a large group of gateways would use up if each
// opened one to every endpoint. So the subset of a gateway has kMinSubsetSize endpoints, plus kSubsetFactor
// times its even part of the pool.
constexpr double kMinSubsetSize = 6;
constexpr double kSubsetFactor = 4;
constexpr std::uint32_t kGatewaysPerRound = 16;  // gateways distributed evenly over the pool

bool allows(const std::optional<std::vector<std::string>>& list, const std::string& name) {
  return !list || std::find(list->begin(), list->end(), name) != list->end();
}

// Applies allowedZones and allowedMachineKinds of each class.
void allowClasses(Endpoint& endpoint, const ClassTable& classes) {
  endpoint.allowedForClass.clear();
  for (const ClassState& state : classes) {
    const ClassSettings& settings = state.settings();
    endpoint.allowedForClass.push_back(allows(settings.allowedZones, endpoint.info.zone) &&
                                       allows(settings.allowedMachineKinds, endpoint.info.machineKind));
  }
}

}  // namespace

EndpointId EndpointTable::idOf(std::string_view address) const {
  const auto it = idOf_.find(std::string(address));
  return it == idOf_.end() ? kNone : it->second;
}

void EndpointTable::markAllRemoved() {
  for (Endpoint& endpoint : endpoints_) endpoint.info.state = EndpointState::removed;
}

EndpointTable::UpsertResult EndpointTable::upsert(const EndpointInfo& info, const ClassTable& classes) {
  const auto newId = freeIds_.empty() ? static_cast<EndpointId>(endpoints_.size()) : freeIds_.back();
  const auto [it, isNew] = idOf_.emplace(info.address, newId);
  if (isNew) {
    if (freeIds_.empty()) endpoints_.emplace_back();
    else freeIds_.pop_back();
    endpoints_[newId].addressHash = hashText(info.address);
  }
  Endpoint& endpoint = endpoints_[it->second];
  const bool restarted = isNew || info.startedAt != endpoint.info.startedAt;
  endpoint.info = info;
  endpoint.inOwnZone = info.zone == settings_.zone;
  allowClasses(endpoint, classes);
  endpoint.machineKind = machineKindNamed(info.machineKind);
  MachineKind& kind = machineKinds_[endpoint.machineKind];
  kind.unloadedWeight = std::max(kind.unloadedWeight, info.weight);
  return {it->second, restarted};
}

std::size_t EndpointTable::machineKindNamed(const std::string& name) {
  const auto it = std::find_if(machineKinds_.begin(), machineKinds_.end(),
                               [&](const MachineKind& kind) { return kind.name == name; });
  const auto index = static_cast<std::size_t>(it - machineKinds_.begin());
  if (it == machineKinds_.end()) machineKinds_.emplace_back().name = name;
  return index;
}

// Endpoints are placed on a hash ring, a different one for every round of kGatewaysPerRound gateways, and the
// gateways of a round start at equal distances on it: adding or removing an endpoint changes only the subsets
// near it. With key affinity all gateways use all endpoints, so that an endpoint serves a key for all of
// them.
void EndpointTable::rebuildOrder() {
  listed_.clear();
  for (EndpointId id = 0; id < endpoints_.size(); ++id)
    if (endpoints_[id].info.state == EndpointState::active) listed_.push_back(id);
  std::sort(listed_.begin(), listed_.end(), [&](EndpointId left, EndpointId right) {
    return endpoints_[left].info.address < endpoints_[right].info.address;
  });
  countReachable();

  const auto count = static_cast<double>(listed_.size());
  const double subset =
      settings_.keyAffinity ? count : kMinSubsetSize + kSubsetFactor * count / settings_.gatewayCount;
  subsetSize_ = static_cast<std::size_t>(std::min(count, subset));
  const std::uint64_t salt = mix(settings_.gatewayIndex / kGatewaysPerRound);
  const std::uint64_t start = settings_.gatewayIndex % kGatewaysPerRound * (UINT64_MAX / kGatewaysPerRound);
  const auto distance = [&](EndpointId id) { return mix(endpoints_[id].addressHash ^ salt) - start; };
  ordered_ = listed_;
  std::sort(ordered_.begin(), ordered_.end(),
            [&](EndpointId left, EndpointId right) { return distance(left) < distance(right); });
}

void EndpointTable::reconfigure(const ClassTable& classes, const std::vector<std::size_t>& origins) {
  for (Endpoint& endpoint : endpoints_) {
    if (endpoint.info.address.empty()) continue;
    const std::vector<double> before = std::move(endpoint.outlier.classFailureRates);
    endpoint.outlier.classFailureRates.clear();
    for (const std::size_t origin : origins)
      endpoint.outlier.classFailureRates.push_back(origin < before.size() ? before[origin] : 0.0);
    allowClasses(endpoint, classes);
  }
}

void EndpointTable::setReachability(EndpointId id, Reachability reachability) {
  endpoints_[id].reachability = reachability;
  countReachable();
}

void EndpointTable::countReachable() {
  reachableCount_ =
      static_cast<std::size_t>(std::count_if(listed_.begin(), listed_.end(), [&](EndpointId id) {
        return endpoints_[id].reachability == Reachability::reachable;
      }));
}

bool EndpointTable::forgetIfUnused(EndpointId id) {
  Endpoint& endpoint = endpoints_[id];
  if (endpoint.info.state != EndpointState::removed || endpoint.references > 0 ||
      endpoint.info.address.empty())
    return false;
  idOf_.erase(endpoint.info.address);
  endpoint = Endpoint{};
  endpoint.info.state = EndpointState::removed;
  freeIds_.push_back(id);
  return true;
}

double EndpointTable::inFlight() const {
  double sum = 0;
  for (const EndpointId id : listed_)
    if (endpoints_[id].countsTowardsPool()) sum += endpoints_[id].inFlight;
  return sum;
}

}  // namespace cairnjunction::policy

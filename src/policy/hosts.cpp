// Hosts: the list as discovery tells it, when to ask for it, and the part of it that this gateway uses.
#include <algorithm>
#include <cmath>

#include "policy/module.hpp"

namespace cairnjunction::policy {
namespace {

// Danger: hosts accept so many connections, and each gateway of a large bank opening one to every host shuts
// the others out. A gateway keeps to this many hosts, and to this many times its part of the pool.
constexpr double kWidthLeast = 6;
constexpr double kWidthParts = 4;
constexpr std::uint32_t kRound = 16;  // gateways dealt out over the pool at a time

}  // namespace

void Module::onHosts(EndpointListKind kind, const std::vector<EndpointInfo>& entries) {
  if (kind == EndpointListKind::unavailable) {
    askFailures = std::min(askFailures + 1, 4);
    asking = false;
    Duration wait = milliseconds(500) * (1 << askFailures);
    // Danger: a limit set after the jitter makes all gateways come back in one moment.
    if (set.maxPollInterval > Duration{}) wait = std::min(wait, set.maxPollInterval / 5);
    askAgain = now + scaled(wait, 0.5 + drawUnit());
    return;
  }
  if (kind == EndpointListKind::restored) {
    if (set.pollDiscovery) askAgain = now;  // it may be stale: ask at once
  } else {
    askFailures = 0;
    answered = true;
  }
  if (kind != EndpointListKind::update)
    for (Host& h : hosts) h.entry.state = EndpointState::removed;  // what a whole list leaves out is gone
  for (const EndpointInfo& e : entries) {
    const auto next = freeHosts.empty() ? static_cast<EndpointId>(hosts.size()) : freeHosts.back();
    auto [it, fresh] = hostIds.emplace(e.address, next);
    if (fresh) {
      if (freeHosts.empty()) hosts.emplace_back();
      else freeHosts.pop_back();
      hosts[next].hash = hashText(e.address);
    }
    Host& h = hosts[it->second];
    const bool restarted = fresh || e.startedAt != h.entry.startedAt;
    h.entry = e;
    h.local = e.zone == set.zone;
    h.open.clear();
    for (const ClassState& c : classes)
      h.open.push_back(names(c.set.allowedZones, e.zone) && names(c.set.allowedMachineKinds, e.machineKind));
    h.kind = 0;
    while (h.kind < kinds.size() && kinds[h.kind].name != e.machineKind) ++h.kind;
    if (h.kind == kinds.size()) kinds.push_back({e.machineKind});
    kinds[h.kind].weight = std::max(kinds[h.kind].weight, e.weight);
    if (set.loadReports && kind != EndpointListKind::restored)
      crowded(h, kinds[h.kind].weight / std::max(e.weight, 0.001));
    if (restarted) renew(h);
  }
  listed.clear();
  for (EndpointId id = 0; id < hosts.size(); ++id)
    if (hosts[id].entry.state == EndpointState::active) listed.push_back(id);
  std::sort(listed.begin(), listed.end(),
            [&](EndpointId a, EndpointId b) { return hosts[a].entry.address < hosts[b].entry.address; });
  countReachable();
  reorder();
  for (EndpointId id = 0; id < hosts.size(); ++id) forgetGone(id);
}

// Own hosts first. Hosts lie on a ring, in an order of its own for every round of gateways, and the
// gateways of a round start evenly around it: hosts that come or go move only their neighbours. Keys are
// kept warm by all.
void Module::reorder() {
  const double count = static_cast<double>(listed.size());
  const double own = set.keyAffinity ? count : kWidthLeast + kWidthParts * count / set.gatewayCount;
  width = static_cast<std::size_t>(std::min(count, own));
  const std::uint64_t salt = mix(set.gatewayIndex / kRound);
  const std::uint64_t start = set.gatewayIndex % kRound * (UINT64_MAX / kRound);
  const auto after = [&](EndpointId id) { return mix(hosts[id].hash ^ salt) - start; };
  order = listed;
  std::sort(order.begin(), order.end(), [&](EndpointId a, EndpointId b) { return after(a) < after(b); });
}

void Module::renew(Host& h) {  // a new process: what was learned of the old one is void
  h.health = Health::good;
  h.ejections = 0;
  h.fails = 0;
  h.classFails.assign(classes.size(), 0);
  h.fulls = 0;
  h.silent = false;
  h.dialFails = 0;
  if (!h.exact) h.lines = 0;
  h.share = h.crowd = 1;
  h.pace = kinds[h.kind].pace / std::sqrt(warmth(h));
  // Danger: a first request from every one of many gateways at once is a burst; a drawn phase spreads them.
  h.coldTokens = drawUnit();
  h.coldAt = now;
}

void Module::countReachable() {
  reachable = 0;
  for (EndpointId id : listed) reachable += hosts[id].reach == Reachability::reachable;
}

void Module::onReach(EndpointId id, Reachability reach, Timestamp startedAfter) {
  if (id >= hosts.size() || hosts[id].entry.address.empty()) return;
  Host& h = hosts[id];
  if (reach == Reachability::reachable && startedAfter > h.startedAfter) {
    h.startedAfter = startedAfter;
    renew(h);
  }
  if (reach == Reachability::reachable) h.dialAfter = now;
  h.reach = reach;
  countReachable();
}

void Module::onConnections(EndpointId id, std::uint32_t open) {
  if (id >= hosts.size() || hosts[id].entry.address.empty()) return;
  hosts[id].exact = true;
  hosts[id].lines = static_cast<int>(open);
}

void Module::ask() {
  // Danger: a call whose answer is lost would leave the gateway silent towards discovery for good.
  const bool lost = !answered && set.maxPollInterval > Duration{} && now - askedAt > set.maxPollInterval / 2;
  if (!set.pollDiscovery || (asking && !lost) || now < askAgain) return;
  emit(ActionKind::pollEndpoints);
  asking = true;  // until it fails
  answered = false;
  askedAt = now;
}

}  // namespace cairnjunction::policy

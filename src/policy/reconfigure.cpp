// New settings for a decision module that is at work. Nothing is decided here.
#include <algorithm>

#include "policy/module.hpp"

namespace cairnjunction::policy {

// Each class at its index; an index whose class changed is one that no open request has. What was learned of
// a class goes with its name.
void Module::configure(Settings next) {
  const std::vector<ClassState> before = classes;
  const auto unknownBefore = static_cast<std::uint32_t>(set.classes.size());
  const auto unknown = static_cast<std::uint32_t>(next.classes.size());
  // Where and as whom it works was settled at its start, and so was what the connections carry.
  next.seed = set.seed;
  next.zone = set.zone;
  next.gatewayIndex = set.gatewayIndex;
  next.gatewayCount = set.gatewayCount;
  next.pollDiscovery = set.pollDiscovery;
  next.streamsPerConnection = set.streamsPerConnection;
  next.eventInterval = set.eventInterval;
  std::vector<std::size_t> from(unknown + 1, before.size());  // by index: whose knowledge it takes
  for (std::uint32_t i = 0; i < unknown; ++i) {
    if (i < unknownBefore && set.classes[i].name == next.classes[i].name) from[i] = i;
    else
      for (std::uint32_t j = 0; j < unknownBefore; ++j)
        if (set.classes[j].name == next.classes[i].name) from[i] = j;
  }
  from[unknown] = unknownBefore;
  const auto moved = [&](const auto& old, std::size_t to, const auto& none) {
    return from[to] < old.size() ? old[from[to]] : none;
  };
  classes.clear();
  for (std::uint32_t i = 0; i <= unknown; ++i) {
    ClassState c = moved(before, i, ClassState{});
    if (i < unknown) c.set = next.classes[i];
    classes.push_back(std::move(c));
  }
  for (Open& r : slots)
    if (r.live && r.cls == unknownBefore) r.cls = unknown;
  for (Host& h : hosts) {
    if (h.entry.address.empty()) continue;
    std::vector<double> fails;
    for (std::uint32_t i = 0; i <= unknown; ++i) fails.push_back(moved(h.classFails, i, 0.0));
    h.classFails = std::move(fails);
    h.open.clear();
    for (const ClassState& c : classes)
      h.open.push_back(names(c.set.allowedZones, h.entry.zone) &&
                       names(c.set.allowedMachineKinds, h.entry.machineKind));
  }
  quotaTokens.resize(next.tenants.size(), 0);
  set = std::move(next);
}

}  // namespace cairnjunction::policy

// Pick: a random ready host among those that hold few of our requests, else the lighter of two draws.
#include <algorithm>

#include "policy/module.hpp"

namespace cairnjunction::policy {
namespace {

// Danger: with more requests than hosts each holds several, a fixed limit of one counts none as idle, and two
// blind draws decide: some hosts queue while cores of others stand free. So few is what lies under the mean,
// whatever made it uneven: slow answers, a host back from a pause, cancels. It could do harm where a host
// holds little because it fails at once (trust and ejection are to keep that one out), and it means nothing
// where each of many gateways holds less than one a host: there it is one, as before.
constexpr double kFewOfMean = 0.75;
constexpr double kLocalLean = 2;            // own zone in the draw: yields to a host 1.4 times as fast
constexpr std::size_t kWarmCandidates = 3;  // hosts that share the warmth of one key at least,
constexpr double kClassOver = 1.5;          // times what its peers fail is noise in a trouble of all hosts
constexpr double kClassLeast = 0.03;  // of its draws for the class: a trickle tells when it is well again

}  // namespace

// Part of its draws that a host keeps for a class: less as it fails that class more than its peers do.
double Module::trust(const Host& h, std::uint32_t cls) const {
  const double well = 1 - std::max(h.classFails[cls] - kClassOver * classes[cls].fails, 0.0);
  return std::max(well * well * well, kClassLeast);
}

bool Module::allowed(const Open& r, const Host& h) const {  // the rules on placement and repeats
  const ClassSettings& c = classes[r.cls].set;
  if (!h.open[r.cls]) return false;
  for (std::uint32_t i = 0; i < r.count; ++i) {
    if (!r.tries[i].mayHaveRun || c.idempotency == Idempotency::safe) continue;
    if (c.idempotency == Idempotency::unsafe) return false;
    const EndpointInfo& first = hosts[r.tries[i].host].entry;
    if (c.dedupScope != DedupScope::all && first.zone != h.entry.zone) return false;
    if (c.dedupScope == DedupScope::cell && first.cell != h.entry.cell) return false;
    if (now + 2 * set.eventInterval > r.tries[i].at + c.dedupWindow) return false;
  }
  return true;
}

void Module::gather(const Open& r, bool relaxed) {
  ready.clear();
  bool found = false;  // an idle one
  for (EndpointId id : order) {
    if (found && ready.size() >= width) break;
    Host& h = hosts[id];
    if (h.reach == Reachability::unreachable || (now < dialAfter && !free(h)))
      continue;                                                       // known to come to nothing
    if (h.reach == Reachability::probeOnly && r.count > 0) continue;  // a second try is no probe
    if (!relaxed) {
      if (now < h.restUntil || !mayDial(h) || h.silent || h.health == Health::ejected ||
          (h.health == Health::trial && h.inflight > 0))
        continue;
      bool tried = false;
      for (std::uint32_t i = 0; i < r.count; ++i) tried |= r.tries[i].host == id;
      if (tried) continue;
    }
    if (!allowed(r, h) || !coldMayTake(h) || holdsItsMost(h)) continue;
    ready.push_back(id);
    found |= idle(h);
  }
}

EndpointId Module::pick(const Open& r) {
  few = std::max(kFewOfMean * heldNow() / static_cast<double>(std::max<std::size_t>(reachable, 1)), 1.0);
  gather(r, false);
  if (ready.empty()) gather(r, true);  // no healthy host: any that the rules allow beats none
  if (ready.empty()) return kNone;
  // Danger: among a hundred hosts a thin gateway draws the cold one it could send to once in half a minute;
  // it would stay cold. Its budget is small and is spent first.
  for (EndpointId id : ready)
    if (r.count == 0 && isCold(hosts[id]) && idle(hosts[id]) && drawUnit() > evidence()) return id;
  if (set.keyAffinity && r.hasKey) {
    // Warm keys: the first hosts in the key's rendezvous order, the same at all gateways.
    const std::size_t most = std::min(kWarmCandidates, ready.size());
    std::partial_sort(
        ready.begin(), ready.begin() + static_cast<std::ptrdiff_t>(most), ready.end(),
        [&](EndpointId a, EndpointId b) { return mix(hosts[a].hash ^ r.key) > mix(hosts[b].hash ^ r.key); });
    ready.resize(most);
    for (std::size_t i = 0; i < most; ++i) {
      const Host& h = hosts[ready[i]];
      if (idle(h) && drawUnit() < h.share) return ready[i];
    }
  }
  // Danger: beside many gateways our own in-flight says little, every host looks idle, and the own zone is
  // overrun; so the draw leans towards hosts that answer fast, and towards the own zone only lightly.
  double sum = 0;
  EndpointId chosen = kNone;
  for (EndpointId id : ready) {
    const Host& h = hosts[id];
    if (!idle(h)) continue;
    const double weight =
        (h.local ? kLocalLean : 1) * h.share * trust(h, r.cls) / std::max(h.pace * h.pace, 0.01);
    sum += weight;
    if (drawUnit() * sum < weight) chosen = id;
  }
  if (chosen != kNone) return chosen;
  const EndpointId a = ready[drawBelow(ready.size())], b = ready[drawBelow(ready.size())];
  return load(hosts[a]) * trust(hosts[b], r.cls) <= load(hosts[b]) * trust(hosts[a], r.cls) ? a : b;
}

}  // namespace cairnjunction::policy

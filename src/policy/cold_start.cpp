// Cold start: how much a host that has just started may be sent, by all gateways together.
#include <algorithm>

#include "policy/module.hpp"

namespace cairnjunction::policy {
namespace {

constexpr double kProvenDecay = 0.997;  // per sweep: proven rates of a machine kind fade over half a minute
constexpr double kColdPart = 0.45;      // load of a cold host, as a part of the multiple that fells it

}  // namespace

double Module::warmth(const Host& h) const {
  if (!isCold(h)) return 1;
  return set.slowStartInitialFraction +
         (1 - set.slowStartInitialFraction) * toSeconds(now - startOf(h)) / toSeconds(set.slowStartDuration);
}

// Danger: all gateways together push a cold host over. Each keeps to its own part: the cold share of what
// it has warm hosts of that kind carry, in every window, refused attempts counted. That may be a small part
// of a request; a floor of one, times hundreds of gateways, would be a flood.
bool Module::coldMayTake(Host& h) {
  if (!isCold(h)) return true;
  const double window = std::max(toSeconds(set.collapseWindow), 0.1);
  // No warm one of its kind seen, e.g. after our own restart: an even share of what we get.
  const double even = askedRate / static_cast<double>(std::max<std::size_t>(width, 1));
  const double proven = kinds[h.kind].proven > 0 ? kinds[h.kind].proven : even;
  const double part = kColdPart * (2 + evidence()) / 3;  // less where it is spent first (see the pick)
  const double rate = proven * warmth(h) * part * set.collapseLoadFactor;
  h.coldTokens = std::min(h.coldTokens + rate * toSeconds(now - h.coldAt), std::max(1.0, rate * window / 4));
  h.coldAt = now;
  return h.coldTokens >= 1;
}

// What a warm host of each kind has lately carried. Danger: in a deploy of nearly all hosts the last warm
// ones are buried, and their sinking rates would starve the cold ones that could help; hence a slow decay.
void Module::sweepKinds() {
  for (Kind& k : kinds) k.served = k.count = 0;
  for (std::size_t i = 0; i < order.size(); ++i) {
    Host& h = hosts[order[i]];
    if (i < width && !isCold(h) && counts(h)) {  // of the others we ask little
      kinds[h.kind].served += h.served;
      kinds[h.kind].count += 1;
    }
    h.served = 0;
  }
  for (Kind& k : kinds) {
    if (k.count > 0) k.rate += fastGain() * (k.served / k.count / toSeconds(kSweep) - k.rate);
    k.proven = std::max(k.rate, k.proven * kProvenDecay);
  }
}

}  // namespace cairnjunction::policy

#include "policy/slow_start.hpp"

#include <algorithm>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

// Per update: proven rates fade over half a minute. In a deployment of nearly all endpoints the last ones
// past their start are overloaded, and by their sinking rates the started ones, which could help, would be
// sent nothing.
constexpr double kProvenDecay = 0.997;
constexpr double kCollapseMargin = 0.45;  // share of collapseLoadFactor that all gateways together may send

}  // namespace

double SlowStart::capacityFraction(const Endpoint& endpoint, Timestamp now) const {
  if (!isActive(endpoint, now)) return 1;
  const double initial = settings_.slowStartInitialFraction;
  return initial +
         (1 - initial) * toSeconds(now - startOf(endpoint)) / toSeconds(settings_.slowStartDuration);
}

double SlowStart::refill(Endpoint& endpoint, const EndpointTable& endpoints, Timestamp now) const {
  const double window = std::max(toSeconds(settings_.collapseWindow), 0.1);
  // Where none of its kind past slow start was seen, e.g. after a start of our own: an even share of the
  // requests.
  const double evenShare =
      rates_.requestRate() / static_cast<double>(std::max<std::size_t>(endpoints.subsetSize(), 1));
  const double provenRate = endpoints.kindOf(endpoint).provenRate;
  const double carried = provenRate > 0 ? provenRate : evenShare;
  // Less where few requests come: the picker spends the tokens first there.
  const double margin = kCollapseMargin * (2 + rates_.sampleConfidence()) / 3;
  const double rate = carried * capacityFraction(endpoint, now) * margin * settings_.collapseLoadFactor;
  SlowStartRecord& bucket = endpoint.slowStart;
  bucket.tokens =
      std::min(bucket.tokens + rate * toSeconds(now - bucket.refilledAt), std::max(1.0, rate * window / 4));
  bucket.refilledAt = now;
  return bucket.tokens;
}

void SlowStart::recordSend(Endpoint& endpoint, Timestamp now) const {
  if (isActive(endpoint, now)) endpoint.slowStart.tokens -= 1;
}

void SlowStart::reset(Endpoint& endpoint, Timestamp now, Random& random) {
  endpoint.slowStart.tokens = random.unit();
  endpoint.slowStart.refilledAt = now;
}

void SlowStart::update(EndpointTable& endpoints, Timestamp now) const {
  std::vector<MachineKind>& kinds = endpoints.machineKinds();
  for (MachineKind& kind : kinds) {
    kind.answers = 0;
    kind.endpoints = 0;
  }
  const std::vector<EndpointId>& ordered = endpoints.ordered();
  for (std::size_t i = 0; i < ordered.size(); ++i) {
    Endpoint& endpoint = endpoints[ordered[i]];
    // Beyond the subset an endpoint is sent little.
    if (i < endpoints.subsetSize() && !isActive(endpoint, now) && endpoint.inService()) {
      MachineKind& kind = endpoints.kindOf(endpoint);
      kind.answers += endpoint.latency.answers;
      kind.endpoints += 1;
    }
    endpoint.latency.answers = 0;
  }
  for (MachineKind& kind : kinds) {
    if (kind.endpoints > 0) {
      const double rate = kind.answers / kind.endpoints / toSeconds(kUpdateInterval);
      kind.answerRate += rates_.fastGain() * (rate - kind.answerRate);
    }
    kind.provenRate = std::max(kind.answerRate, kind.provenRate * kProvenDecay);
  }
}

}  // namespace cairnjunction::policy

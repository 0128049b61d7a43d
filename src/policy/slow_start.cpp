#include "policy/slow_start.hpp"

#include <algorithm>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

// Per update: peak rates decay over about half a minute. When a rollout restarts nearly all endpoints, the
// few remaining ones past slow start are overloaded and their answer rates fall; without the slow decay, the
// newly started endpoints, which could take load, would get no tokens.
constexpr double kPeakAnswerRateDecay = 0.997;
constexpr double kCollapseLoadFraction =
    0.45;  // fraction of collapseLoadFactor that all gateways together may send

}  // namespace

double SlowStart::capacityFraction(const Endpoint& endpoint, Timestamp now) const {
  if (!isActive(endpoint, now)) return 1;
  const double initial = settings_.slowStartInitialFraction;
  return initial +
         (1 - initial) * toSeconds(now - startOf(endpoint)) / toSeconds(settings_.slowStartDuration);
}

double SlowStart::refill(Endpoint& endpoint, const EndpointTable& endpoints, Timestamp now) const {
  const double window = std::max(toSeconds(settings_.collapseWindow), 0.1);
  // Used while no endpoint of the kind past slow start has been measured, e.g. after a start of this gateway:
  // an even part of the requests.
  const double evenRate =
      rates_.requestRate() / static_cast<double>(std::max<std::size_t>(endpoints.subsetSize(), 1));
  const double peakAnswerRate = endpoints.kindOf(endpoint).peakAnswerRate;
  const double sustainableRate = peakAnswerRate > 0 ? peakAnswerRate : evenRate;
  // Lower where requests are rare, because the picker then prefers endpoints in slow start.
  const double margin = kCollapseLoadFraction * (2 + rates_.sampleConfidence()) / 3;
  const double rate =
      sustainableRate * capacityFraction(endpoint, now) * margin * settings_.collapseLoadFactor;
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
    // Endpoints outside the subset receive few requests, so their rates do not show their capacity.
    if (i < endpoints.subsetSize() && !isActive(endpoint, now) && endpoint.countsTowardsPool()) {
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
    kind.peakAnswerRate = std::max(kind.answerRate, kind.peakAnswerRate * kPeakAnswerRateDecay);
  }
}

}  // namespace cairnjunction::policy

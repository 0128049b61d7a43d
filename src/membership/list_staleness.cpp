#include "membership/list_staleness.hpp"

#include <algorithm>

#include "common/numeric.hpp"

namespace cairnjunction {

using policy::Duration;
using policy::scaled;
using policy::Timestamp;

Duration ListStaleness::withJitter(Duration duration) const {
  return scaled(duration, 0.75 + 0.5 * settings_.jitter);
}

Duration ListStaleness::staleAfter() const { return scaled(settings_.staleAfter, 0.5 + settings_.jitter); }

bool ListStaleness::takeResyncRequest(Timestamp now, const ListContradictions& contradictions) {
  if (!contradictions.listMayBeStale()) {
    // The next contradiction counts as a new one, except within the pause: an intermittent contradiction must
    // not shorten it.
    if (now >= nextRequestAt_) consecutiveRequests_ = 0;
    return false;
  }
  if (now < nextRequestAt_) return false;
  const Duration pause =
      settings_.resyncInitialBackoff * (1 << std::min(consecutiveRequests_, settings_.resyncMaxDoublings));
  nextRequestAt_ = now + withJitter(pause);
  ++consecutiveRequests_;
  return true;
}

void ListStaleness::onResyncFailed(Timestamp now) {
  consecutiveRequests_ = std::max(consecutiveRequests_ - 1, 0);
  nextRequestAt_ = std::min(nextRequestAt_, now + withJitter(settings_.resyncRetryAfterFailure));
}

}  // namespace cairnjunction

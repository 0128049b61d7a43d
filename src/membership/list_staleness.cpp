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
  if (!contradictions.any()) {
    // The next contradiction is a new one. But one that comes and goes does not shorten the pause.
    if (now >= nextRequestAt_) requests_ = 0;
    return false;
  }
  if (now < nextRequestAt_) return false;
  const Duration pause =
      settings_.resyncInitialBackoff * (1 << std::min(requests_, settings_.resyncMaxDoublings));
  nextRequestAt_ = now + withJitter(pause);
  ++requests_;
  return true;
}

void ListStaleness::onResyncFailed(Timestamp now) {
  requests_ = std::max(requests_ - 1, 0);
  nextRequestAt_ = std::min(nextRequestAt_, now + withJitter(settings_.resyncRetryAfterFailure));
}

}  // namespace cairnjunction

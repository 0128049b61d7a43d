#include "fleet/fallback_polling.hpp"

namespace cairnjunction::fleet {

void FallbackPolling::onIsolationChange(bool isolated, lease::BootTime now, std::uint32_t members,
                                        bool hasList, double draw) {
  if (!isolated) return pollsAt_.reset();
  const double speedup = hasList ? 1 : kNoListSpeedup;
  const double seconds = draw * members / kMaxPollsPerSecond / speedup;
  pollsAt_ = now + lease::Duration(static_cast<std::int64_t>(seconds * 1000));
}

void FallbackPolling::onListRejected(lease::BootTime now, std::uint32_t members, double draw) {
  if (!pollsAt_) onIsolationChange(true, now, members, true, draw);
}

void FallbackPolling::onListAccepted(bool isolated) {
  if (!isolated) pollsAt_.reset();
}

}  // namespace cairnjunction::fleet

#include "fleet/lease_log.hpp"

#include <utility>

#include "fleet/boot_clock.hpp"
#include "lease/codec.hpp"

namespace cairnjunction::fleet {

void LeaseLog::onLeadershipAcquired() {
  // A new leader has applied all entries that were committed before it.
  leadershipStart_ = table().now();
  leadershipStartBoot_ = bootTime();
}

lease::LogTime LeaseLog::now() const { return leadershipStart_ + (bootTime() - leadershipStartBoot_); }

void LeaseLog::propose(lease::Change change, std::function<void(const lease::ApplyResult&)> onApplied) {
  if (!log_) return;
  log_->propose(lease::encode({now(), std::move(change)}),
                lifetime_.guard([this, onApplied = std::move(onApplied)](bool committed) {
                  if (committed) onApplied(machine_.lastResult());
                }));
}

}  // namespace cairnjunction::fleet

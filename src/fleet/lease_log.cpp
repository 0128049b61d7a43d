#include "fleet/lease_log.hpp"

#include <utility>

#include "fleet/boot_clock.hpp"
#include "lease/codec.hpp"

namespace cairnjunction::fleet {

void LeaseLog::beginLeading() {
  // A leader has applied all that was committed before it.
  startedAt_ = table().now();
  startedAtBoot_ = bootTime();
}

lease::LogTime LeaseLog::now() const { return startedAt_ + (bootTime() - startedAtBoot_); }

void LeaseLog::propose(lease::Change change, std::function<void(const lease::ApplyResult&)> onApplied) {
  if (!log_) return;
  log_->propose(lease::encode({now(), std::move(change)}),
                lifetime_.guard([this, onApplied = std::move(onApplied)](bool committed) {
                  if (committed) onApplied(machine_.lastResult());
                }));
}

}  // namespace cairnjunction::fleet

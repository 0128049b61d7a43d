#include "fleet/held_leases.hpp"

#include <algorithm>

namespace cairnjunction::fleet {

using lease::BootTime;
using lease::Epoch;
using lease::HeldLease;
using lease::LeaseKey;

std::string_view nameOf(LeaseEndReason reason) {
  switch (reason) {
    case LeaseEndReason::revoked: return "revoked";
    case LeaseEndReason::superseded: return "superseded";
    case LeaseEndReason::expired: return "expired";
    case LeaseEndReason::released: return "released";
    case LeaseEndReason::failed: return "failed";
    case LeaseEndReason::leaving: return "leaving";
  }
  return "";
}

void HeldLeases::onGrant(const LeaseGrant& grant, BootTime now) {
  // A lease that is measured from a heartbeat which was never sent would outlast the one on the log.
  if (grant.heartbeatSentAt > now) return;
  HeldLease& lease = leases_[grant.key];
  const Epoch formerEpoch = lease.epoch();
  lease.recordGrant(grant.epoch, grant.sequence, grant.heartbeatSentAt, grant.leaseDuration);
  if (!lease.isValid(now) || lease.epoch() != grant.epoch) return;
  const std::optional<Epoch> active = activeEpoch(grant.key);
  if (active && *active != grant.epoch) endLease(grant.key, *active, LeaseEndReason::superseded);
  // An epoch is granted once. Later responses with the same epoch renew the lease, and never restart an ended
  // one.
  if (grant.epoch == formerEpoch || active_.contains(grant.key)) return;
  active_[grant.key] = grant.epoch;
  callbacks_.onBegin(grant.key, grant.epoch);
}

void HeldLeases::endLease(const LeaseKey& key, Epoch epoch, LeaseEndReason reason) {
  const auto it = active_.find(key);
  if (it == active_.end() || it->second != epoch) return;
  if (HeldLease& lease = leases_[key]; lease.epoch() == epoch) lease.end();
  active_.erase(it);
  callbacks_.onEnd(key, epoch, reason);
}

void HeldLeases::endAll(LeaseEndReason reason) {
  const std::map<LeaseKey, Epoch> activeLeases = active_;
  for (const auto& [key, epoch] : activeLeases) endLease(key, epoch, reason);
}

void HeldLeases::endExpired(BootTime now) {
  const std::map<LeaseKey, Epoch> activeLeases = active_;
  for (const auto& [key, epoch] : activeLeases)
    if (!leases_[key].isValid(now)) endLease(key, epoch, LeaseEndReason::expired);
}

std::optional<Epoch> HeldLeases::activeEpoch(const LeaseKey& key) const {
  const auto it = active_.find(key);
  return it == active_.end() ? std::nullopt : std::optional(it->second);
}

bool HeldLeases::isValid(const LeaseKey& key, BootTime now) const {
  const auto it = leases_.find(key);
  return it != leases_.end() && it->second.isValid(now);
}

std::optional<lease::FencingToken> HeldLeases::nextToken(const LeaseKey& key, const lease::Member& self,
                                                         BootTime now) {
  if (!active_.contains(key)) return std::nullopt;
  return leases_[key].nextToken(key, self, now);
}

std::vector<lease::LeasesRenewed::HeldKey> HeldLeases::leasesToRenew(BootTime now) const {
  std::vector<lease::LeasesRenewed::HeldKey> valid;
  for (const auto& [key, lease] : leases_)
    if (lease.isValid(now)) valid.push_back({key, lease.epoch(), lease.sequence()});
  return valid;
}

std::optional<BootTime> HeldLeases::nextExpiry() const {
  std::optional<BootTime> next;
  for (const auto& [key, epoch] : active_) {
    const BootTime expiry = leases_.at(key).validUntil();
    next = next ? std::min(*next, expiry) : expiry;
  }
  return next;
}

}  // namespace cairnjunction::fleet

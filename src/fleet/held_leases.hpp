// The leases that a member holds, measured by its own clock. A lease begins with a grant, is extended by
// renewals, and ends by expiry, release or revocation. No I/O, no clock.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "fleet/messages.hpp"
#include "lease/held_lease.hpp"

namespace cairnjunction::fleet {

// Why a member no longer holds a lease.
enum class LeaseEndReason : std::uint8_t {
  revoked,     // the leader reports that this member does not hold it
  superseded,  // granted to this member again, under a later epoch
  expired,     // not renewed in time
  released,    // by this member
  failed,      // released by this member because it can't do the task
  leaving      // released because this member leaves the fleet
};
// The name in event log lines.
std::string_view nameOf(LeaseEndReason reason);

class HeldLeases {
 public:
  struct Callbacks {
    // This member holds the lease from now on, under this epoch.
    std::function<void(const lease::LeaseKey&, lease::Epoch)> onBegin;
    // This member no longer holds the lease under this epoch; activeEpoch() does not return it any more.
    std::function<void(const lease::LeaseKey&, lease::Epoch, LeaseEndReason)> onEnd;
  };

  explicit HeldLeases(Callbacks callbacks) : callbacks_(std::move(callbacks)) {}

  // A grant or renewal by the leader. A grant ends a lease held under an older epoch and begins the new one.
  void onGrant(const LeaseGrant& grant, lease::BootTime now);
  // Ends the lease; does nothing if the key is held under another epoch or not at all.
  void endLease(const lease::LeaseKey& key, lease::Epoch epoch, LeaseEndReason reason);
  void endAll(LeaseEndReason reason);
  void endExpired(lease::BootTime now);

  // The epoch under which this member holds the lease; empty if it does not.
  std::optional<lease::Epoch> activeEpoch(const lease::LeaseKey& key) const;
  // Whether this member may act as lease holder at `now`.
  bool isValid(const lease::LeaseKey& key, lease::BootTime now) const;
  // The fencing token of the next command under the lease; empty if this member may not act.
  std::optional<lease::FencingToken> nextToken(const lease::LeaseKey& key, const lease::Member& self,
                                               lease::BootTime now);
  // The valid leases, which the next heartbeat asks to renew.
  std::vector<lease::LeasesRenewed::HeldKey> leasesToRenew(lease::BootTime now) const;
  // When the first held lease expires; empty if none is held.
  std::optional<lease::BootTime> nextExpiry() const;

 private:
  Callbacks callbacks_;
  std::map<lease::LeaseKey, lease::HeldLease> leases_;  // every key ever granted, with its latest epoch
  // Held leases (begun and not ended) and their epochs. Each has an entry in leases_, of this epoch or a
  // later one.
  std::map<lease::LeaseKey, lease::Epoch> active_;
};

}  // namespace cairnjunction::fleet

// The leases that a member holds, by its own clock: begun by grants, renewed, and ended by expiry, release or
// the leader's word. No I/O, no clock.
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

// Why a member holds a lease no longer.
enum class LeaseEndReason : std::uint8_t {
  revoked,     // the leader says that it is not this member's
  superseded,  // it was granted again, under a later epoch
  expired,     // not renewed in time
  released,    // by this member
  failed,      // released by this member, which can't do the task
  leaving      // this member stops
};
std::string_view nameOf(LeaseEndReason reason);

class HeldLeases {
 public:
  struct Callbacks {
    // From now on this member acts as the holder, under this epoch.
    std::function<void(const lease::LeaseKey&, lease::Epoch)> onBegin;
    // It does so no longer. `holds` is false already.
    std::function<void(const lease::LeaseKey&, lease::Epoch, LeaseEndReason)> onEnd;
  };

  explicit HeldLeases(Callbacks callbacks) : callbacks_(std::move(callbacks)) {}

  // A grant or renewal by the leader. May end the lease under an older epoch, and begin it.
  void onGrant(const LeaseGrant& grant, lease::BootTime now);
  // Nothing happens if the key is held under another epoch, or not at all.
  void end(const lease::LeaseKey& key, lease::Epoch epoch, LeaseEndReason reason);
  void endAll(LeaseEndReason reason);
  void endExpired(lease::BootTime now);

  // The epoch under which this member acts as holder; empty: it does not.
  std::optional<lease::Epoch> activeEpoch(const lease::LeaseKey& key) const;
  // Whether it may act as holder at this moment.
  bool isValid(const lease::LeaseKey& key, lease::BootTime now) const;
  // For the next command under the lease; empty: it may not act.
  std::optional<lease::FencingToken> nextToken(const lease::LeaseKey& key, const lease::Member& self,
                                               lease::BootTime now);
  // What a heartbeat renews.
  std::vector<lease::LeasesRenewed::Held> toRenew(lease::BootTime now) const;
  // When the first lease expires; empty: none is held.
  std::optional<lease::BootTime> nextExpiry() const;

 private:
  Callbacks callbacks_;
  std::map<lease::LeaseKey, lease::HeldLease> leases_;  // every key ever granted, with the last epoch
  // Those begun and not ended, with their epoch; each has an entry in leases_, of this epoch or a later one.
  std::map<lease::LeaseKey, lease::Epoch> active_;
};

}  // namespace cairnjunction::fleet

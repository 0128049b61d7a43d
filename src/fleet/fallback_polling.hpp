// Decides whether a member polls discovery itself. Lease holders do. Other members do only while they are
// isolated, each after its own random delay, which spreads the load on discovery. No I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>

#include "lease/lease.hpp"

namespace cairnjunction::fleet {

class FallbackPolling {
 public:
  // Rate at which members begin to poll, over all isolated members; discovery has its other load as well.
  static constexpr double kMaxPollsPerSecond = 1;
  // Without a list a gateway can't serve, so the delay of such a member is shorter by this factor.
  static constexpr double kNoListSpeedup = 10;

  // `holdsLease`: whether this member holds a lease whose holder polls discovery.
  void onLeaseChange(bool holdsLease) { holdsLease_ = holdsLease; }
  // Schedules polling, or cancels it. `members`: size of the fleet. `hasList`: whether the member has an
  // endpoint list. `draw`: uniform random number from 0 to 1; each member draws its own.
  void onIsolationChange(bool isolated, lease::BootTime now, std::uint32_t members, bool hasList,
                         double draw);
  // A list from the lease holder was older than the current one, so this member is not sent newer ones: it
  // polls after its random delay.
  void onListRejected(lease::BootTime now, std::uint32_t members, double draw);
  // A list from the lease holder was accepted: cancels polling, unless the member is isolated.
  void onListAccepted(bool isolated);

  bool shouldPoll(lease::BootTime now) const { return holdsLease_ || (pollsAt_ && now >= *pollsAt_); }
  // When polling begins; empty if this member polls already as lease holder, or none is scheduled.
  std::optional<lease::BootTime> pollsAt() const { return holdsLease_ ? std::nullopt : pollsAt_; }

 private:
  bool holdsLease_ = false;
  std::optional<lease::BootTime> pollsAt_;  // empty while lists arrive from the lease holder
};

}  // namespace cairnjunction::fleet

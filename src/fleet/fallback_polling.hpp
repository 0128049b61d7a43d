// Whether a member polls discovery by itself. Lease holders do. All others do only while they are isolated,
// each after a delay of its own, so that they don't all come at once. No I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>

#include "lease/lease.hpp"

namespace cairnjunction::fleet {

class FallbackPolling {
 public:
  // Calls of all isolated members together; discovery serves these beside its other load.
  static constexpr double kMaxPollsPerSecond = 1;
  // Without a list a gateway can't serve: such members come so many times as fast.
  static constexpr double kNoListSpeedup = 10;

  // Whether this member holds a lease that has it poll discovery.
  void onLeaseChange(bool holdsLease) { holdsLease_ = holdsLease; }
  // `members`: in the fleet. `draw`: evenly from 0 to 1, another one at each member.
  void onIsolationChange(bool isolated, lease::BootTime now, std::uint32_t members, bool hasList,
                         double draw);
  // A list was older than what is held, so nobody sends this member newer ones: it polls after its delay.
  void onListRejected(lease::BootTime now, std::uint32_t members, double draw);
  void onListAccepted(bool isolated);

  bool shouldPoll(lease::BootTime now) const { return holdsLease_ || (pollsAt_ && now >= *pollsAt_); }
  // When it begins to poll; empty: it does already as lease holder, or has no reason to.
  std::optional<lease::BootTime> pollsAt() const { return holdsLease_ ? std::nullopt : pollsAt_; }

 private:
  bool holdsLease_ = false;
  std::optional<lease::BootTime> pollsAt_;  // empty: lists come from the lease holder
};

}  // namespace cairnjunction::fleet

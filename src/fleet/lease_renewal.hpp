// The leader's answers to heartbeats: leases that a member says it holds are renewed by the log, or it is
// told that it has lost them.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include "common/callback_guard.hpp"
#include "fleet/connection_table.hpp"
#include "fleet/lease_log.hpp"
#include "fleet/settings.hpp"

namespace cairnjunction::fleet {

class LeaseRenewal {
 public:
  LeaseRenewal(Settings settings, LeaseLog& log, const ConnectionTable& connections)
      : settings_(std::move(settings)), log_(log), connections_(connections) {}

  // Of a member that has joined. The answer is sent at once if nothing is held, otherwise when it is on the
  // log.
  void onHeartbeat(const PeerConnectionPtr& connection, const Heartbeat& heartbeat);

 private:
  using HeldList = std::vector<lease::LeasesRenewed::Held>;
  void renew(const PeerConnectionPtr& connection, const HeldList& held, lease::Duration leaseDuration,
             lease::BootTime askedAt);
  void send(const PeerConnection& connection, std::vector<LeaseGrant> granted,
            std::vector<LostLease> lost) const;

  const Settings settings_;
  LeaseLog& log_;
  const ConnectionTable& connections_;
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet

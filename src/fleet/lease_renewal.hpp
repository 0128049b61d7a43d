// The leader's responses to heartbeats. The leases that a member reports are renewed through the log, or
// reported back as lost.
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

  // Handles a heartbeat of a joined member. The response is sent at once if the member holds no lease,
  // otherwise when the renewal was applied. Leases of unknown tasks are reported as lost at once, in a
  // response of their own.
  void onHeartbeat(const PeerConnectionPtr& connection, const Heartbeat& heartbeat);

 private:
  using HeldList = std::vector<lease::LeasesRenewed::HeldKey>;
  void renew(const PeerConnectionPtr& connection, const HeldList& held, lease::Duration leaseDuration,
             lease::BootTime heartbeatSentAt);
  void sendResponse(const PeerConnection& connection, std::vector<LeaseGrant> granted,
                    std::vector<LostLease> lost) const;

  const Settings settings_;
  LeaseLog& log_;
  const ConnectionTable& connections_;
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet

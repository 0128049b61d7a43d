#include "fleet/lease_renewal.hpp"

#include <algorithm>
#include <utility>

namespace cairnjunction::fleet {

void LeaseRenewal::onHeartbeat(const PeerConnectionPtr& connection, const Heartbeat& heartbeat) {
  connection->lastHeartbeat = heartbeat.sentAt;
  if (heartbeat.held.empty()) return sendResponse(*connection, {}, {});
  // A single log entry renews all leases of the same duration.
  std::map<lease::Duration, HeldList> byDuration;
  std::vector<LostLease> unknown;
  for (const auto& held : heartbeat.held) {
    if (const lease::TaskSpec* spec = settings_.taskSpec(held.key.task))
      byDuration[spec->leaseDuration].push_back(held);
    else unknown.push_back({held.key, held.epoch});
  }
  if (!unknown.empty()) sendResponse(*connection, {}, std::move(unknown));
  for (const auto& [duration, held] : byDuration) renew(connection, held, duration, heartbeat.sentAt);
}

void LeaseRenewal::renew(const PeerConnectionPtr& connection, const HeldList& held,
                         lease::Duration leaseDuration, lease::BootTime heartbeatSentAt) {
  const auto onApplied = [this, connection, held, leaseDuration,
                          heartbeatSentAt](const lease::ApplyResult& result) {
    if (connection->ended) return;
    std::vector<LeaseGrant> granted;
    std::vector<LostLease> lost;
    for (const auto& requested : held) {
      const bool renewed = std::any_of(result.held.begin(), result.held.end(),
                                       [&](const auto& lease) { return lease.key == requested.key; });
      if (renewed)
        granted.push_back(
            {requested.key, requested.epoch, requested.sequence, heartbeatSentAt, leaseDuration});
      else lost.push_back({requested.key, requested.epoch});
    }
    sendResponse(*connection, std::move(granted), std::move(lost));
  };
  log_.propose(lease::LeasesRenewed{connection->member, held, leaseDuration}, lifetime_.guard(onApplied));
}

void LeaseRenewal::sendResponse(const PeerConnection& connection, std::vector<LeaseGrant> granted,
                                std::vector<LostLease> lost) const {
  connection.link->send(HeartbeatResponse{connections_.memberCount(), std::move(granted), std::move(lost)});
}

}  // namespace cairnjunction::fleet

#include "fleet/coordinator_status.hpp"

#include <nlohmann/json.hpp>
#include <utility>

#include "fleet/event_log.hpp"

namespace cairnjunction::fleet {

using nlohmann::json;

json statusJson(const CoordinatorStatus& status, const LeaseLog& log, const ConnectionTable& connections) {
  json members = json::array();
  for (const PeerConnectionPtr& connection : connections.joined())
    members.push_back({{"name", connection->member.name},
                       {"zone", connection->zone},
                       {"willing", connection->eligible},
                       {"owns", log.table().countHeldBy(connection->member, log.now())},
                       {"bytes_in", connection->link->bytesIn()},
                       {"bytes_out", connection->link->bytesOut()}});
  json fields = {{"fleet", status.fleet},
                 {"keeper", status.number},
                 {"leads", log.isLeader()},
                 {"leader", log.leader()},
                 {"votes", log.isAttached()},
                 {"orders_passed_on", status.forwardedCommands},
                 {"turned_away", status.rejectedPeers},
                 {"members", std::move(members)}};
  if (status.votingPauses > 0) fields["pauses"] = status.votingPauses;
  if (const auto reason = log.pauseReason()) fields["paused"] = *reason;
  return fields;
}

json leasesJson(const LeaseLog& log) {
  json rows = json::array();
  const lease::LogTime now = log.isLeader() ? log.now() : log.table().now();
  for (const auto& [key, record] : log.table().records()) {
    const bool held = record.isHeldAt(now);
    json row = fieldsOf(key);
    row.update({{"owner", held ? json(record.holder.name) : json(nullptr)},
                {"epoch", record.epoch},
                {"left_ms", held ? (record.expiresAt - now).count() : 0}});
    if (!held) row["why"] = lease::nameOf(record.reason);
    rows.push_back(std::move(row));
  }
  return rows;
}

}  // namespace cairnjunction::fleet

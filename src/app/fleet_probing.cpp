#include "app/fleet_probing.hpp"

#include <utility>

#include "fleet/boot_clock.hpp"
#include "lease/stable_hash.hpp"

namespace cairnjunction {

using fleet::bootTime;
using lease::BootTime;

FleetProbing::FleetProbing(boost::asio::io_context& io, Engine& engine, const fleet::Member& member,
                           std::uint32_t shards, SendCommand sendCommand)
    : timer_(io), engine_(engine), member_(member), shards_(shards), sendCommand_(std::move(sendCommand)) {
  if (shards_ > 0) update();
}

std::uint32_t FleetProbing::shardOf(const std::string& uid) const {
  const std::uint64_t hash = lease::stableHash(uid);
  return static_cast<std::uint32_t>((hash ^ (hash >> 32)) % shards_);
}

void FleetProbing::update() {
  const BootTime now = bootTime();
  send(collectReports(now), now);
  std::erase_if(reportedUnreachable_,
                [&](const auto& entry) { return now - entry.second > kReportValidity; });
  timer_.expires_after(kUpdateInterval);
  timer_.async_wait(lifetime_.guard([this](boost::system::error_code cancelled) {
    if (!cancelled) update();
  }));
}

FleetProbing::Reports FleetProbing::collectReports(BootTime now) {
  const bool coordinated = member_.hasJoined() && !member_.isIsolated();
  Reports reports;
  std::map<std::string, BootTime> unreachable;
  for (const policy::EndpointId endpoint : engine_.endpointHealth().unreachableEndpoints()) {
    const std::string uid = engine_.loadBalancer().address(endpoint);
    const std::uint32_t shard = shardOf(uid);
    const bool mine = holdsShard(shard);
    if (mine || !coordinated) engine_.delegateProbing(endpoint, {});
    if (mine && unreachable.size() < kMaxEndpoints) {
      unreachable[uid] = now;
      reports[shard].content.unreachable.push_back(uid);
    }
    if (mine || !coordinated) continue;
    const auto before = unreachable_.find(uid);
    const BootTime since = before == unreachable_.end() ? now : before->second;
    unreachable[uid] = since;
    leaveToHolder(endpoint, uid, since, now);
  }
  noteRecoveries(unreachable, now, reports);
  unreachable_ = std::move(unreachable);
  reportRecoveries(now, reports);
  return reports;
}

// Until the holder's report is stale, or the time for its first one has passed.
void FleetProbing::leaveToHolder(policy::EndpointId endpoint, const std::string& uid,
                                 BootTime unreachableSince, BootTime now) {
  const auto reported = reportedUnreachable_.find(uid);
  const BootTime until = reported == reportedUnreachable_.end() ? unreachableSince + kFirstReportTimeout
                                                                : reported->second + kReportValidity;
  if (until <= now) return;
  engine_.delegateProbing(endpoint, engine_.now() + (until - now));
  ++leftToOthers_;
}

void FleetProbing::noteRecoveries(const std::map<std::string, BootTime>& stillUnreachable, BootTime now,
                                  Reports& reports) {
  for (const auto& [uid, since] : unreachable_) {
    const std::uint32_t shard = shardOf(uid);
    if (stillUnreachable.contains(uid) || !holdsShard(shard)) continue;
    recoveries_[uid] = {now, kRecoveryReports};
    reports[shard].urgent = true;
  }
}

void FleetProbing::reportRecoveries(BootTime now, Reports& reports) {
  std::erase_if(recoveries_, [&](const auto& entry) {
    return entry.second.reportsLeft <= 0 || unreachable_.contains(entry.first);
  });
  for (const auto& [uid, recovery] : recoveries_)
    reports[shardOf(uid)].content.recovered.push_back({uid, now - recovery.at});
}

void FleetProbing::send(const Reports& reports, BootTime now) {
  for (const auto& [shard, report] : reports) {
    const auto last = lastReports_.find(shard);
    const bool recent = last != lastReports_.end() && now < last->second + kReportInterval;
    if (recent && !report.urgent) continue;
    if (!sendCommand_({kProbeTask, shard}, encode(report.content))) continue;
    lastReports_[shard] = now;
    for (const ProbeReport::Recovery& recovered : report.content.recovered)
      --recoveries_[recovered.uid].reportsLeft;
  }
}

void FleetProbing::onReport(const ProbeReport& report) {
  const BootTime now = bootTime();
  for (const std::string& uid : report.unreachable)
    if (reportedUnreachable_.size() < kMaxEndpoints) reportedUnreachable_[uid] = now;
  for (const ProbeReport::Recovery& recovery : report.recovered) onReportedRecovery(recovery);
}

void FleetProbing::onReportedRecovery(const ProbeReport::Recovery& recovery) {
  reportedUnreachable_.erase(recovery.uid);
  const policy::EndpointId endpoint = engine_.findEndpoint(recovery.uid);
  if (endpoint != policy::kNone) engine_.onRemoteProbeResult(endpoint, recovery.age);
}

}  // namespace cairnjunction

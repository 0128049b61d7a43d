#include "fleet/lease_granting.hpp"

#include <utility>

#include "fleet/event_log.hpp"

namespace cairnjunction::fleet {

using lease::LeaseChangeReason;
using lease::LeaseKey;
using nlohmann::json;

LeaseGranting::LeaseGranting(boost::asio::io_context& io, Settings settings, LeaseLog& log,
                             const ConnectionTable& connections, EventLog& events)
    : settings_(std::move(settings)), log_(log), connections_(connections), events_(events), timer_(io) {}

void LeaseGranting::start() {
  running_ = true;
  nextRebalance_ = log_.now();
  runCycle();
}

void LeaseGranting::stop() {
  running_ = false;
  timer_.cancel();
  pending_.clear();
}

void LeaseGranting::runCycle() {
  if (!running_) return;
  grantFreeLeases();
  rebalance();
  timer_.expires_after(kGrantInterval);
  timer_.async_wait(lifetime_.guard([this](boost::system::error_code cancelled) {
    if (!cancelled) runCycle();
  }));
}

void LeaseGranting::grantFreeLeases() {
  if (!log_.isLeader() || log_.timeAsLeader() < settings_.leaderSettleTime) return;
  std::vector<lease::Candidate> candidates;
  for (const auto& [name, connection] : connections_.members())
    if (connection->canReceiveLeases()) candidates.push_back({connection->member});
  for (const lease::LeaseGranted& grant :
       lease::assignLeases(log_.table(), settings_.tasks, candidates, log_.now()))
    propose(grant);
}

void LeaseGranting::propose(const lease::LeaseGranted& grant) {
  const PeerConnectionPtr connection = connections_.findJoined(grant.member);
  if (!connection || !pending_.insert(grant.key).second) return;
  // The lease is measured from a heartbeat that arrived before the log's time of the grant is read. If it
  // were measured from a heartbeat that arrives while the entry is written, the member's lease would end
  // later than the log's, and two members could hold it for a moment.
  const lease::BootTime heartbeatSentAt = *connection->lastHeartbeat;
  const LeaseChangeReason reason = vacancyReason(grant.key);
  log_.propose(grant, lifetime_.guard([this, grant, connection, heartbeatSentAt,
                                       reason](const lease::ApplyResult& result) {
    pending_.erase(grant.key);
    if (result.held.empty()) return;
    onGranted(connection, {grant.key, result.held[0].epoch, 0, heartbeatSentAt, grant.leaseDuration}, reason);
  }));
}

void LeaseGranting::onGranted(const PeerConnectionPtr& connection, const LeaseGrant& grant,
                              LeaseChangeReason reason) {
  json fields = fieldsOf(grant.key);
  fields.update({{"name", connection->member.name},
                 {"incarnation", connection->member.incarnation},
                 {"epoch", grant.epoch},
                 {"why", lease::nameOf(reason)}});
  events_.write(Event::leaseGranted, std::move(fields));
  if (!connection->ended) connection->link->send(HeartbeatResponse{connections_.memberCount(), {grant}, {}});
}

LeaseChangeReason LeaseGranting::vacancyReason(const LeaseKey& key) const {
  const lease::LeaseRecord* record = log_.table().find(key);
  if (!record) return LeaseChangeReason::vacant;
  return record->holder.name.empty() ? record->reason : LeaseChangeReason::expired;
}

// Moves one lease away from the member that holds the most, if another one holds at least two fewer.
void LeaseGranting::rebalance() {
  if (log_.now() < nextRebalance_) return;
  nextRebalance_ = log_.now() + kRebalanceInterval;
  PeerConnectionPtr busiest;
  std::size_t maxHeld = 0;
  std::size_t minHeld = 0;
  for (const auto& [name, connection] : connections_.members()) {
    if (!connection->canReceiveLeases()) continue;
    const std::size_t held = log_.table().countHeldBy(connection->member, log_.now());
    if (!busiest || held < minHeld) minHeld = held;
    if (!busiest || held > maxHeld) {
      busiest = connection;
      maxHeld = held;
    }
  }
  if (busiest && maxHeld >= minHeld + 2) requestTransferFrom(*busiest);
}

void LeaseGranting::requestTransferFrom(const PeerConnection& connection) {
  for (const auto& [key, record] : log_.table().records()) {
    const lease::TaskSpec* spec = settings_.taskSpec(key.task);
    // The lease of a task with a single shard is not moved: that would not improve the balance.
    const bool sharded = spec != nullptr && spec->shards > 1;
    if (record.holder != connection.member || !record.isHeldAt(log_.now()) || !sharded) continue;
    connection.link->send(TransferLease{key, record.epoch});
    return;
  }
}

TransferResult LeaseGranting::transfer(const LeaseKey& key) {
  if (!log_.isLeader()) return TransferResult::notLeader;
  const lease::LeaseRecord* record = log_.table().find(key);
  if (!record || !record->isHeldAt(log_.now())) return TransferResult::notHeld;
  const PeerConnectionPtr connection = connections_.findJoined(record->holder);
  if (!connection) return TransferResult::holderNotConnected;
  connection->link->send(TransferLease{key, record->epoch});
  return TransferResult::requested;
}

}  // namespace cairnjunction::fleet

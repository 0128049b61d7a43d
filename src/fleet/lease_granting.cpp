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
  run();
}

void LeaseGranting::stop() {
  running_ = false;
  timer_.cancel();
  pending_.clear();
}

void LeaseGranting::run() {
  if (!running_) return;
  grantFreeLeases();
  rebalance();
  timer_.expires_after(kGrantInterval);
  timer_.async_wait(lifetime_.guard([this](boost::system::error_code cancelled) {
    if (!cancelled) run();
  }));
}

void LeaseGranting::grantFreeLeases() {
  if (!log_.isLeader() || log_.sinceLeading() < settings_.leaderSettleTime) return;
  std::vector<lease::Candidate> candidates;
  for (const auto& [name, connection] : connections_.members())
    if (connection->canBeGranted()) candidates.push_back({connection->member});
  for (const lease::LeaseGranted& grant :
       lease::assignLeases(log_.table(), settings_.tasks, candidates, log_.now()))
    propose(grant);
}

void LeaseGranting::propose(const lease::LeaseGranted& grant) {
  const PeerConnectionPtr connection = connections_.findJoined(grant.member);
  if (!connection || !pending_.insert(grant.key).second) return;
  // The lease counts from a heartbeat that came before the log's time of the grant is read. One that comes
  // while the entry is written would make the member's lease end later than the log's, and two members hold
  // it for a moment.
  const lease::BootTime askedAt = *connection->lastHeartbeat;
  const LeaseChangeReason reason = whyFree(grant.key);
  log_.propose(
      grant, lifetime_.guard([this, grant, connection, askedAt, reason](const lease::ApplyResult& result) {
        pending_.erase(grant.key);
        if (result.held.empty()) return;
        onGranted(connection, {grant.key, result.held[0].epoch, 0, askedAt, grant.leaseDuration}, reason);
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

LeaseChangeReason LeaseGranting::whyFree(const LeaseKey& key) const {
  const lease::LeaseRecord* record = log_.table().find(key);
  if (!record) return LeaseChangeReason::vacant;
  return record->holder.name.empty() ? record->reason : LeaseChangeReason::expired;
}

// From the member that holds most to any that holds at least two fewer.
void LeaseGranting::rebalance() {
  if (log_.now() < nextRebalance_) return;
  nextRebalance_ = log_.now() + kRebalanceInterval;
  PeerConnectionPtr most;
  std::size_t mostHeld = 0;
  std::size_t leastHeld = 0;
  for (const auto& [name, connection] : connections_.members()) {
    if (!connection->canBeGranted()) continue;
    const std::size_t held = log_.table().held(connection->member, log_.now());
    if (!most || held < leastHeld) leastHeld = held;
    if (!most || held > mostHeld) {
      most = connection;
      mostHeld = held;
    }
  }
  if (most && mostHeld >= leastHeld + 2) moveOneFrom(*most);
}

void LeaseGranting::moveOneFrom(const PeerConnection& connection) {
  for (const auto& [key, record] : log_.table().holdings()) {
    const lease::TaskSpec* spec = settings_.taskSpec(key.task);
    // A task with one shard stays where it is: to move it would balance nothing.
    const bool sharded = spec != nullptr && spec->shards > 1;
    if (record.holder != connection.member || !record.heldAt(log_.now()) || !sharded) continue;
    connection.link->send(TransferLease{key, record.epoch});
    return;
  }
}

TransferResult LeaseGranting::transfer(const LeaseKey& key) {
  if (!log_.isLeader()) return TransferResult::notLeader;
  const lease::LeaseRecord* record = log_.table().find(key);
  if (!record || !record->heldAt(log_.now())) return TransferResult::notHeld;
  const PeerConnectionPtr connection = connections_.findJoined(record->holder);
  if (!connection) return TransferResult::holderNotConnected;
  connection->link->send(TransferLease{key, record->epoch});
  return TransferResult::requested;
}

}  // namespace cairnjunction::fleet

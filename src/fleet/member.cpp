#include "fleet/member.hpp"

#include <algorithm>
#include <random>
#include <utility>

#include "fleet/boot_clock.hpp"

namespace cairnjunction::fleet {

using boost::system::error_code;
using lease::BootTime;
using lease::Epoch;
using lease::LeaseKey;
using nlohmann::json;

namespace {

json fieldsOf(const LeaseKey& key, Epoch epoch) {
  json fields = fleet::fieldsOf(key);
  fields["epoch"] = epoch;
  return fields;
}

// Unique per process start and never 0. Only 63 bits, because not every JSON parser reads 64-bit unsigned
// integers.
lease::Incarnation drawIncarnation() {
  std::random_device random;
  const std::uint64_t bits = static_cast<std::uint64_t>(random()) << 32 | random();
  return bits >> 1 | 1;
}

}  // namespace

Member::Member(boost::asio::io_context& io, const Settings& settings, const std::string& name, Events events,
               EventLog& log)
    : settings_(settings),
      self_{name, drawIncarnation()},
      events_(std::move(events)),
      log_(log),
      leases_({[this](const LeaseKey& key, Epoch epoch) { onLeaseBegin(key, epoch); },
               [this](const LeaseKey& key, Epoch epoch, LeaseEndReason reason) {
                 onLeaseEnd(key, epoch, reason);
               }}),
      receiver_(io, settings.disk, log,
                {[this](const Command& command) { events_.onCommand(command); },
                 [this] { connection_.closeLink("the disk failed"); }}),
      isolation_(io, settings.isolatedAfter, [this](bool isolated) { onIsolationChange(isolated); }),
      connection_(io, settings, log, connectionCallbacks()),
      heartbeatTimer_(io),
      expiryTimer_(io),
      leaveTimer_(io),
      memberCount_(settings.members) {
  log_.write(Event::started, {{"incarnation", self_.incarnation}, {"marks", receiver_.storedMarkCount()}});
  connection_.start();
}

CoordinatorConnection::Callbacks Member::connectionCallbacks() {
  return {[this] {
            return JoinRequest{kProtocol, settings_.fleet, self_, settings_.zone,
                               settings_.eligible && !leaving_};
          },
          [this](const JoinResponse& response) { onJoin(response); },
          [this](const Message& message) { onMessage(message); }, [this] { onLinkEnd(); }};
}

// --- The link to the leader

void Member::onJoin(const JoinResponse& response) {
  memberCount_ = std::max<std::uint32_t>(response.members, 1);
  receiver_.raiseMarks(response.marks);
  log_.write(Event::joined, {{"keeper", response.coordinator}, {"incarnation", self_.incarnation}});
  isolation_.onLeaderContact();
  sendHeartbeat();
  events_.onJoined();
}

void Member::onMessage(const Message& message) {
  if (const auto* response = std::get_if<HeartbeatResponse>(&message)) onHeartbeatResponse(*response);
  else if (const auto* command = std::get_if<Command>(&message)) receiver_.receive(*command);
  else if (const auto* transfer = std::get_if<TransferLease>(&message)) onTransfer(*transfer);
  else if (std::holds_alternative<Leave>(message)) finishLeaving();
}

void Member::onLinkEnd() {
  heartbeatTimer_.cancel();
  if (leaving_) finishLeaving();
}

void Member::onIsolationChange(bool isolated) {
  if (isolated) log_.write(Event::isolated, {{"last_end", lastLinkEnd()}});
  else log_.write(Event::isolationEnded);
  events_.onIsolationChange();
}

// --- Leases

void Member::sendHeartbeat() {
  // Read before the heartbeat is sent: this member measures the renewed leases from here, and the leader
  // measures them from a later time.
  const BootTime now = bootTime();
  if (!connection_.send(Heartbeat{now, leases_.leasesToRenew(now)})) return;
  scheduleHeartbeat(now + settings_.heartbeatInterval);
}

void Member::scheduleHeartbeat(BootTime at) {
  heartbeatTimer_.expires_after(std::max(at - bootTime(), lease::Duration(0)));
  heartbeatTimer_.async_wait(lifetime_.guard([this](error_code cancelled) {
    if (!cancelled) sendHeartbeat();
  }));
}

void Member::onHeartbeatResponse(const HeartbeatResponse& response) {
  if (!hasJoined()) return;
  memberCount_ = std::max<std::uint32_t>(response.members, 1);
  isolation_.onLeaderContact();
  for (const LostLease& lost : response.lost) leases_.endLease(lost.key, lost.epoch, LeaseEndReason::revoked);
  for (const LeaseGrant& grant : response.granted)
    if (!leaving_) leases_.onGrant(grant, bootTime());
  scheduleExpiry();
}

void Member::onLeaseBegin(const LeaseKey& key, Epoch epoch) {
  log_.write(Event::leaseAcquired, fieldsOf(key, epoch));
  // The lease is measured from an earlier heartbeat, so it is renewed at once.
  scheduleHeartbeat(bootTime());
  events_.onLeaseChange(key, true);
}

void Member::onLeaseEnd(const LeaseKey& key, Epoch epoch, LeaseEndReason reason) {
  json fields = fieldsOf(key, epoch);
  fields["why"] = nameOf(reason);
  log_.write(Event::leaseEnded, std::move(fields));
  events_.onLeaseChange(key, false);
}

// A lease that was not renewed expires by this member's own clock, without any message.
void Member::scheduleExpiry() {
  const std::optional<BootTime> next = leases_.nextExpiry();
  if (!next) return;
  expiryTimer_.expires_after(std::max(*next - bootTime(), lease::Duration(0)));
  expiryTimer_.async_wait(lifetime_.guard([this](error_code cancelled) {
    if (cancelled) return;
    leases_.endExpired(bootTime());
    scheduleExpiry();
  }));
}

bool Member::holds(const LeaseKey& key) const { return leases_.isValid(key, bootTime()); }

void Member::release(const LeaseKey& key, bool failed) {
  const std::optional<Epoch> epoch = leases_.activeEpoch(key);
  if (!epoch) return;
  // Stop acting before the leader is notified, since it may grant the lease to another member at once.
  leases_.endLease(key, *epoch, failed ? LeaseEndReason::failed : LeaseEndReason::released);
  connection_.send(ReleaseLease{key, *epoch, failed});
}

void Member::onTransfer(const TransferLease& transfer) {
  if (leases_.activeEpoch(transfer.key) == transfer.epoch) release(transfer.key, false);
}

void Member::leave(std::function<void()> done) {
  if (leaving_) return;
  leaving_ = true;
  leases_.endAll(LeaseEndReason::leaving);
  if (!hasJoined()) return done();
  onLeft_ = std::move(done);
  connection_.send(Leave{});
  leaveTimer_.expires_after(kLeaveTimeout);
  leaveTimer_.async_wait(lifetime_.guard([this](error_code cancelled) {
    if (!cancelled) finishLeaving();
  }));
}

void Member::finishLeaving() {
  leaveTimer_.cancel();
  if (onLeft_) std::exchange(onLeft_, nullptr)();
}

// --- Commands

void Member::logTooLarge(const LeaseKey& key, std::size_t size) {
  json fields = fleet::fieldsOf(key);
  fields["why"] = std::to_string(size) + " bytes, expected at most " + std::to_string(kMaxCommandBodyBytes);
  log_.write(Event::commandTooLarge, std::move(fields));
}

bool Member::sendCommand(const LeaseKey& key, std::string body, bool retained) {
  if (!hasJoined()) return false;
  if (body.size() > kMaxCommandBodyBytes) {
    logTooLarge(key, body.size());
    return false;
  }
  const std::optional<lease::FencingToken> token = leases_.nextToken(key, self_, bootTime());
  if (!token || !receiver_.admitOwnCommand(*token)) return false;
  const Command command{*token, retained, std::move(body)};
  log_.writeCommand(Event::commandSent, *token);
  connection_.send(command);
  receiver_.applyOwnCommand(command);
  return true;
}

}  // namespace cairnjunction::fleet

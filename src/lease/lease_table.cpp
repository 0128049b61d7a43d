// Applies log entries to the lease table.
#include "lease/lease_table.hpp"

#include <algorithm>
#include <cassert>
#include <variant>

#include "lease/codec.hpp"
#include "lease/lease_table_invariants.hpp"

namespace cairnjunction::lease {
namespace {

// A holder that has kept a key for this many lease durations has shown that it can do the task, and its
// failures are forgotten.
constexpr int kLeaseDurationsToClearFailures = 10;

bool isValidName(const std::string& name) { return !name.empty() && name.size() <= kMaxNameBytes; }
bool isValidDuration(Duration duration) {
  return duration >= kMinLeaseDuration && duration <= kMaxLeaseDuration;
}

}  // namespace

ApplyResult LeaseTable::apply(const LogEntry& entry) {
  state_.logTime = std::max(state_.logTime, entry.now);
  ApplyResult result = std::visit([this](const auto& change) { return applyChange(change); }, entry.change);
  assert(LeaseTableInvariants::violationsIn(state_).empty());
  return result;
}

const LeaseRecord* LeaseTable::find(const LeaseKey& key) const {
  const auto found = state_.records.find(key);
  return found == state_.records.end() ? nullptr : &found->second;
}

FailureHistory LeaseTable::failureHistory(const std::string& member, const std::string& task) const {
  return state_.failures.find(member, task);
}

Incarnation LeaseTable::incarnationOf(const std::string& member) const {
  const auto found = state_.members.find(member);
  return found == state_.members.end() ? 0 : found->second;
}

std::size_t LeaseTable::countHeldBy(const Member& member, LogTime now) const {
  const auto isHeldByMember = [&](const auto& entry) {
    return entry.second.holder == member && entry.second.isHeldAt(now);
  };
  return static_cast<std::size_t>(
      std::count_if(state_.records.begin(), state_.records.end(), isHeldByMember));
}

std::string LeaseTable::snapshot() const { return encodeSnapshot(state_); }

void LeaseTable::restore(std::string_view bytes) { state_ = decodeSnapshot(bytes); }

ApplyResult LeaseTable::applyChange(const MemberJoined& joined) {
  const Member& member = joined.member;
  if (!isValidName(member.name) || member.incarnation == 0 || joined.zone.size() > kMaxNameBytes)
    return {RejectionReason::invalid, {}};
  if (!state_.members.contains(member.name) && !ensureMemberCapacity())
    return {RejectionReason::tableFull, {}};
  state_.members[member.name] = member.incarnation;
  return {};
}

ApplyResult LeaseTable::applyChange(const LeaseGranted& granted) {
  if (!isValidName(granted.key.task) || !isValidDuration(granted.leaseDuration))
    return {RejectionReason::invalid, {}};
  if (incarnationOf(granted.member.name) != granted.member.incarnation || granted.member.incarnation == 0)
    return {RejectionReason::staleIncarnation, {}};
  if (!state_.records.contains(granted.key) && state_.records.size() >= kMaxKeys)
    return {RejectionReason::tableFull, {}};
  LeaseRecord& record = state_.records[granted.key];
  if (record.isHeldAt(state_.logTime)) return {RejectionReason::alreadyHeld, {}};
  if (!record.holder.name.empty()) endLease(granted.key, record, LeaseChangeReason::expired);
  ++record.epoch;
  record.holder = granted.member;
  record.grantedAt = state_.logTime;
  record.expiresAt = state_.logTime + granted.leaseDuration;
  record.sequence = 0;
  return {RejectionReason::none, {{granted.key, record.epoch, 0}}};
}

// An expired lease is not renewed, even if the key was not granted again yet: by its own clock the holder has
// stopped already, and needs a grant with a new epoch to start again.
ApplyResult LeaseTable::applyChange(const LeasesRenewed& renewed) {
  if (!isValidDuration(renewed.leaseDuration)) return {RejectionReason::invalid, {}};
  if (incarnationOf(renewed.member.name) != renewed.member.incarnation)
    return {RejectionReason::staleIncarnation, {}};
  ApplyResult result;
  for (const LeasesRenewed::HeldKey& held : renewed.held) {
    const auto found = state_.records.find(held.key);
    if (found == state_.records.end() || found->second.epoch != held.epoch ||
        found->second.holder != renewed.member || !found->second.isHeldAt(state_.logTime)) {
      result.rejection = RejectionReason::notHolder;
      continue;
    }
    LeaseRecord& record = found->second;
    record.expiresAt = std::max(record.expiresAt, state_.logTime + renewed.leaseDuration);
    record.sequence = std::max(record.sequence, held.sequence);
    if (state_.logTime - record.grantedAt >= kLeaseDurationsToClearFailures * renewed.leaseDuration)
      state_.failures.recordSuccess(renewed.member.name, held.key.task);
    result.held.push_back({held.key, record.epoch, record.sequence});
  }
  return result;
}

ApplyResult LeaseTable::applyChange(const LeaseReleased& released) {
  const auto found = state_.records.find(released.key);
  if (found == state_.records.end() || found->second.epoch != released.epoch ||
      found->second.holder != released.member)
    return {RejectionReason::notHolder, {}};
  endLease(released.key, found->second,
           released.failed ? LeaseChangeReason::failed : LeaseChangeReason::released);
  return {};
}

ApplyResult LeaseTable::applyChange(const MemberLeft& left) {
  for (auto& [key, record] : state_.records)
    if (record.holder == left.member) endLease(key, record, LeaseChangeReason::left);
  const auto found = state_.members.find(left.member.name);
  if (found != state_.members.end() && found->second == left.member.incarnation) state_.members.erase(found);
  return {};
}

// Keeps the record and its epoch: if it were erased, the key's epochs would restart at 1, and a receiver
// could admit a late command of an earlier holder.
void LeaseTable::endLease(const LeaseKey& key, LeaseRecord& record, LeaseChangeReason reason) {
  if (reason == LeaseChangeReason::expired || reason == LeaseChangeReason::failed)
    state_.failures.recordFailure(record.holder.name, key.task, state_.logTime);
  record.holder = {};
  record.expiresAt = {};
  record.reason = reason;
}

// Evicting a member without leases does no harm: its next grant or renewal is rejected as staleIncarnation,
// and it joins again.
bool LeaseTable::ensureMemberCapacity() {
  if (state_.members.size() < kMaxMembers) return true;
  const auto idle = std::find_if(state_.members.begin(), state_.members.end(), [this](const auto& member) {
    return countHeldBy({member.first, member.second}, state_.logTime) == 0;
  });
  if (idle == state_.members.end()) return false;
  state_.members.erase(idle);
  return true;
}

}  // namespace cairnjunction::lease

// The state machine of duties.
#include "lease/lease_table.hpp"

#include <algorithm>

namespace cairnjunction::lease {
namespace {

// One that failed is passed over for this long, twice as long at each further failure, and at most so long.
constexpr Duration kPassOverFirst{2'000}, kPassOverMost{300'000};
constexpr std::uint32_t kDoublingsMost = 10;
// Who held a duty for so many leases has shown that it can do it.
constexpr int kProvenLeases = 10;

bool goodName(const std::string& name) { return !name.empty() && name.size() <= kNameMost; }
bool goodLease(Duration lease) { return lease >= kLeaseLeast && lease <= kLeaseMost; }

}  // namespace

std::string_view nameOf(LeaseChangeReason why) {
  switch (why) {
    case LeaseChangeReason::vacant: return "vacant";
    case LeaseChangeReason::expired: return "expired";
    case LeaseChangeReason::released: return "released";
    case LeaseChangeReason::failed: return "failed";
    case LeaseChangeReason::left: return "left";
  }
  return "";
}

std::string_view nameOf(RejectionReason refusal) {
  switch (refusal) {
    case RejectionReason::none: return "none";
    case RejectionReason::heldByAnother: return "held by another member";
    case RejectionReason::notHolder: return "not its owner";
    case RejectionReason::supplanted: return "another process has this member's name";
    case RejectionReason::full: return "no room";
    case RejectionReason::invalid: return "nonsense";
  }
  return "";
}

ApplyResult LeaseTable::apply(const LogEntry& command) {
  now_ = std::max(now_, command.now);
  return std::visit([this](const auto& change) { return on(change); }, command.change);
}

const LeaseRecord* LeaseTable::find(const LeaseKey& key) const {
  const auto it = holdings_.find(key);
  return it == holdings_.end() ? nullptr : &it->second;
}

FailureHistory LeaseTable::recordOf(const std::string& member, const std::string& duty) const {
  const auto it = records_.find({member, duty});
  return it == records_.end() ? FailureHistory{} : it->second;
}

Incarnation LeaseTable::incarnationOf(const std::string& member) const {
  const auto it = members_.find(member);
  return it == members_.end() ? 0 : it->second;
}

std::size_t LeaseTable::held(const Member& member, LogTime now) const {
  return static_cast<std::size_t>(std::count_if(holdings_.begin(), holdings_.end(), [&](const auto& h) {
    return h.second.holder == member && h.second.heldAt(now);
  }));
}

// A process that comes under a name takes the name, not what the last process owned: that one may still live
// behind a cut link, so its leases run to their ends.
ApplyResult LeaseTable::on(const MemberJoined& joined) {
  if (!goodName(joined.member.name) || joined.member.incarnation == 0 || joined.zone.size() > kNameMost)
    return {RejectionReason::invalid, {}};
  if (!members_.count(joined.member.name) && !makeRoom()) return {RejectionReason::full, {}};
  members_[joined.member.name] = joined.member.incarnation;
  return {};
}

ApplyResult LeaseTable::on(const LeaseGranted& granted) {
  if (!goodName(granted.key.task) || !goodLease(granted.leaseDuration)) return {RejectionReason::invalid, {}};
  if (incarnationOf(granted.member.name) != granted.member.incarnation || granted.member.incarnation == 0)
    return {RejectionReason::supplanted, {}};
  const auto known = holdings_.find(granted.key);
  if (known == holdings_.end() && holdings_.size() >= kKeysMost) return {RejectionReason::full, {}};
  LeaseRecord& holding = holdings_[granted.key];
  if (holding.heldAt(now_)) return {RejectionReason::heldByAnother, {}};
  if (!holding.holder.name.empty()) end(granted.key, holding, LeaseChangeReason::expired);
  ++holding.epoch;
  holding.holder = granted.member;
  holding.grantedAt = now_;
  holding.expiresAt = now_ + granted.leaseDuration;
  holding.sequence = 0;
  return {RejectionReason::none, {{granted.key, holding.epoch, 0}}};
}

// Past its end a lease is not renewed, also if nobody was granted the key yet: the owner stopped by its own
// clock, and begins anew with an epoch of its own.
ApplyResult LeaseTable::on(const LeasesRenewed& renewed) {
  if (!goodLease(renewed.leaseDuration)) return {RejectionReason::invalid, {}};
  if (incarnationOf(renewed.member.name) != renewed.member.incarnation)
    return {RejectionReason::supplanted, {}};
  ApplyResult outcome{RejectionReason::none, {}};
  for (const LeasesRenewed::Held& held : renewed.held) {
    const auto it = holdings_.find(held.key);
    if (it == holdings_.end() || it->second.epoch != held.epoch || it->second.holder != renewed.member ||
        !it->second.heldAt(now_)) {
      outcome.rejection = RejectionReason::notHolder;
      continue;
    }
    LeaseRecord& holding = it->second;
    holding.expiresAt = std::max(holding.expiresAt, now_ + renewed.leaseDuration);
    holding.sequence = std::max(holding.sequence, held.sequence);
    if (now_ - holding.grantedAt >= kProvenLeases * renewed.leaseDuration)
      note(renewed.member.name, held.key.task, false);
    outcome.held.push_back({held.key, holding.epoch, holding.sequence});
  }
  return outcome;
}

ApplyResult LeaseTable::on(const LeaseReleased& released) {
  const auto it = holdings_.find(released.key);
  if (it == holdings_.end() || it->second.epoch != released.epoch || it->second.holder != released.member)
    return {RejectionReason::notHolder, {}};
  end(released.key, it->second, released.failed ? LeaseChangeReason::failed : LeaseChangeReason::released);
  return {};
}

ApplyResult LeaseTable::on(const MemberLeft& left) {
  for (auto& [key, holding] : holdings_)
    if (holding.holder == left.member) end(key, holding, LeaseChangeReason::left);
  const auto it = members_.find(left.member.name);
  if (it != members_.end() && it->second == left.member.incarnation) members_.erase(it);
  return {};
}

// The epoch stays: it is what receivers compare with. Danger: erased with its key, a late order would be
// taken.
void LeaseTable::end(const LeaseKey& key, LeaseRecord& holding, LeaseChangeReason why) {
  if (why == LeaseChangeReason::expired || why == LeaseChangeReason::failed)
    note(holding.holder.name, key.task, true);
  holding.holder = {};
  holding.expiresAt = {};
  holding.reason = why;
}

void LeaseTable::note(const std::string& member, const std::string& duty, bool failure) {
  const auto it = records_.find({member, duty});
  if (!failure) {
    if (it != records_.end()) records_.erase(it);
    return;
  }
  if (it == records_.end() && records_.size() >= kRecordsMost)
    records_.erase(std::min_element(records_.begin(), records_.end(), [](const auto& a, const auto& b) {
      return a.second.backoffUntil < b.second.backoffUntil;
    }));
  FailureHistory& record = records_[{member, duty}];
  const Duration over =
      std::min(kPassOverFirst * (std::int64_t{1} << std::min(record.consecutiveFailures, kDoublingsMost)),
               kPassOverMost);
  ++record.consecutiveFailures;
  record.backoffUntil = now_ + over;
}

// A name that holds nothing may be forgotten: its process is told so at its next renewal, and joins again.
bool LeaseTable::makeRoom() {
  if (members_.size() < kMembersMost) return true;
  const auto idle = std::find_if(members_.begin(), members_.end(), [this](const auto& m) {
    return held({m.first, m.second}, now_) == 0;
  });
  if (idle == members_.end()) return false;
  members_.erase(idle);
  return true;
}

}  // namespace cairnjunction::lease

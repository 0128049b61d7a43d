// The state machine of duties.
#include "duty/registry.hpp"

#include <algorithm>

namespace cairnjunction::duty {
namespace {

// One that failed is passed over for this long, twice as long at each further failure, and at most so long.
constexpr Time kPassOverFirst{2'000}, kPassOverMost{300'000};
constexpr std::uint32_t kDoublingsMost = 10;
// Who held a duty for so many leases has shown that it can do it.
constexpr int kProvenLeases = 10;

bool goodName(const std::string& name) { return !name.empty() && name.size() <= kNameMost; }
bool goodLease(Time lease) { return lease >= kLeaseLeast && lease <= kLeaseMost; }

}  // namespace

std::string_view nameOf(Why why) {
  switch (why) {
    case Why::vacant: return "vacant";
    case Why::expired: return "expired";
    case Why::released: return "released";
    case Why::failed: return "failed";
    case Why::left: return "left";
  }
  return "";
}

std::string_view nameOf(Refusal refusal) {
  switch (refusal) {
    case Refusal::none: return "none";
    case Refusal::held: return "held by another member";
    case Refusal::notOwner: return "not its owner";
    case Refusal::supplanted: return "another process has this member's name";
    case Refusal::full: return "no room";
    case Refusal::nonsense: return "nonsense";
  }
  return "";
}

Outcome Registry::apply(const Command& command) {
  now_ = std::max(now_, command.now);
  return std::visit([this](const auto& change) { return on(change); }, command.change);
}

const Holding* Registry::find(const Key& key) const {
  const auto it = holdings_.find(key);
  return it == holdings_.end() ? nullptr : &it->second;
}

Record Registry::recordOf(const std::string& member, const std::string& duty) const {
  const auto it = records_.find({member, duty});
  return it == records_.end() ? Record{} : it->second;
}

Incarnation Registry::incarnationOf(const std::string& member) const {
  const auto it = members_.find(member);
  return it == members_.end() ? 0 : it->second;
}

std::size_t Registry::held(const Member& member, Time now) const {
  return static_cast<std::size_t>(std::count_if(holdings_.begin(), holdings_.end(), [&](const auto& h) {
    return h.second.owner == member && h.second.heldAt(now);
  }));
}

// A process that comes under a name takes the name, not what the last process owned: that one may still live
// behind a cut link, so its leases run to their ends.
Outcome Registry::on(const Joined& joined) {
  if (!goodName(joined.member.name) || joined.member.incarnation == 0 || joined.zone.size() > kNameMost)
    return {Refusal::nonsense, {}};
  if (!members_.count(joined.member.name) && !makeRoom()) return {Refusal::full, {}};
  members_[joined.member.name] = joined.member.incarnation;
  return {};
}

Outcome Registry::on(const Granted& granted) {
  if (!goodName(granted.key.duty) || !goodLease(granted.lease)) return {Refusal::nonsense, {}};
  if (incarnationOf(granted.member.name) != granted.member.incarnation || granted.member.incarnation == 0)
    return {Refusal::supplanted, {}};
  const auto known = holdings_.find(granted.key);
  if (known == holdings_.end() && holdings_.size() >= kKeysMost) return {Refusal::full, {}};
  Holding& holding = holdings_[granted.key];
  if (holding.heldAt(now_)) return {Refusal::held, {}};
  if (!holding.owner.name.empty()) end(granted.key, holding, Why::expired);
  ++holding.epoch;
  holding.owner = granted.member;
  holding.since = now_;
  holding.until = now_ + granted.lease;
  holding.sequence = 0;
  return {Refusal::none, {{granted.key, holding.epoch, 0}}};
}

// Past its end a lease is not renewed, also if nobody was granted the key yet: the owner stopped by its own
// clock, and begins anew with an epoch of its own.
Outcome Registry::on(const Renewed& renewed) {
  if (!goodLease(renewed.lease)) return {Refusal::nonsense, {}};
  if (incarnationOf(renewed.member.name) != renewed.member.incarnation) return {Refusal::supplanted, {}};
  Outcome outcome{Refusal::none, {}};
  for (const Renewed::Held& held : renewed.held) {
    const auto it = holdings_.find(held.key);
    if (it == holdings_.end() || it->second.epoch != held.epoch || it->second.owner != renewed.member ||
        !it->second.heldAt(now_)) {
      outcome.refusal = Refusal::notOwner;
      continue;
    }
    Holding& holding = it->second;
    holding.until = std::max(holding.until, now_ + renewed.lease);
    holding.sequence = std::max(holding.sequence, held.sequence);
    if (now_ - holding.since >= kProvenLeases * renewed.lease)
      note(renewed.member.name, held.key.duty, false);
    outcome.held.push_back({held.key, holding.epoch, holding.sequence});
  }
  return outcome;
}

Outcome Registry::on(const Released& released) {
  const auto it = holdings_.find(released.key);
  if (it == holdings_.end() || it->second.epoch != released.epoch || it->second.owner != released.member)
    return {Refusal::notOwner, {}};
  end(released.key, it->second, released.failed ? Why::failed : Why::released);
  return {};
}

Outcome Registry::on(const Left& left) {
  for (auto& [key, holding] : holdings_)
    if (holding.owner == left.member) end(key, holding, Why::left);
  const auto it = members_.find(left.member.name);
  if (it != members_.end() && it->second == left.member.incarnation) members_.erase(it);
  return {};
}

// The epoch stays: it is what receivers compare with. Danger: erased with its key, a late order would be
// taken.
void Registry::end(const Key& key, Holding& holding, Why why) {
  if (why == Why::expired || why == Why::failed) note(holding.owner.name, key.duty, true);
  holding.owner = {};
  holding.until = {};
  holding.why = why;
}

void Registry::note(const std::string& member, const std::string& duty, bool failure) {
  const auto it = records_.find({member, duty});
  if (!failure) {
    if (it != records_.end()) records_.erase(it);
    return;
  }
  if (it == records_.end() && records_.size() >= kRecordsMost)
    records_.erase(std::min_element(records_.begin(), records_.end(), [](const auto& a, const auto& b) {
      return a.second.passedOverUntil < b.second.passedOverUntil;
    }));
  Record& record = records_[{member, duty}];
  const Time over = std::min(kPassOverFirst * (std::int64_t{1} << std::min(record.failures, kDoublingsMost)),
                             kPassOverMost);
  ++record.failures;
  record.passedOverUntil = now_ + over;
}

// A name that holds nothing may be forgotten: its process is told so at its next renewal, and joins again.
bool Registry::makeRoom() {
  if (members_.size() < kMembersMost) return true;
  const auto idle = std::find_if(members_.begin(), members_.end(), [this](const auto& m) {
    return held({m.first, m.second}, now_) == 0;
  });
  if (idle == members_.end()) return false;
  members_.erase(idle);
  return true;
}

}  // namespace cairnjunction::duty

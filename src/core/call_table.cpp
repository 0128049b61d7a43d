#include "core/call_table.hpp"

#include <utility>

namespace cairnjunction {

using ResponsePhase = ActiveCall::ResponsePhase;

ActiveCall& CallTable::add(CallId id, Call call, ReplySink& sink, std::uint64_t frontendToken,
                           policy::Timestamp deadline) {
  ActiveCall& added = calls_[id];
  added.call = std::move(call);
  added.sink = &sink;
  added.frontendToken = frontendToken;
  added.deadline = deadline;
  externalIds_.insert(added.call.externalId);
  ++awaitingReply_;
  return added;
}

ActiveCall* CallTable::find(CallId id) {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : &found->second;
}

void CallTable::removeFinished(policy::Timestamp now) {
  for (const CallId id : possiblyFinished_) {
    const auto found = calls_.find(id);
    if (found == calls_.end()) continue;
    const ActiveCall& call = found->second;
    if (!call.settled || call.attemptsInFlight > 0 || call.responsePhase != ResponsePhase::none) continue;
    externalIds_.erase(call.call.externalId);
    if (call.mayHaveExecutedAt && !call.served && !call.isSafe) unresolvedIds_.add(now, call.call.externalId);
    calls_.erase(found);
  }
  possiblyFinished_.clear();
}

std::vector<CallId> CallTable::unsettled() const {
  std::vector<CallId> ids;
  for (const auto& [id, call] : calls_)
    if (!call.settled) ids.push_back(id);
  return ids;
}

std::vector<CallId> CallTable::takeDelayedWithDeadlineBefore(policy::Timestamp time) {
  std::vector<CallId> overdue;
  std::erase_if(delayed_, [&](CallId id) {
    const ActiveCall* const call = find(id);
    if (call == nullptr || call->responsePhase != ResponsePhase::delayed || call->settled) return true;
    if (call->deadline >= time) return false;
    overdue.push_back(id);
    return true;
  });
  return overdue;
}

std::optional<policy::Timestamp> CallTable::earliestDelayedDeadline() {
  std::optional<policy::Timestamp> earliest;
  for (const CallId id : delayed_) {
    const ActiveCall* const call = find(id);
    if (call != nullptr && (!earliest || call->deadline < *earliest)) earliest = call->deadline;
  }
  return earliest;
}

std::vector<bool> CallTable::classesInUse(std::size_t count) const {
  std::vector<bool> inUse(count, false);
  for (const auto& [id, call] : calls_) {
    const std::uint32_t index = call.call.attributes.classIndex;
    if (index < count) inUse[index] = true;
  }
  return inUse;
}

}  // namespace cairnjunction

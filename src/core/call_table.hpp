// The table of open calls, with the external ids in use and the number of calls that await a reply. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "core/active_call.hpp"
#include "core/unresolved_ids.hpp"

namespace cairnjunction {

class CallTable {
 public:
  CallId nextId() { return ++lastId_; }  // returns a new id at each call
  // Whether the id is that of an open call, or of one whose effect is unresolved.
  bool isExternalIdInUse(policy::Timestamp now, std::string_view externalId) {
    return externalIds_.contains(externalId) || unresolvedIds_.contains(now, externalId);
  }
  // Adds a call; `id` must come from nextId(), and the call's external id must not be in use. The returned
  // reference is valid until the call is removed.
  ActiveCall& add(CallId id, Call call, ReplySink& sink, std::uint64_t frontendToken,
                  policy::Timestamp deadline);
  ActiveCall* find(CallId id);  // null: unknown or removed

  // One call fewer awaits its reply: the reply is complete, or the client has disconnected. To be called once
  // for each call.
  void stopAwaitingReply() { --awaitingReply_; }
  // Marks a call that may be finished, for the next removeFinished().
  void markPossiblyFinished(CallId id) { possiblyFinished_.push_back(id); }
  // Removes those of the marked calls that are settled, have no attempt in flight and are not streaming an
  // answer. Clears all marks.
  void removeFinished(policy::Timestamp now);

  std::size_t size() const { return calls_.size(); }
  // Calls that are neither replied to in full nor abandoned by their client.
  std::size_t awaitingReply() const { return awaitingReply_; }
  std::vector<CallId> unsettled() const;  // calls that are not settled
  // A call's answer is under way, and its reply is awaited past its deadline.
  void markDelayed(CallId id) { delayed_.push_back(id); }
  // Takes the marks off delayed calls whose deadline is before `time`, and returns those that still wait.
  std::vector<CallId> takeDelayedWithDeadlineBefore(policy::Timestamp time);
  // The earliest deadline of the calls with such a mark.
  std::optional<policy::Timestamp> earliestDelayedDeadline();
  // For each class index below `count`, whether an open call uses it.
  std::vector<bool> classesInUse(std::size_t count) const;

 private:
  std::unordered_map<CallId, ActiveCall> calls_;      // references to its values stay valid on insertion
  std::unordered_set<std::string_view> externalIds_;  // one for each call; they refer to the text in calls_
  UnresolvedIds unresolvedIds_;
  std::vector<CallId> possiblyFinished_;  // may contain duplicates and removed calls
  std::vector<CallId> delayed_;           // may contain removed calls
  std::size_t awaitingReply_ = 0;
  CallId lastId_ = 0;
};

}  // namespace cairnjunction

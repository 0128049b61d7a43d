// The open calls: their ids, the names that are in use, and how many still wait for a reply. No I/O.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "core/active_call.hpp"

namespace cairnjunction {

class CallTable {
 public:
  CallId nextId() { return ++lastId_; }  // never the same twice
  bool isNameInUse(std::string_view externalId) const { return names_.contains(externalId); }
  // Adds a call under a new id, whose name must not be in use. The reference is valid until the call is
  // removed.
  ActiveCall& add(CallId id, Call call, ReplySink& sink, std::uint64_t frontendToken,
                  policy::Timestamp deadline);
  ActiveCall* find(CallId id);  // null: unknown or removed

  // The call's reply is complete, or will not come since its client has left. Once for each call.
  void stopAwaitingReply() { --awaitingReply_; }
  // Remembers a call that may have come to its end, for removeFinished().
  void checkLater(CallId id) { toCheck_.push_back(id); }
  // Removes those of the remembered calls that are settled and have neither an attempt in flight nor an
  // answer that is being passed on.
  void removeFinished();

  std::size_t size() const { return calls_.size(); }
  std::size_t awaitingReply() const { return awaitingReply_; }
  // Calls that are not settled and whose deadline is after `time`.
  std::vector<CallId> unsettledPast(policy::Timestamp time) const;
  // For each class index below `count`, whether an open call holds it.
  std::vector<bool> heldClasses(std::size_t count) const;

 private:
  std::unordered_map<CallId, ActiveCall> calls_;  // references to its values stay valid when others come
  std::unordered_set<std::string_view> names_;    // one for each call, which holds the text
  std::vector<CallId> toCheck_;                   // may name a call twice, or one that is removed
  std::size_t awaitingReply_ = 0;                 // neither replied to in full nor left by its client
  CallId lastId_ = 0;
};

}  // namespace cairnjunction

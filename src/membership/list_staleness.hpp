// Detects that the endpoint list may be stale, and decides when to request a resync from discovery in
// addition to the watch.
#pragma once

#include <cstddef>

#include "cairnjunction/load_balancer.hpp"
#include "membership/settings.hpp"

namespace cairnjunction {

// Counts of endpoints that are active in the list but whose observed state contradicts it.
struct ListContradictions {
  std::size_t active = 0;       // endpoints that are active in the list
  std::size_t unreachable = 0;  // of these, unreachable for at least ListStaleness::staleAfter()
  std::size_t overloaded = 0;   // of these, reachable and overloaded (ResponseRecord::overloaded)

  // Whether the list may be stale. If most endpoints are overloaded, the likely cause is too much load and
  // the list may be right.
  bool listMayBeStale() const { return unreachable > 0 || (overloaded > 0 && 2 * overloaded <= active); }
};

// Spaces the resync requests: the pause between them doubles while the contradictions last, and has jitter,
// since discovery handles about one call a second and all gateways observe the same contradictions.
class ListStaleness {
 public:
  explicit ListStaleness(const EndpointHealthSettings& settings) : settings_(settings) {}

  // Discovery has answered, with or without changes.
  void onAnswer(policy::Timestamp now) { answeredAt_ = now; }
  // A list contained changes: the pauses start again from the shortest one.
  void onListChanged() { consecutiveRequests_ = 0; }
  // Discovery did not answer a requested resync: the next one may be requested sooner.
  void onResyncFailed(policy::Timestamp now);

  // How long an endpoint has to be unreachable before it contradicts the list.
  policy::Duration staleAfter() const;
  // Returns whether to request a resync now; true at most once for each pause.
  bool takeResyncRequest(policy::Timestamp now, const ListContradictions& contradictions);
  // Time since discovery last answered.
  policy::Duration age(policy::Timestamp now) const { return now - answeredAt_; }

 private:
  // Scales `duration` by a factor from 0.75 to 1.25 that depends on the jitter setting.
  policy::Duration withJitter(policy::Duration duration) const;

  EndpointHealthSettings settings_;
  policy::Timestamp answeredAt_{};
  policy::Timestamp nextRequestAt_{};  // earliest time of the next request
  int consecutiveRequests_ = 0;        // resync requests for one contradiction, without failed ones
};

}  // namespace cairnjunction

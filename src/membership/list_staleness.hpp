// Whether the list may be stale, and when to ask discovery for it beside the watch.
#pragma once

#include <cstddef>

#include "cairnjunction/load_balancer.hpp"
#include "membership/settings.hpp"

namespace cairnjunction {

// What is seen of the endpoints that the list has active, against it.
struct ListContradictions {
  std::size_t active = 0;       // endpoints that the list has active
  std::size_t unreachable = 0;  // of these, unreachable for longer than ListStaleness::staleAfter()
  std::size_t overloaded = 0;   // of these, reachable, and rejecting everything for a while

  // Whether the list may be stale. Where most endpoints reject, there is too much work, and the list may be
  // right.
  bool any() const { return unreachable > 0 || (overloaded > 0 && 2 * overloaded <= active); }
};

// Spaces the requests for a resync: their pauses are doubled while contradictions last, and drawn, since
// discovery works through about one call a second and all gateways see the same.
class ListStaleness {
 public:
  explicit ListStaleness(const EndpointHealthSettings& settings) : settings_(settings) {}

  // Discovery has answered, with news or without.
  void onAnswer(policy::Timestamp now) { answeredAt_ = now; }
  // A list has brought changes: the next contradiction is a new one.
  void onChanges() { requests_ = 0; }
  // A resync that was requested was not answered: the next one may be requested sooner.
  void onResyncFailed(policy::Timestamp now);

  // How long an endpoint has to be unreachable before it contradicts the list.
  policy::Duration staleAfter() const;
  // Whether a resync is to be requested now; true at most once for each pause.
  bool takeResyncRequest(policy::Timestamp now, const ListContradictions& contradictions);
  // Since discovery last answered.
  policy::Duration age(policy::Timestamp now) const { return now - answeredAt_; }

 private:
  // `duration`, drawn by the jitter from three quarters to five quarters of it.
  policy::Duration withJitter(policy::Duration duration) const;

  EndpointHealthSettings settings_;
  policy::Timestamp answeredAt_{};
  policy::Timestamp nextRequestAt_{};  // no request before
  int requests_ = 0;                   // in a row, for the same contradiction
};

}  // namespace cairnjunction

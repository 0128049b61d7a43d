// Polling of service discovery, where it sends the endpoint list only on request.
#pragma once

#include "cairnjunction/load_balancer.hpp"
#include "policy/random.hpp"

namespace cairnjunction::policy {

// Says when discovery is to be polled: at the start, after each poll that failed (with backoff), at once
// after a restored list, and again when a poll stays without an answer for long.
class EndpointListPoller {
 public:
  // `settings` must outlive this object.
  explicit EndpointListPoller(const Settings& settings) : settings_(settings) {}

  // A list came. A restored one is no answer of discovery, and it may be stale.
  void onList(EndpointListKind kind, Timestamp now);
  // A poll failed.
  void onUnavailable(Timestamp now, Random& random);
  // Whether discovery is to be polled now; if so, the poll counts as begun.
  bool beginPollIfDue(Timestamp now);

 private:
  const Settings& settings_;
  bool polling_ = false;   // a poll has begun and has not failed; discovery then sends its updates by itself
  bool answered_ = false;  // the poll has brought a list
  Timestamp polledAt_{};
  Timestamp pollAgainAt_{};
  int failures_ = 0;  // in a row, up to kPollBackoffDoublings
};

}  // namespace cairnjunction::policy

// Polling of discovery, for deployments where it sends the endpoint list only after a poll.
#pragma once

#include "cairnjunction/load_balancer.hpp"
#include "policy/random.hpp"

namespace cairnjunction::policy {

// Decides when to poll discovery: at the start, after each failed poll (with backoff), immediately after a
// restored list, and again when a poll remains unanswered for half of Settings::maxPollInterval. After a
// successful poll discovery sends updates on its own.
class EndpointListPoller {
 public:
  // `settings` must outlive this object.
  explicit EndpointListPoller(const Settings& settings) : settings_(settings) {}

  // A list arrived. A restored list does not answer a poll, and it may be stale.
  void onList(EndpointListKind kind, Timestamp now);
  // A poll failed.
  void onUnavailable(Timestamp now, Random& random);
  // Whether discovery must be polled now; if so, the poll counts as started.
  bool startPollIfDue(Timestamp now);

 private:
  const Settings& settings_;
  bool pollStarted_ = false;   // a poll was started and has not failed
  bool listReceived_ = false;  // a list has arrived since the poll was started
  Timestamp pollStartedAt_{};
  Timestamp nextPollAt_{};
  int consecutiveFailures_ = 0;  // up to kMaxPollBackoffDoublings
};

}  // namespace cairnjunction::policy

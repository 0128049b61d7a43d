// The timeouts of the discovery client; docs/design/discovery.md gives the reason for each.
#pragma once

#include <chrono>

namespace cairnjunction {

struct DiscoveryTimeouts {
  using Milliseconds = std::chrono::milliseconds;

  // How long a long poll asks discovery to wait: random between these two for each call.
  Milliseconds watchMin{1000}, watchMax{2000};
  // A long poll that is still unanswered this long after its wait is overdue.
  Milliseconds watchGrace{250};
  // An overdue long poll times out this long after its wait; until then it may still be answered.
  Milliseconds staleWatchLinger{2000};
  // For connecting.
  Milliseconds connect{500};
  // For a call that is not a long poll, including connecting.
  Milliseconds response{2250};
  // Backoff of a retried call: after the first failure, and the maximum up to which it doubles. Each delay is
  // random from 0.5 to 1.5 times the backoff.
  Milliseconds retryInitialBackoff{100}, retryMaxBackoff{800};

  // These timeouts, shortened for an agent on this machine, which answers at once or not at all. None becomes
  // longer.
  DiscoveryTimeouts forAgent() const;
};

}  // namespace cairnjunction

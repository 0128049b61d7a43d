// The times of the client of discovery; docs/design/discovery.md has the reason of each.
#pragma once

#include <chrono>

namespace cairnjunction {

struct DiscoveryTimeouts {
  using Milliseconds = std::chrono::milliseconds;

  // How long a long poll asks discovery to wait: drawn between these two, anew for each call.
  Milliseconds watchMin{1000}, watchMax{2000};
  // A long poll that is unanswered so long past its wait is overdue.
  Milliseconds watchGrace{250};
  // An overdue long poll is ended so long past its wait; until then it may still be answered.
  Milliseconds staleWatchLinger{2000};
  // For a connection to come up.
  Milliseconds connect{500};
  // For a call that does not wait, including its connection.
  Milliseconds response{2250};
  // Backoff of a call that is retried: the first, and the most that it is doubled to. Each pause is drawn
  // from half to one and a half of it.
  Milliseconds retryInitialBackoff{100}, retryMaxBackoff{800};

  // The same for an agent on this machine, which answers at once or not at all.
  DiscoveryTimeouts forAgent() const;
};

}  // namespace cairnjunction

// The interface through which the engine sends attempts to endpoints; implemented for each protocol.
#pragma once

#include <cstdint>

#include "cairnjunction/load_balancer.hpp"
#include "core/attempt.hpp"
#include "core/call.hpp"

namespace cairnjunction {

struct EndpointConnections {
  std::uint32_t open = 0;         // established or being opened, except those that only stream an answer
  std::uint32_t established = 0;  // of `open`
};

// Executes attempts; it never retries by itself. The end of each started attempt is reported exactly once, to
// the callback given to the upstream's constructor, possibly from within start(), cancel() or
// cancelIfUnsent().
class Upstream {
 public:
  virtual ~Upstream() = default;
  // Starts an attempt. The upstream keeps a reference to `call`, which must stay valid until the attempt
  // ends.
  virtual void start(AttemptKey key, policy::EndpointId endpoint, const Call& call,
                     const AttemptTimeouts& timeouts) = 0;
  // Ends the attempt, unless the worker might then continue to execute it unnoticed. Unknown keys are
  // ignored, as in cancelIfUnsent().
  virtual void cancel(AttemptKey key) = 0;
  // The client has disconnected. Ends an attempt whose last byte is not written yet, which therefore has not
  // been executed; any other attempt continues. Permitted even if the settings do not allow cancelling.
  virtual void cancelIfUnsent(AttemptKey key) = 0;
  virtual void closeIdle(policy::EndpointId endpoint) = 0;  // closes the connections that carry no attempt
  // The endpoint was removed and has no attempt: deletes all its state. Its id may be reused.
  virtual void forget(policy::EndpointId endpoint) = 0;
};

}  // namespace cairnjunction

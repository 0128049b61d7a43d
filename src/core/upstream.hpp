// What the engine needs of a protocol towards endpoints.
#pragma once

#include <cstdint>

#include "cairnjunction/load_balancer.hpp"
#include "core/attempt.hpp"
#include "core/call.hpp"

namespace cairnjunction {

struct EndpointConnections {
  std::uint32_t open = 0;         // established or being opened, without those that only stream an answer
  std::uint32_t established = 0;  // of `open`
};

// Carries out attempts; it never repeats one by itself. Each attempt that was started ends exactly once, by a
// call of the function that the upstream was made with, perhaps from within start(), cancel() or
// cancelIfUnsent().
class Upstream {
 public:
  virtual ~Upstream() = default;
  // Begins an attempt. `call` is the caller's and must stay valid until the attempt has ended.
  virtual void start(AttemptKey key, policy::EndpointId endpoint, const Call& call,
                     const AttemptTimeouts& timeouts) = 0;
  // Ends the attempt if it can be ended without risk that it runs on unseen. Unknown keys are ignored, as in
  // cancelIfUnsent().
  virtual void cancel(AttemptKey key) = 0;
  // The client has disconnected. Ends an attempt that is not written to its last byte, which has not been
  // executed then; any other goes on. Allowed also where the settings rule out cancelling.
  virtual void cancelIfUnsent(AttemptKey key) = 0;
  virtual void closeIdle(policy::EndpointId endpoint) = 0;  // closes its connections without attempts
  // The endpoint is gone and has no attempt: drops all that is kept of it. Its id may be given out anew.
  virtual void forget(policy::EndpointId endpoint) = 0;
};

}  // namespace cairnjunction

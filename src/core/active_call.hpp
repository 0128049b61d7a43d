// The state of a call between its acceptance and the end of its last attempt.
#pragma once

#include <cstdint>
#include <optional>

#include "cairnjunction/load_balancer.hpp"
#include "core/call.hpp"
#include "core/reply.hpp"

namespace cairnjunction {

struct ActiveCall {
  Call call;                        // does not change after acceptance: upstreams hold a reference to it
  ReplySink* sink = nullptr;        // never null; called at most once
  std::uint64_t frontendToken = 0;  // handed back to the sink
  policy::Timestamp deadline{};     // no attempt begins at or after it
  // Attempts whose end is not handled yet: at most one that was passed to the upstream, and denied ones whose
  // Outcome::notSent is still in Engine::endedAttempts_.
  std::uint32_t attemptsInFlight = 0;
  std::uint32_t latestAttempt = 0;             // number of the last one that an upstream was given
  policy::Timestamp latestAttemptStartedAt{};  // when that was
  // Start of the first attempt that may have been executed; empty: none may have been. Set once.
  std::optional<policy::Timestamp> mayHaveExecutedAt;
  bool settled =
      false;  // replied to, or its client has disconnected; never reset, and no attempt begins then
  // The answer is being passed on: the call is settled, but not counted, and its name stays in use.
  bool streaming = false;
};

}  // namespace cairnjunction

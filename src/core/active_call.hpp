// The state that the engine keeps of a call from its acceptance until it has a reply and no attempt is in
// flight any more.
#pragma once

#include <cstdint>
#include <optional>

#include "cairnjunction/load_balancer.hpp"
#include "core/call.hpp"
#include "core/reply.hpp"

namespace cairnjunction {

struct ActiveCall {
  Call call;                        // constant after acceptance, since upstreams hold a reference to it
  ReplySink* sink = nullptr;        // never null while the call is open; called at most once
  std::uint64_t frontendToken = 0;  // passed back to the sink with the reply
  policy::Timestamp deadline{};     // no attempt starts at or after this time
  // Attempts whose end has not been handled yet: at most one that was passed to the upstream, and denied ones
  // whose Outcome::notSent is still in Engine::endedAttempts_.
  std::uint32_t attemptsInFlight = 0;
  std::uint32_t attemptsStarted = 0;           // that were passed to the upstream
  std::uint32_t latestAttempt = 0;             // number of the last attempt that was passed to the upstream
  policy::Timestamp latestAttemptStartedAt{};  // start of that attempt
  // Start of the first attempt that has ended and may have been executed; empty if there is none. Set once.
  std::optional<policy::Timestamp> mayHaveExecutedAt;
  // The call was replied to, or its client has disconnected. Never reset; no attempt starts afterwards.
  bool settled = false;
  bool isSafe = false;  // the call has no effect, so it may be executed again under its id
  bool served = false;  // its client was given a whole answer
  // Meanwhile the external id stays in use.
  enum class ResponsePhase {
    none,     // no answer has begun, as far as the upstream has reported
    delayed,  // the rest of an answer is awaited; the load balancer counts its attempt as ended
    streamed  // the answer is being passed on: the call is settled, but its reply is not counted yet
  };
  ResponsePhase responsePhase = ResponsePhase::none;

  // Whether an attempt has not ended yet, so that it may still be executed.
  bool hasOpenAttempt() const { return attemptsInFlight > 0 || responsePhase != ResponsePhase::none; }
};

}  // namespace cairnjunction

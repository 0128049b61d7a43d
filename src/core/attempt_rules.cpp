#include "core/attempt_rules.hpp"

#include <chrono>

namespace cairnjunction {
namespace {

using policy::Outcome;

// Reserved for the transmission of a repeat, which has to arrive at its endpoint within the dedup window.
constexpr policy::Duration kRepeatMargin = std::chrono::milliseconds(5);

}  // namespace

bool mayHaveExecuted(Outcome outcome) {
  return outcome != Outcome::overloaded && outcome != Outcome::connectFailed && outcome != Outcome::notSent;
}

bool mayBeRejected(const ActiveCall& call) {
  return call.isSafe || (!call.mayHaveExecutedAt && !call.hasOpenAttempt());
}

WriteDeadline writeDeadline(const ActiveCall& call, const policy::ClassSettings* callClass) {
  if (!call.mayHaveExecutedAt) return {WriteDeadline::Kind::unlimited, {}};
  const policy::Idempotency idempotency =
      callClass != nullptr ? callClass->idempotency : policy::Idempotency::unsafe;
  switch (idempotency) {
    case policy::Idempotency::safe: return {WriteDeadline::Kind::unlimited, {}};
    case policy::Idempotency::keyed:
      return {WriteDeadline::Kind::until, *call.mayHaveExecutedAt + callClass->dedupWindow - kRepeatMargin};
    case policy::Idempotency::unsafe: break;
  }
  return {WriteDeadline::Kind::never, {}};
}

AttemptDecision decideAttempt(const ActiveCall& call, const policy::ClassSettings* callClass,
                              policy::Timestamp now) {
  const WriteDeadline write = writeDeadline(call, callClass);
  const bool limited = write.kind == WriteDeadline::Kind::until;
  // Checked first: a call whose dedup window has passed is no violation even if another rule denies it too.
  if (limited && write.time <= now) return {AttemptPermission::dedupWindowPassed, {}};
  if (write.kind == WriteDeadline::Kind::never) return {AttemptPermission::notRepeatable, {}};
  if (call.settled) return {AttemptPermission::callSettled, {}};
  if (call.hasOpenAttempt()) return {AttemptPermission::attemptInFlight, {}};
  if (call.deadline <= now) return {AttemptPermission::deadlinePassed, {}};
  return {AttemptPermission::allowed, limited ? write.time - now : policy::Duration::max()};
}

}  // namespace cairnjunction

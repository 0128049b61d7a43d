#include "core/attempt_rules.hpp"

#include <chrono>

namespace cairnjunction {
namespace {

using policy::Outcome;

// A repeat has to be at its endpoint within the window: kept free for its way there.
constexpr policy::Duration kRepeatMargin = std::chrono::milliseconds(5);

}  // namespace

bool mayHaveExecuted(Outcome outcome) {
  return outcome != Outcome::overloaded && outcome != Outcome::connectFailed && outcome != Outcome::notSent;
}

WriteDeadline writeDeadline(const ActiveCall& call, const policy::ClassSettings* callClass) {
  if (!call.mayHaveExecutedAt) return {WriteDeadline::Kind::none, {}};
  const policy::Idempotency idempotency =
      callClass != nullptr ? callClass->idempotency : policy::Idempotency::unsafe;
  switch (idempotency) {
    case policy::Idempotency::safe: return {WriteDeadline::Kind::none, {}};
    case policy::Idempotency::keyed:
      return {WriteDeadline::Kind::at, *call.mayHaveExecutedAt + callClass->dedupWindow - kRepeatMargin};
    case policy::Idempotency::unsafe: break;
  }
  return {WriteDeadline::Kind::passed, {}};
}

AttemptDecision decideAttempt(const ActiveCall& call, const policy::ClassSettings* callClass,
                              policy::Timestamp now) {
  const WriteDeadline write = writeDeadline(call, callClass);
  const bool bounded = write.kind == WriteDeadline::Kind::at;
  // First, since a call whose window has passed is no violation even if another rule denies it too.
  if (bounded && write.time <= now) return {AttemptPermission::dedupWindowPassed, {}};
  if (write.kind == WriteDeadline::Kind::passed) return {AttemptPermission::notRepeatable, {}};
  if (call.settled) return {AttemptPermission::callSettled, {}};
  if (call.attemptsInFlight > 0) return {AttemptPermission::attemptInFlight, {}};
  if (call.deadline <= now) return {AttemptPermission::deadlinePassed, {}};
  return {AttemptPermission::allowed, bounded ? write.time - now : policy::Duration::max()};
}

}  // namespace cairnjunction

// The rules that every attempt requested by the load balancer must satisfy before it starts: the call is not
// settled, no other attempt of it is in flight, its deadline has not passed, and no effect is executed twice.
// No state, no I/O.
#pragma once

#include "cairnjunction/load_balancer.hpp"
#include "core/active_call.hpp"

namespace cairnjunction {

enum class AttemptPermission {
  allowed,
  callSettled,       // no client waits for an answer any more
  attemptInFlight,   // two executions of the call could overlap
  deadlinePassed,    // the answer would arrive too late
  notRepeatable,     // the call may have been executed, and a second execution would repeat its effect
  dedupWindowPassed  // the call may have been executed, and workers would no longer drop the duplicate
};

// Whether the denial is evidence of a fault of the load balancer, which must not request such an attempt.
// dedupWindowPassed is not: the window may end between the load balancer's decision and this check.
constexpr bool isViolation(AttemptPermission permission) {
  return permission != AttemptPermission::allowed && permission != AttemptPermission::dedupWindowPassed;
}

struct AttemptDecision {
  AttemptPermission permission = AttemptPermission::allowed;
  // With AttemptPermission::allowed: the last byte must be written within this time from now; max(): no
  // limit.
  policy::Duration writeWithin = policy::Duration::max();
};

// The time until which the call may be written to an endpoint.
struct WriteDeadline {
  enum class Kind {
    unlimited,  // at any time
    until,      // before `time`
    never       // not again
  };
  Kind kind = Kind::unlimited;
  policy::Timestamp time{};  // with Kind::until
};

// Returns false if the outcome proves that no worker executed the call.
bool mayHaveExecuted(policy::Outcome outcome);

// Whether the call may be rejected, which tells its client that a repeat is harmless: it has no effect, or
// each of its attempts has ended and is proved not to have been executed.
bool mayBeRejected(const ActiveCall& call);

// Unlimited as long as no attempt may have been executed. After that a safe call may be repeated at any time,
// a keyed call within its dedup window, which counts from the first attempt that may have been executed, and
// an unsafe call never. `callClass` is the call's class; null (unknown class) counts as unsafe.
WriteDeadline writeDeadline(const ActiveCall& call, const policy::ClassSettings* callClass);

// Decides whether the next attempt of the call may start now, and within which time it must be written.
// `callClass` as above.
AttemptDecision decideAttempt(const ActiveCall& call, const policy::ClassSettings* callClass,
                              policy::Timestamp now);

}  // namespace cairnjunction

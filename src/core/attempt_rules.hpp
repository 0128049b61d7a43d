// The rules under which an attempt may begin, whatever the load balancer asks for: no attempt for a settled
// call, no two attempts of a call at once, none past the deadline, and no effect twice. No state, no I/O.
#pragma once

#include "cairnjunction/load_balancer.hpp"
#include "core/active_call.hpp"

namespace cairnjunction {

enum class AttemptPermission {
  allowed,
  callSettled,       // nobody waits for an answer any more
  attemptInFlight,   // the call would be executed beside itself
  deadlinePassed,    // the answer would come too late
  notRepeatable,     // the call may have been executed, and a second execution would have a second effect
  dedupWindowPassed  // as that, since workers would no longer drop the repeat
};

// Whether the denial shows a fault of the load balancer, which must not request such an attempt. A passed
// dedup window is none: it may pass between the load balancer's decision and this check.
constexpr bool isViolation(AttemptPermission permission) {
  return permission != AttemptPermission::allowed && permission != AttemptPermission::dedupWindowPassed;
}

struct AttemptDecision {
  AttemptPermission permission = AttemptPermission::allowed;
  // With AttemptPermission::allowed: the last byte is to be written within this time; max(): no bound.
  policy::Duration writeWithin = policy::Duration::max();
};

// Until when the call may be written to an endpoint.
struct WriteDeadline {
  enum class Kind { none, at, passed };
  Kind kind = Kind::none;    // none: at any time; passed: not again at all
  policy::Timestamp time{};  // with Kind::at
};

// False if the attempt has proof that no worker executed the call.
bool mayHaveExecuted(policy::Outcome outcome);

// Before a first execution there is no bound. After that a safe call may be repeated at any time, a keyed one
// while workers still drop repeats, counted from the first attempt that may have been executed, and any other
// never. `callClass` is the call's class; null, for one that is not known, counts as unsafe.
WriteDeadline writeDeadline(const ActiveCall& call, const policy::ClassSettings* callClass);

// Whether the next attempt of the call may begin now, and until when it is to be written.
AttemptDecision decideAttempt(const ActiveCall& call, const policy::ClassSettings* callClass,
                              policy::Timestamp now);

}  // namespace cairnjunction

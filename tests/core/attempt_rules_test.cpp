// Tests each rule on its own: which conditions deny an attempt, and within which time an allowed attempt must
// be written.
#include "core/attempt_rules.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using policy::Duration;
using policy::Idempotency;
using policy::Outcome;
using policy::Timestamp;

constexpr Duration kWindow = 2s;
const Timestamp kNow = Timestamp{} + 100s;

policy::ClassSettings classOf(Idempotency idempotency) {
  policy::ClassSettings settings;
  settings.idempotency = idempotency;
  settings.dedupWindow = kWindow;
  return settings;
}

ActiveCall freshCall() {
  ActiveCall call;
  call.deadline = kNow + 1s;
  return call;
}

// A call whose first attempt that may have been executed started at `time`.
ActiveCall callExecutedAt(Timestamp time) {
  ActiveCall call = freshCall();
  call.mayHaveExecutedAt = time;
  return call;
}

AttemptDecision decide(const ActiveCall& call, Idempotency idempotency) {
  const policy::ClassSettings settings = classOf(idempotency);
  return decideAttempt(call, &settings, kNow);
}

TEST(AttemptRules, NewCallIsAllowedWithoutWriteTimeout) {
  for (const Idempotency idempotency : {Idempotency::safe, Idempotency::keyed, Idempotency::unsafe}) {
    const AttemptDecision decision = decide(freshCall(), idempotency);
    EXPECT_EQ(decision.permission, AttemptPermission::allowed);
    EXPECT_EQ(decision.writeWithin, Duration::max());
  }
}

TEST(AttemptRules, SettledCallIsDenied) {
  ActiveCall call = freshCall();
  call.settled = true;
  EXPECT_EQ(decide(call, Idempotency::safe).permission, AttemptPermission::callSettled);
}

TEST(AttemptRules, SecondAttemptInFlightIsDenied) {
  ActiveCall call = freshCall();
  call.attemptsInFlight = 1;
  EXPECT_EQ(decide(call, Idempotency::safe).permission, AttemptPermission::attemptInFlight);
}

TEST(AttemptRules, AttemptAtTheDeadlineIsDenied) {
  ActiveCall call = freshCall();
  call.deadline = kNow + 1ns;
  EXPECT_EQ(decide(call, Idempotency::safe).permission, AttemptPermission::allowed);
  call.deadline = kNow;
  EXPECT_EQ(decide(call, Idempotency::safe).permission, AttemptPermission::deadlinePassed);
}

TEST(AttemptRules, SafeCallMayBeRepeatedAtAnyTime) {
  const AttemptDecision decision = decide(callExecutedAt(kNow - 1h), Idempotency::safe);
  EXPECT_EQ(decision.permission, AttemptPermission::allowed);
  EXPECT_EQ(decision.writeWithin, Duration::max());
}

TEST(AttemptRules, UnsafeCallIsNeverRepeated) {
  EXPECT_EQ(decide(callExecutedAt(kNow), Idempotency::unsafe).permission, AttemptPermission::notRepeatable);
}

TEST(AttemptRules, CallOfUnknownClassIsNeverRepeated) {
  EXPECT_EQ(decideAttempt(freshCall(), nullptr, kNow).permission, AttemptPermission::allowed);
  EXPECT_EQ(decideAttempt(callExecutedAt(kNow), nullptr, kNow).permission, AttemptPermission::notRepeatable);
}

// A repeat must arrive at the worker within the dedup window, so a margin is reserved for its transmission.
TEST(AttemptRules, KeyedCallIsRepeatedWithinItsDedupWindowMinusAMargin) {
  const Duration margin = 5ms;
  const AttemptDecision withinWindow = decide(callExecutedAt(kNow - 500ms), Idempotency::keyed);
  EXPECT_EQ(withinWindow.permission, AttemptPermission::allowed);
  EXPECT_EQ(withinWindow.writeWithin, kWindow - margin - 500ms);
  const Timestamp tooOld = kNow - kWindow + margin;
  EXPECT_EQ(decide(callExecutedAt(tooOld + 1ns), Idempotency::keyed).writeWithin, 1ns);
  EXPECT_EQ(decide(callExecutedAt(tooOld), Idempotency::keyed).permission,
            AttemptPermission::dedupWindowPassed);
}

// The dedup window may end between the load balancer's decision and the engine's check. It is the only denial
// that is no fault of the load balancer.
TEST(AttemptRules, EveryDenialButAPassedDedupWindowIsAViolation) {
  for (const AttemptPermission permission :
       {AttemptPermission::callSettled, AttemptPermission::attemptInFlight, AttemptPermission::deadlinePassed,
        AttemptPermission::notRepeatable})
    EXPECT_TRUE(isViolation(permission));
  EXPECT_FALSE(isViolation(AttemptPermission::allowed));
  EXPECT_FALSE(isViolation(AttemptPermission::dedupWindowPassed));
}

TEST(AttemptRules, PassedDedupWindowTakesPrecedenceOverOtherDenials) {
  ActiveCall call = callExecutedAt(kNow - kWindow);
  call.settled = true;
  call.attemptsInFlight = 1;
  call.deadline = kNow;
  EXPECT_EQ(decide(call, Idempotency::keyed).permission, AttemptPermission::dedupWindowPassed);
}

TEST(AttemptRules, OnlyOverloadedConnectFailedAndNotSentProveThatACallWasNotExecuted) {
  for (const Outcome outcome : {Outcome::overloaded, Outcome::connectFailed, Outcome::notSent})
    EXPECT_FALSE(mayHaveExecuted(outcome));
  for (const Outcome outcome : {Outcome::served, Outcome::error, Outcome::timeout, Outcome::reset,
                                Outcome::cancelled, Outcome::invalidRequest})
    EXPECT_TRUE(mayHaveExecuted(outcome));
}

}  // namespace
}  // namespace cairnjunction::testing

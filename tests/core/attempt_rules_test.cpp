// Each rule alone: what denies an attempt, and until when one that may begin is to be written.
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

ActiveCall callExecutedAt(Timestamp time) {
  ActiveCall call = freshCall();
  call.mayHaveExecutedAt = time;
  return call;
}

AttemptDecision decide(const ActiveCall& call, Idempotency idempotency) {
  const policy::ClassSettings settings = classOf(idempotency);
  return decideAttempt(call, &settings, kNow);
}

TEST(AttemptRules, AFreshCallMayBeSentWithoutABoundOnItsWriting) {
  for (const Idempotency idempotency : {Idempotency::safe, Idempotency::keyed, Idempotency::unsafe}) {
    const AttemptDecision decision = decide(freshCall(), idempotency);
    EXPECT_EQ(decision.permission, AttemptPermission::allowed);
    EXPECT_EQ(decision.writeWithin, Duration::max());
  }
}

TEST(AttemptRules, NoneForASettledCall) {
  ActiveCall call = freshCall();
  call.settled = true;
  EXPECT_EQ(decide(call, Idempotency::safe).permission, AttemptPermission::callSettled);
}

TEST(AttemptRules, NoneBesideAnotherOfTheSameCall) {
  ActiveCall call = freshCall();
  call.attemptsInFlight = 1;
  EXPECT_EQ(decide(call, Idempotency::safe).permission, AttemptPermission::attemptInFlight);
}

TEST(AttemptRules, NoneAtTheDeadlineOrLater) {
  ActiveCall call = freshCall();
  call.deadline = kNow + 1ns;
  EXPECT_EQ(decide(call, Idempotency::safe).permission, AttemptPermission::allowed);
  call.deadline = kNow;
  EXPECT_EQ(decide(call, Idempotency::safe).permission, AttemptPermission::deadlinePassed);
}

TEST(AttemptRules, ASafeCallMayBeRepeatedAtAnyTime) {
  const AttemptDecision decision = decide(callExecutedAt(kNow - 1h), Idempotency::safe);
  EXPECT_EQ(decision.permission, AttemptPermission::allowed);
  EXPECT_EQ(decision.writeWithin, Duration::max());
}

TEST(AttemptRules, AnUnsafeCallIsNeverRepeated) {
  EXPECT_EQ(decide(callExecutedAt(kNow), Idempotency::unsafe).permission, AttemptPermission::notRepeatable);
}

TEST(AttemptRules, ACallOfAnUnknownClassIsNeverRepeated) {
  EXPECT_EQ(decideAttempt(freshCall(), nullptr, kNow).permission, AttemptPermission::allowed);
  EXPECT_EQ(decideAttempt(callExecutedAt(kNow), nullptr, kNow).permission, AttemptPermission::notRepeatable);
}

// The repeat has to be at its worker within the window, and takes some time to get there.
TEST(AttemptRules, AKeyedCallIsRepeatedWithinItsDedupWindowLessAMargin) {
  const Duration margin = 5ms;
  const AttemptDecision inside = decide(callExecutedAt(kNow - 500ms), Idempotency::keyed);
  EXPECT_EQ(inside.permission, AttemptPermission::allowed);
  EXPECT_EQ(inside.writeWithin, kWindow - margin - 500ms);
  const Timestamp last = kNow - kWindow + margin;
  EXPECT_EQ(decide(callExecutedAt(last + 1ns), Idempotency::keyed).writeWithin, 1ns);
  EXPECT_EQ(decide(callExecutedAt(last), Idempotency::keyed).permission,
            AttemptPermission::dedupWindowPassed);
}

// The window may pass between the step of the load balancer's clock and the engine's: only that is expected.
TEST(AttemptRules, OnlyAWindowThatPassedIsNoViolation) {
  for (const AttemptPermission permission :
       {AttemptPermission::callSettled, AttemptPermission::attemptInFlight, AttemptPermission::deadlinePassed,
        AttemptPermission::notRepeatable})
    EXPECT_TRUE(isViolation(permission));
  EXPECT_FALSE(isViolation(AttemptPermission::allowed));
  EXPECT_FALSE(isViolation(AttemptPermission::dedupWindowPassed));
}

TEST(AttemptRules, AWindowThatPassedGoesBeforeAllOtherReasons) {
  ActiveCall call = callExecutedAt(kNow - kWindow);
  call.settled = true;
  call.attemptsInFlight = 1;
  call.deadline = kNow;
  EXPECT_EQ(decide(call, Idempotency::keyed).permission, AttemptPermission::dedupWindowPassed);
}

TEST(AttemptRules, OnlyThreeOutcomesProveThatACallWasNotExecuted) {
  for (const Outcome outcome : {Outcome::overloaded, Outcome::connectFailed, Outcome::notSent})
    EXPECT_FALSE(mayHaveExecuted(outcome));
  for (const Outcome outcome : {Outcome::served, Outcome::error, Outcome::timeout, Outcome::reset,
                                Outcome::cancelled, Outcome::invalidRequest})
    EXPECT_TRUE(mayHaveExecuted(outcome));
}

}  // namespace
}  // namespace cairnjunction::testing

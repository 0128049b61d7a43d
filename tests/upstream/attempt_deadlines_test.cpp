// Deadlines computed from the timeouts of an attempt.
#include "upstream/attempt_deadlines.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using Clock = AttemptDeadlines::Clock;

const Clock::time_point kNow = Clock::time_point() + 1h;

TEST(AttemptDeadlines, WithoutAWriteTimeoutOnlyTheResponseTimeoutApplies) {
  const AttemptDeadlines deadlines(AttemptTimeouts(2s), kNow);
  EXPECT_EQ(deadlines.startedAt, kNow);
  EXPECT_EQ(deadlines.responseStartBy, kNow + 2s);
  EXPECT_EQ(deadlines.unwrittenEnd(), kNow + 2s);
}

TEST(AttemptDeadlines, AnUnwrittenAttemptEndsAtTheEarlierDeadline) {
  EXPECT_EQ(AttemptDeadlines(AttemptTimeouts(2s, 1s), kNow).unwrittenEnd(), kNow + 1s);
  EXPECT_EQ(AttemptDeadlines(AttemptTimeouts(2s, 3s), kNow).unwrittenEnd(), kNow + 2s);
}

TEST(AttemptDeadlines, AnAnswerIsPassedOnAHoldUpBeforeTheClientsTimeAndIsLateBehindIt) {
  const AttemptDeadlines deadlines(AttemptTimeouts(200ms, 1s, 800ms), kNow);
  EXPECT_EQ(deadlines.clientWaitsUntil, kNow + 800ms);
  EXPECT_EQ(deadlines.passOnAt, kNow + 650ms);
  EXPECT_EQ(deadlines.lateReplyAt, kNow + 1100ms);
  EXPECT_EQ(AttemptDeadlines(AttemptTimeouts(100ms), kNow).passOnAt, kNow + 50ms);
}

TEST(AttemptDeadlines, ANegativeTimeoutEndsAtOnce) {
  EXPECT_EQ(AttemptDeadlines(AttemptTimeouts(-1s), kNow).responseStartBy, kNow);
}

}  // namespace
}  // namespace cairnjunction::testing

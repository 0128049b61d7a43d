#include "app/shutdown_schedule.hpp"

#include <gtest/gtest.h>

#include "core/reply_deadline.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using policy::ClassSettings;
using policy::Duration;
using policy::Timestamp;

constexpr Timestamp kBegun{24h};

ClassSettings classOf(Duration objective, Duration clientTimeout, double lateValueFraction = 0) {
  ClassSettings each;
  each.latencyObjective = objective;
  each.clientTimeout = clientTimeout;
  each.lateValueFraction = lateValueFraction;
  return each;
}

TEST(ShutdownSchedule, KillComesTheLongestTimeoutAndASlackAfterTheBegin) {
  EXPECT_EQ(shutdownSchedule(kBegun, {classOf(100ms, 1s), classOf(100ms, 2s)}).killAt, kBegun + 2700ms);
  EXPECT_EQ(shutdownSchedule(kBegun, {classOf(100ms, 3s)}).killAt, kBegun + 3700ms);
  EXPECT_EQ(shutdownSchedule(kBegun, {classOf(100ms, 5s)}).killAt, kBegun + 3700ms) << "3 s count at most";
}

TEST(ShutdownSchedule, ClientsAreServedOnWhileTheSlowestAnswerCanStillBeSent) {
  EXPECT_EQ(shutdownSchedule(kBegun, {classOf(600ms, 2s)}).stopServingAt, kBegun + 1800ms);
  EXPECT_EQ(shutdownSchedule(kBegun, {classOf(100ms, 3s)}).stopServingAt, kBegun + 2s) << "2 s at most";
  const ShutdownSchedule late = shutdownSchedule(kBegun, {classOf(100ms, 3s, 0.5)});
  EXPECT_EQ(late.stopServingAt, late.stopListeningAt) << "a late answer has its value";
  EXPECT_FALSE(late.servesOn());
}

// Each step has its time before the kill, however short the classes' times are.
TEST(ShutdownSchedule, SilentAttemptOfALateCallEndsBeforeTheLastReply) {
  for (const Duration timeout : {100ms, 1000ms, 3000ms, 5000ms}) {
    const ShutdownSchedule schedule = shutdownSchedule(kBegun, {classOf(timeout / 2, timeout)});
    ReplyDeadline deadline;
    deadline.onKillAt(schedule.killAt);
    EXPECT_LE(schedule.lateDeadline, deadline.lastReplyAt());
    EXPECT_LE(schedule.stopServingAt, schedule.killAt);
    EXPECT_EQ(deadline.lastReplyAt(), schedule.killAt - 160ms);
    EXPECT_EQ(deadline.latestReply(schedule.lateDeadline), schedule.killAt - 160ms)
        << "310 ms behind the deadline would be past the kill";
    EXPECT_EQ(deadline.latestReply(schedule.killAt - 1s), schedule.killAt - 690ms);
  }
}

}  // namespace
}  // namespace cairnjunction::testing

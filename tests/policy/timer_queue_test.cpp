// Tests the order of timers, and that those of ended requests are dropped.
#include "policy/timer_queue.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace cairnjunction::policy::testing {
namespace {

using std::chrono::seconds;

Timestamp at(int second) { return Timestamp(seconds(second)); }
bool never(RequestRef) { return false; }

TEST(TimerQueue, DueTimersAreReturnedInOrder) {
  TimerQueue timers;
  timers.schedule(at(3), {1, 1}, TimerKind::hedge);
  timers.schedule(at(1), {2, 1}, TimerKind::answerDeadline);
  timers.schedule(at(2), {3, 1}, TimerKind::keyDispatch);
  EXPECT_EQ(timers.nextAt(never), at(1));
  EXPECT_FALSE(timers.popDue(at(0)));
  EXPECT_EQ(timers.popDue(at(2))->request.slot, 2U);
  EXPECT_EQ(timers.popDue(at(2))->kind, TimerKind::keyDispatch);
  EXPECT_FALSE(timers.popDue(at(2)));
  EXPECT_EQ(timers.nextAt(never), at(3));
}

TEST(TimerQueue, EqualTimesAreOrderedBySlot) {
  TimerQueue timers;
  timers.schedule(at(1), {5, 1}, TimerKind::hedge);
  timers.schedule(at(1), {4, 1}, TimerKind::hedge);
  EXPECT_EQ(timers.popDue(at(1))->request.slot, 4U);
  EXPECT_EQ(timers.popDue(at(1))->request.slot, 5U);
}

TEST(TimerQueue, TimersOfEndedRequestsAreSkipped) {
  TimerQueue timers;
  timers.schedule(at(1), {1, 1}, TimerKind::answerDeadline);
  timers.schedule(at(2), {2, 1}, TimerKind::answerDeadline);
  EXPECT_EQ(timers.nextAt([](RequestRef ref) { return ref.slot == 1; }), at(2));
  EXPECT_EQ(timers.nextAt([](RequestRef) { return true; }), std::nullopt);
}

// Otherwise timers of requests that end long before their deadlines would fill the queue.
TEST(TimerQueue, ManyTimersOfEndedRequestsArePurged) {
  TimerQueue timers;
  timers.schedule(at(1), {0, 1}, TimerKind::answerDeadline);
  for (std::uint32_t slot = 1; slot <= 2000; ++slot)
    timers.schedule(at(100), {slot, 1}, TimerKind::answerDeadline);
  EXPECT_EQ(timers.nextAt([](RequestRef ref) { return ref.slot > 0; }), at(1));
  EXPECT_EQ(timers.size(), 1U);
}

}  // namespace
}  // namespace cairnjunction::policy::testing

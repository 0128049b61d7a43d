#include "app/shutdown_schedule.hpp"

#include <algorithm>

#include "core/reply_deadline.hpp"

namespace cairnjunction {

using policy::ClassSettings;
using policy::Duration;

namespace {

// Ahead of the kill: the deadline of calls that are accepted late, and the end of reading.
constexpr Duration kLateDeadlineMargin = std::chrono::milliseconds(300);
static_assert(kLateDeadlineMargin >= kLastReplyMargin, "a silent attempt ends before the last reply is due");
// The longest time that clients are served as before.
constexpr Duration kServeMost = std::chrono::milliseconds(2000);

Duration killedAfter(const std::vector<ClassSettings>& classes) {
  Duration longest{};
  for (const ClassSettings& each : classes) longest = std::max(longest, each.clientTimeout);
  return std::min<Duration>(longest, kLongestCounted) + kKillSlack;
}

// The time after which an answer has lost its value to its client.
Duration slowestAnswer(const std::vector<ClassSettings>& classes) {
  Duration slowest{};
  for (const ClassSettings& each : classes) {
    const bool keepsValue = each.lateValueFraction > 0 || each.objectiveCostFactor > 0;
    slowest = std::max(slowest, keepsValue ? each.clientTimeout : each.latencyObjective);
  }
  return slowest;
}

}  // namespace

// Gateways are restarted one after the other, and the next may begin its shutdown before the previous one is
// back: clients whose connections closed at once would then find no gateway to connect to. So they are served
// on for as long as the slowest answer can still be sent before the kill.
ShutdownSchedule shutdownSchedule(policy::Timestamp begunAt, const std::vector<ClassSettings>& classes) {
  const Duration untilLateDeadline = killedAfter(classes) - kLateDeadlineMargin;
  ShutdownSchedule schedule;
  schedule.killAt = begunAt + killedAfter(classes);
  schedule.lateDeadline = begunAt + untilLateDeadline;
  schedule.stopListeningAt = begunAt + kAcceptOn;
  schedule.stopServingAt =
      begunAt + std::clamp<Duration>(untilLateDeadline - slowestAnswer(classes), kAcceptOn, kServeMost);
  return schedule;
}

}  // namespace cairnjunction

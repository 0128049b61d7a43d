// Points in time and durations in the interface of the load balancer.
#pragma once

#include <chrono>

namespace cairnjunction::policy {

using Duration = std::chrono::nanoseconds;

// The caller's monotonic clock. The load balancer never reads it: each event carries the time at which it
// happened.
struct MonotonicClock {
  // NOLINTBEGIN(readability-identifier-naming): the names that the standard library asks of a clock
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)
};

// Since any fixed start; must never go back. A default one, zero, stands for "never" or "long past".
using Timestamp = MonotonicClock::time_point;

}  // namespace cairnjunction::policy

// Points in time and durations in the interface of the load balancer.
#pragma once

#include <chrono>

namespace cairnjunction::policy {

using Duration = std::chrono::nanoseconds;

// The caller's monotonic clock. The load balancer never reads it: each event carries its own time.
struct MonotonicClock {
  // NOLINTBEGIN(readability-identifier-naming): names required by the standard library for clocks
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
  static constexpr bool is_steady = true;
  // NOLINTEND(readability-identifier-naming)
};

// Time since an arbitrary fixed origin; must never decrease. The default value, zero, stands for "never" or
// "long ago".
using Timestamp = MonotonicClock::time_point;

}  // namespace cairnjunction::policy

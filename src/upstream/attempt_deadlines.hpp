// The deadlines of an attempt, as points in time of the steady clock.
#pragma once

#include <algorithm>
#include <chrono>

#include "core/attempt.hpp"

namespace cairnjunction {

// Computed from the timeouts and the start of an attempt.
struct AttemptDeadlines {
  using Clock = std::chrono::steady_clock;

  AttemptDeadlines() = default;
  AttemptDeadlines(const AttemptTimeouts& timeouts, Clock::time_point now)
      : startedAt(now), responseBy(now + std::max(timeouts.response, policy::Duration::zero())) {
    if (timeouts.write != policy::Duration::max()) writtenBy = now + timeouts.write;
  }
  // The deadline of an attempt whose last byte is not written yet.
  Clock::time_point unwrittenEnd() const { return std::min(responseBy, writtenBy); }

  Clock::time_point startedAt;
  Clock::time_point responseBy;                            // the attempt ends then at the latest
  Clock::time_point writtenBy = Clock::time_point::max();  // max(): no deadline for writing
};

}  // namespace cairnjunction

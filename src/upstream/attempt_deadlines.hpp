// The timeouts of an attempt as points in time.
#pragma once

#include <algorithm>
#include <chrono>

#include "core/attempt.hpp"

namespace cairnjunction {

struct AttemptDeadlines {
  using Clock = std::chrono::steady_clock;

  AttemptDeadlines() = default;
  AttemptDeadlines(const AttemptTimeouts& timeouts, Clock::time_point now)
      : startedAt(now), responseBy(now + std::max(timeouts.response, policy::Duration::zero())) {
    if (timeouts.write != policy::Duration::max()) writtenBy = now + timeouts.write;
  }
  // The attempt ends then unless it is written to its last byte.
  Clock::time_point unwrittenEnd() const { return std::min(responseBy, writtenBy); }

  Clock::time_point startedAt;
  Clock::time_point responseBy;                            // it ends then, answered or not
  Clock::time_point writtenBy = Clock::time_point::max();  // max(): no bound of its own
};

}  // namespace cairnjunction

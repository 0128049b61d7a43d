// The deadlines of an attempt, as points in time of the steady clock.
#pragma once

#include <algorithm>
#include <chrono>

#include "core/attempt.hpp"
#include "core/reply_margin.hpp"

namespace cairnjunction {

// Computed from the timeouts and the start of an attempt.
struct AttemptDeadlines {
  using Clock = std::chrono::steady_clock;

  AttemptDeadlines() = default;
  AttemptDeadlines(const AttemptTimeouts& timeouts, Clock::time_point now)
      : startedAt(now),
        responseStartBy(now + std::max(timeouts.responseStart, policy::Duration::zero())),
        clientWaitsUntil(std::max(responseStartBy, now + timeouts.client)),
        passOnAt(clientWaitsUntil -
                 std::min<policy::Duration>(kHoldUpAllowance, (clientWaitsUntil - now) / 2)),
        lateReplyAt(clientWaitsUntil + kLateReplyAllowance) {
    if (timeouts.write != policy::Duration::max()) writtenBy = now + timeouts.write;
  }
  // The deadline of an attempt whose last byte is not written yet.
  Clock::time_point unwrittenEnd() const { return std::min(responseStartBy, writtenBy); }

  Clock::time_point startedAt;
  Clock::time_point responseStartBy;   // the attempt ends then, unless its response has begun
  Clock::time_point clientWaitsUntil;  // the final answer to the client has to begin then
  Clock::time_point passOnAt;          // so that it does: an incomplete response is streamed from then on
  Clock::time_point lateReplyAt;       // one that has begun and can't be streamed has to be complete then
  Clock::time_point writtenBy = Clock::time_point::max();  // max(): no deadline for writing
};

}  // namespace cairnjunction

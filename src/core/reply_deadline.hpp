// When the final reply to a call is given at the latest. Whatever a reply may wait for past its call's
// deadline is counted here and nowhere else: the engine replies then, whatever the call's attempts do. No
// I/O, no clock.
#pragma once

#include <algorithm>
#include <chrono>

#include "cairnjunction/load_balancer.hpp"
#include "core/reply_margin.hpp"

namespace cairnjunction {

// Past a call's deadline, for an answer that is under way.
inline constexpr policy::Duration kLatestReply = kLateReplyAllowance + kReplyMargin;
// Ahead of the kill: the process may be held up when it replies, and the reply has a way to go.
inline constexpr policy::Duration kLastReplyMargin = kHoldUpAllowance + kReplyMargin;

class ReplyDeadline {
 public:
  // The process may be killed at `kill`.
  void onKillAt(policy::Timestamp kill) { lastReplyAt_ = kill - kLastReplyMargin; }
  // The latest reply to any call; max(): the process is not about to be killed.
  policy::Timestamp lastReplyAt() const { return lastReplyAt_; }
  // The latest reply to a call with this deadline.
  policy::Timestamp latestReply(policy::Timestamp callDeadline) const {
    return std::min(callDeadline + kLatestReply, lastReplyAt_);
  }

 private:
  policy::Timestamp lastReplyAt_ = policy::Timestamp::max();
};

}  // namespace cairnjunction

// How long a member waits before it dials a coordinator again. Decides only: random draws are passed in.
#pragma once

#include <algorithm>
#include <chrono>

#include "fleet/link.hpp"

namespace cairnjunction::fleet {

class DialBackoff {
 public:
  // The delay doubles with every second failure, from the first to the last.
  static constexpr std::chrono::milliseconds kMinDelay{50};
  static constexpr std::chrono::milliseconds kMaxDelay{2000};
  // After a link that had joined: a change of leader sends all members at once, and this spreads them.
  static constexpr std::chrono::milliseconds kRejoinDelay{500};

  void onJoined() { failures_ = 0; }
  // A link has ended. Returns the longest delay before the next dial; the delay is drawn from half of it to
  // it.
  std::chrono::milliseconds onLinkEnd(LinkEnd end, bool hadJoined) {
    if (hadJoined) {
      failures_ = 0;
      return kRejoinDelay;
    }
    ++failures_;
    if (end == LinkEnd::rejected) return kMaxDelay;
    const int doublings = std::min(failures_ / 2, kMaxDoublings);
    return std::min(kMinDelay * (1 << doublings), kMaxDelay);
  }

 private:
  static constexpr int kMaxDoublings = 10;  // beyond kMaxDelay

  int failures_ = 0;  // links in a row that did not join
};

}  // namespace cairnjunction::fleet

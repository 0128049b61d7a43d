// Upper bounds for the random delay before a member dials a coordinator again. Pure logic: no I/O, no clock,
// no random draws (the caller draws the delay).
#pragma once

#include <algorithm>
#include <chrono>

#include "fleet/link.hpp"

namespace cairnjunction::fleet {

class DialBackoff {
 public:
  // The bound doubles with every second failure, from kMinDelay to kMaxDelay.
  static constexpr std::chrono::milliseconds kMinDelay{50};
  static constexpr std::chrono::milliseconds kMaxDelay{2000};
  // After the end of a joined link. A change of leader disconnects all members at once; this spreads their
  // dials.
  static constexpr std::chrono::milliseconds kRejoinDelay{500};

  void onJoined() { failures_ = 0; }
  // Records the end of a link. Returns the upper bound of the delay before the next dial; the caller draws
  // the delay between half of the bound and the bound.
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
  static constexpr int kMaxDoublings = 10;  // enough to exceed kMaxDelay

  int failures_ = 0;  // consecutive links that ended without joining
};

}  // namespace cairnjunction::fleet

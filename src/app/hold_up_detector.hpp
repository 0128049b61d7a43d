// Tells from how late a timer fires whether the process was held up just now. A signal that came meanwhile is
// noticed late. No I/O, no clock.
#pragma once

#include <chrono>

#include "cairnjunction/load_balancer.hpp"
#include "core/reply_margin.hpp"

namespace cairnjunction {

class HoldUpDetector {
 public:
  void onTimerSet(policy::Timestamp expiry) { expiry_ = expiry; }
  void onTimerFired(policy::Timestamp now) {
    if (isLate(now)) heldUpAt_ = now;
    expiry_ = policy::Timestamp::max();
  }
  // How long before `now` a signal that is noticed at that time may have come.
  policy::Duration possibleDelay(policy::Timestamp now) const {
    const bool heldUp = isLate(now) || (heldUpAt_ > policy::Timestamp{} && now - heldUpAt_ <= kSameTurn);
    return heldUp ? policy::Duration(kHoldUpAllowance) : policy::Duration{};
  }

 private:
  // Timers of a busy machine are late by less.
  static constexpr std::chrono::milliseconds kUsualLateness{40};
  // The timer and the signal may be handled in either order behind a hold-up.
  static constexpr std::chrono::milliseconds kSameTurn{20};

  bool isLate(policy::Timestamp now) const {
    return expiry_ != policy::Timestamp::max() && now - expiry_ > kUsualLateness;
  }

  policy::Timestamp expiry_ = policy::Timestamp::max();  // max(): the timer is not set
  policy::Timestamp heldUpAt_{};                         // the last late firing
};

}  // namespace cairnjunction

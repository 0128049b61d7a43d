#include "app/hold_up_detector.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using policy::Timestamp;

constexpr Timestamp kNow{24h};

TEST(HoldUpDetector, TimerThatIsPunctualShowsNoDelay) {
  HoldUpDetector detector;
  EXPECT_EQ(detector.possibleDelay(kNow), 0ms) << "no timer is set";
  detector.onTimerSet(kNow + 100ms);
  EXPECT_EQ(detector.possibleDelay(kNow + 50ms), 0ms);
  detector.onTimerFired(kNow + 110ms);
  EXPECT_EQ(detector.possibleDelay(kNow + 111ms), 0ms);
}

TEST(HoldUpDetector, SignalBesideALateTimerMayHaveComeAHoldUpEarlier) {
  HoldUpDetector detector;
  detector.onTimerSet(kNow + 100ms);
  EXPECT_EQ(detector.possibleDelay(kNow + 150ms), 150ms) << "the signal is handled first";
  detector.onTimerFired(kNow + 150ms);
  EXPECT_EQ(detector.possibleDelay(kNow + 151ms), 150ms) << "the timer is handled first";
  EXPECT_EQ(detector.possibleDelay(kNow + 180ms), 0ms) << "it came behind the hold-up";
}

}  // namespace
}  // namespace cairnjunction::testing

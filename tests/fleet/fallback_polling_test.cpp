// Tests of when a member polls discovery itself.
#include "fleet/fallback_polling.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <map>

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;

lease::BootTime at(lease::Duration sinceBoot) { return lease::BootTime(sinceBoot); }

// All three hundred members of a fleet become isolated at once. At most two begin to poll discovery in any
// second, and a member without a list polls sooner. Polling stops when isolation ends or a list from the
// lease holder is accepted.
TEST(FallbackPolling, LeaseHoldersPollAndIsolatedMembersPollAfterADelay) {
  fleet::FallbackPolling polling;
  EXPECT_FALSE(polling.shouldPoll(at(1s)));
  polling.onLeaseChange(true);
  EXPECT_TRUE(polling.shouldPoll(at(1s)));
  polling.onLeaseChange(false);
  std::map<std::int64_t, int> pollsBySecond;
  for (int i = 0; i < 300; ++i) {
    fleet::FallbackPolling one;
    one.onIsolationChange(true, at(0s), 300, true, i / 300.0);
    ++pollsBySecond[one.pollsAt()->time_since_epoch().count() / 1000];
    EXPECT_TRUE(one.shouldPoll(*one.pollsAt()));
  }
  for (const auto& [second, polls] : pollsBySecond) EXPECT_LE(polls, 2) << second;
  polling.onIsolationChange(true, at(1s), 300, false, 1);
  EXPECT_EQ(*polling.pollsAt(), at(31s)) << "the delay is shorter without a list";
  polling.onIsolationChange(false, at(2s), 300, false, 1);
  EXPECT_FALSE(polling.shouldPoll(at(100s)));
  polling.onListRejected(at(2s), 10, 0.5);
  EXPECT_TRUE(polling.shouldPoll(at(7s)));
  polling.onListAccepted(false);
  EXPECT_FALSE(polling.shouldPoll(at(7s)));
}

}  // namespace
}  // namespace cairnjunction::testing

// How long a holder may act.
#include "lease/held_lease.hpp"

#include <gtest/gtest.h>

#include "lease_log.hpp"

namespace cairnjunction::lease::testing {
namespace {

// A holder is granted a lease, hears late answers to older questions, and releases it.
// It may act from its question on for less than the lease, and after the release only under another epoch.
TEST(HeldLease, CountsFromBeforeItAskedAndNeverLongerThanTheLog) {
  HeldLease lease;
  const Duration valid = kLease - kLease / kClockDriftDivisor;
  EXPECT_FALSE(lease.isValid(bootTime(0)));
  lease.granted(4, 0, bootTime(1000), kLease);
  EXPECT_TRUE(lease.isValid(bootTime(1000) + valid - Duration(1)));
  EXPECT_FALSE(lease.isValid(bootTime(1000) + valid));
  lease.granted(4, 0, bootTime(500), kLease);
  EXPECT_EQ(lease.until(), bootTime(1000) + valid) << "an answer to an older question";
  lease.granted(3, 0, bootTime(9000), kLease);
  EXPECT_FALSE(lease.isValid(bootTime(9000))) << "of an epoch that is over";
  EXPECT_EQ(lease.nextToken(kList, kMemberA, bootTime(2000))->sequence, 1U);
  EXPECT_EQ(lease.nextToken(kList, kMemberA, bootTime(2000))->sequence, 2U);
  lease.end();
  EXPECT_FALSE(lease.nextToken(kList, kMemberA, bootTime(2000)));
  lease.granted(4, 0, bootTime(2000), kLease);
  EXPECT_FALSE(lease.held()) << "what was released comes back only with another epoch";
  lease.granted(5, 0, bootTime(2000), kLease);
  EXPECT_EQ(lease.nextToken(kList, kMemberA, bootTime(2000))->sequence, 1U);
}

}  // namespace
}  // namespace cairnjunction::lease::testing

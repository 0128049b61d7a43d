// A held lease: how long its holder may act.
#include "lease/held_lease.hpp"

#include <gtest/gtest.h>

#include "lease_log.hpp"

namespace cairnjunction::lease::testing {
namespace {

// A holder is granted a lease, receives late responses to older requests, and releases the lease. It may act
// for less than the lease's duration from its request on, and after the release only under a newer epoch.
TEST(HeldLease, IsValidFromTheRequestOnAndEndsBeforeTheLeaseDoes) {
  HeldLease lease;
  const Duration valid = kLease - kLease / kClockDriftDivisor;
  EXPECT_FALSE(lease.isValid(bootTime(0)));
  lease.recordGrant(4, 0, bootTime(1000), kLease);
  EXPECT_TRUE(lease.isValid(bootTime(1000) + valid - Duration(1)));
  EXPECT_FALSE(lease.isValid(bootTime(1000) + valid));
  lease.recordGrant(4, 0, bootTime(500), kLease);
  EXPECT_EQ(lease.validUntil(), bootTime(1000) + valid) << "a response to an older request";
  lease.recordGrant(3, 0, bootTime(9000), kLease);
  EXPECT_FALSE(lease.isValid(bootTime(9000))) << "a response of an older epoch";
  EXPECT_EQ(lease.nextToken(kList, kMemberA, bootTime(2000))->sequence, 1U);
  EXPECT_EQ(lease.nextToken(kList, kMemberA, bootTime(2000))->sequence, 2U);
  lease.end();
  EXPECT_FALSE(lease.nextToken(kList, kMemberA, bootTime(2000)));
  lease.recordGrant(4, 0, bootTime(2000), kLease);
  EXPECT_FALSE(lease.isHeld()) << "a released lease starts again only with a newer epoch";
  lease.recordGrant(5, 0, bootTime(2000), kLease);
  EXPECT_EQ(lease.nextToken(kList, kMemberA, bootTime(2000))->sequence, 1U);
}

}  // namespace
}  // namespace cairnjunction::lease::testing

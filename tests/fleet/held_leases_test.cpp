// Tests of the leases that a member holds.
#include "fleet/held_leases.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <string>

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using fleet::LeaseEndReason;

lease::BootTime at(lease::Duration sinceBoot) { return lease::BootTime(sinceBoot); }

class HeldLeasesTest : public ::testing::Test {
 protected:
  const lease::LeaseKey list{"list", 0};
  const lease::Member self{"n0", 7};
  std::vector<std::string> changes;
  fleet::HeldLeases leases{{[this](const lease::LeaseKey& key, lease::Epoch epoch) {
                              changes.push_back("begin " + key.task + " " + std::to_string(epoch));
                            },
                            [this](const lease::LeaseKey& key, lease::Epoch epoch, LeaseEndReason reason) {
                              EXPECT_NE(leases.activeEpoch(key), epoch)
                                  << "the lease must have ended before the callback";
                              changes.push_back("end " + key.task + " " + std::to_string(epoch) + " " +
                                                std::string(nameOf(reason)));
                            }}};

  fleet::LeaseGrant grant(lease::Epoch epoch, lease::Duration heartbeatSentAt) {
    return {list, epoch, 0, at(heartbeatSentAt), 1000ms};
  }
};

TEST_F(HeldLeasesTest, AGrantBeginsALeaseAndRenewalsExtendIt) {
  leases.onGrant(grant(1, 0ms), at(10ms));
  leases.onGrant(grant(1, 500ms), at(510ms));
  EXPECT_EQ(changes, std::vector<std::string>{"begin list 1"});
  EXPECT_EQ(leases.activeEpoch(list), 1u);
  EXPECT_EQ(leases.nextExpiry(), at(1490ms)) << "measured from the heartbeat, less the allowed clock drift";
  ASSERT_EQ(leases.leasesToRenew(at(600ms)).size(), 1u);
  EXPECT_EQ(leases.leasesToRenew(at(600ms))[0].epoch, 1u);
  EXPECT_TRUE(leases.leasesToRenew(at(1490ms)).empty());
}

// Guards against a lease that lasts longer here than on the log: the grant names a heartbeat of the future.
TEST_F(HeldLeasesTest, AGrantMeasuredFromAHeartbeatThatWasNotSentYetIsIgnored) {
  leases.onGrant(grant(1, 11ms), at(10ms));
  EXPECT_TRUE(changes.empty());
  leases.onGrant(grant(1, 10ms), at(10ms));
  leases.onGrant(grant(1, 60min), at(20ms));
  EXPECT_EQ(changes, std::vector<std::string>{"begin list 1"});
  EXPECT_EQ(leases.nextExpiry(), at(1000ms)) << "it is not extended either";
}

// The member's heartbeats get no response. Its lease expires by its own clock, and a late response does not
// restore it.
TEST_F(HeldLeasesTest, ALeaseThatIsNotRenewedExpires) {
  leases.onGrant(grant(1, 0ms), at(10ms));
  leases.endExpired(at(989ms));
  EXPECT_TRUE(leases.isValid(list, at(989ms)));
  leases.endExpired(at(990ms));
  EXPECT_FALSE(leases.isValid(list, at(990ms)));
  EXPECT_FALSE(leases.nextToken(list, self, at(990ms)));
  leases.onGrant(grant(1, 900ms), at(1000ms));
  EXPECT_EQ(changes, (std::vector<std::string>{"begin list 1", "end list 1 expired"}));
  EXPECT_FALSE(leases.nextExpiry());
}

// The lease was granted to another member and then to this one again, and this member has missed both
// changes. The lease ends under the old epoch before it begins under the new one.
TEST_F(HeldLeasesTest, AGrantOfALaterEpochSupersedesTheLease) {
  leases.onGrant(grant(1, 0ms), at(10ms));
  leases.onGrant(grant(3, 100ms), at(110ms));
  EXPECT_EQ(changes, (std::vector<std::string>{"begin list 1", "end list 1 superseded", "begin list 3"}));
  leases.endLease(list, 1, LeaseEndReason::revoked);
  EXPECT_EQ(leases.activeEpoch(list), 3u) << "revocation of an epoch that is not held";
  leases.endLease(list, 3, LeaseEndReason::released);
  leases.onGrant(grant(3, 200ms), at(210ms));
  EXPECT_EQ(leases.activeEpoch(list), std::nullopt) << "a released lease is not renewed";
}

TEST_F(HeldLeasesTest, SequencesIncreaseWithinAnEpoch) {
  EXPECT_FALSE(leases.nextToken(list, self, at(0ms)));
  leases.onGrant(grant(2, 0ms), at(10ms));
  EXPECT_EQ(leases.nextToken(list, self, at(20ms)), (lease::FencingToken{list, 2, 1, self}));
  EXPECT_EQ(leases.nextToken(list, self, at(20ms)), (lease::FencingToken{list, 2, 2, self}));
  EXPECT_EQ(leases.leasesToRenew(at(20ms))[0].sequence, 2u);
}

TEST_F(HeldLeasesTest, AllLeasesEndWhenTheMemberLeaves) {
  leases.onGrant(grant(1, 0ms), at(10ms));
  leases.onGrant({{"probe", 2}, 5, 0, at(0ms), 1000ms}, at(10ms));
  leases.endAll(LeaseEndReason::leaving);
  EXPECT_EQ(changes, (std::vector<std::string>{"begin list 1", "begin probe 5", "end list 1 leaving",
                                               "end probe 5 leaving"}));
}

}  // namespace
}  // namespace cairnjunction::testing

// Delays between dials.
#include "fleet/dial_backoff.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::testing {
namespace {

using fleet::DialBackoff;
using fleet::LinkEnd;

TEST(DialBackoff, DoublesWithEverySecondFailureUpToItsBound) {
  DialBackoff backoff;
  EXPECT_EQ(backoff.onLinkEnd(LinkEnd::connectionRefused, false), DialBackoff::kMinDelay);
  EXPECT_EQ(backoff.onLinkEnd(LinkEnd::connectionRefused, false), 2 * DialBackoff::kMinDelay);
  EXPECT_EQ(backoff.onLinkEnd(LinkEnd::notLeader, false), 2 * DialBackoff::kMinDelay);
  EXPECT_EQ(backoff.onLinkEnd(LinkEnd::connectionRefused, false), 4 * DialBackoff::kMinDelay);
  for (int i = 0; i < 1000; ++i) backoff.onLinkEnd(LinkEnd::connectionRefused, false);
  EXPECT_EQ(backoff.onLinkEnd(LinkEnd::connectionRefused, false), DialBackoff::kMaxDelay);
}

TEST(DialBackoff, BeginsAnewAfterALinkThatHadJoined) {
  DialBackoff backoff;
  for (int i = 0; i < 10; ++i) backoff.onLinkEnd(LinkEnd::connectionRefused, false);
  EXPECT_EQ(backoff.onLinkEnd(LinkEnd::reset, true), DialBackoff::kRejoinDelay);
  EXPECT_EQ(backoff.onLinkEnd(LinkEnd::connectionRefused, false), DialBackoff::kMinDelay);
}

// A member that does not belong here is told so at each dial; it does not hurry.
TEST(DialBackoff, ARejectedMemberWaitsLongest) {
  DialBackoff backoff;
  EXPECT_EQ(backoff.onLinkEnd(LinkEnd::rejected, false), DialBackoff::kMaxDelay);
}

}  // namespace
}  // namespace cairnjunction::testing

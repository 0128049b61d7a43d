// Tests of the backoff between dials of a coordinator.
#include "fleet/dial_backoff.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::testing {
namespace {

using fleet::DialBackoff;
using fleet::LinkEnd;

TEST(DialBackoff, DoublesWithEverySecondFailureUpToTheMaximum) {
  DialBackoff backoff;
  EXPECT_EQ(backoff.onLinkEnd(LinkEnd::connectionRefused, false), DialBackoff::kMinDelay);
  EXPECT_EQ(backoff.onLinkEnd(LinkEnd::connectionRefused, false), 2 * DialBackoff::kMinDelay);
  EXPECT_EQ(backoff.onLinkEnd(LinkEnd::notLeader, false), 2 * DialBackoff::kMinDelay);
  EXPECT_EQ(backoff.onLinkEnd(LinkEnd::connectionRefused, false), 4 * DialBackoff::kMinDelay);
  for (int i = 0; i < 1000; ++i) backoff.onLinkEnd(LinkEnd::connectionRefused, false);
  EXPECT_EQ(backoff.onLinkEnd(LinkEnd::connectionRefused, false), DialBackoff::kMaxDelay);
}

TEST(DialBackoff, ResetsAfterALinkThatHadJoined) {
  DialBackoff backoff;
  for (int i = 0; i < 10; ++i) backoff.onLinkEnd(LinkEnd::connectionRefused, false);
  EXPECT_EQ(backoff.onLinkEnd(LinkEnd::reset, true), DialBackoff::kRejoinDelay);
  EXPECT_EQ(backoff.onLinkEnd(LinkEnd::connectionRefused, false), DialBackoff::kMinDelay);
}

// A rejected member would be rejected at each dial, so it waits for the maximum delay at once.
TEST(DialBackoff, UsesTheMaximumDelayAfterARejection) {
  DialBackoff backoff;
  EXPECT_EQ(backoff.onLinkEnd(LinkEnd::rejected, false), DialBackoff::kMaxDelay);
}

}  // namespace
}  // namespace cairnjunction::testing

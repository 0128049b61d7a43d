// Tests the range of random draws, and that they depend on the seed alone.
#include "policy/random.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::policy::testing {
namespace {

TEST(Random, EqualSeedsGiveEqualDraws) {
  Random first(7);
  Random second(7);
  Random other(8);
  bool differs = false;
  for (int i = 0; i < 100; ++i) {
    const double draw = first.unit();
    EXPECT_EQ(draw, second.unit());
    differs |= draw != other.unit();
  }
  EXPECT_TRUE(differs);
}

TEST(Random, DrawsStayInTheirRange) {
  Random random(7);
  for (int i = 0; i < 1000; ++i) {
    const double draw = random.unit();
    EXPECT_GE(draw, 0);
    EXPECT_LT(draw, 1);
    EXPECT_LT(random.below(3), 3U);
  }
}

}  // namespace
}  // namespace cairnjunction::policy::testing

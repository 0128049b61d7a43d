// Tests how priority weights are ranked within the recent traffic.
#include "policy/priority_score.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::policy::testing {
namespace {

TEST(PriorityScorer, HigherWeightAlwaysScoresAboveALowerOne) {
  PriorityScorer scorer;
  Random random(1);
  scorer.score(1, random);
  scorer.score(10, random);
  for (int i = 0; i < 1000; ++i) {
    const double low = scorer.score(1, random);
    const double high = scorer.score(10, random);
    EXPECT_GE(low, 1);
    EXPECT_LE(high, 100);
    EXPECT_LT(low, high);
  }
}

TEST(PriorityScorer, EqualWeightsSpreadOverAllScores) {
  PriorityScorer scorer;
  Random random(1);
  int below = 0;
  for (int i = 0; i < 10000; ++i) below += scorer.score(5, random) < 25 ? 1 : 0;
  EXPECT_NEAR(below / 10000.0, 0.24, 0.02);
}

// A class without recent requests must not occupy ranks permanently.
TEST(PriorityScorer, PastTrafficDecays) {
  PriorityScorer scorer;
  Random random(1);
  for (int i = 0; i < 100; ++i) scorer.score(1, random);
  EXPECT_GT(scorer.score(10, random), 99);
  for (int update = 0; update < 2000; ++update) scorer.update();
  double minScore = 100;
  for (int i = 0; i < 100; ++i) minScore = std::min(minScore, scorer.score(10, random));
  EXPECT_LT(minScore, 10);
}

}  // namespace
}  // namespace cairnjunction::policy::testing

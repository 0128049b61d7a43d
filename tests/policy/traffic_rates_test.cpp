// Tests the rates of requests and answers, and the sample confidence.
#include "policy/traffic_rates.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::policy::testing {
namespace {

TEST(TrafficRates, RatesConvergeToTheRecordedTraffic) {
  TrafficRates rates;
  for (int update = 0; update < 100; ++update) {
    for (int i = 0; i < 20; ++i) {
      rates.recordRequest();
      rates.recordAnswer(0.5);
    }
    rates.update();
  }
  EXPECT_NEAR(rates.requestRate(), 200, 1);
  EXPECT_NEAR(rates.answerRate(), 100, 1);
  EXPECT_EQ(rates.sampleConfidence(), 1);
  EXPECT_EQ(rates.fastGain(), kFastGain);
}

// A gateway with very few requests would react to noise, so its means cover a longer time.
TEST(TrafficRates, SampleConfidenceFallsWithTheTraffic) {
  TrafficRates rates;
  EXPECT_EQ(rates.sampleConfidence(), 1) << "initial value";
  for (int update = 0; update < 20; ++update) rates.update();
  EXPECT_EQ(rates.sampleConfidence(), 0.05);
  EXPECT_EQ(rates.fastGain(), 0.05 * kFastGain);
}

}  // namespace
}  // namespace cairnjunction::policy::testing

#include "http/request_progress.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using Time = RequestProgress::Time;

class RequestProgressTest : public ::testing::Test {
 protected:
  const Time start{1h};
  RequestProgress progress;
};

TEST_F(RequestProgressTest, WhatTheHostsSystemTakesAtOnceIsNoReading) {
  progress.begin(start, start + 400ms);
  progress.sample(start + 10ms, 100'000);
  progress.sample(start + 50ms, 200'000);
  progress.sample(start + 400ms, 200'000);
  EXPECT_FALSE(progress.isBeingTaken(start + 400ms));
}

TEST_F(RequestProgressTest, FirstSampleIsTheBaselineHoweverLate) {
  progress.begin(start, start + 400ms);
  progress.sample(start + 90ms, 300);
  EXPECT_FALSE(progress.isBeingTaken(start + 400ms));
}

// The window of a host opens in steps, with pauses between them.
TEST_F(RequestProgressTest, PauseBetweenTwoReadsIsNoSilence) {
  progress.begin(start, start + 3s);
  progress.sample(start + 50ms, 100'000);
  progress.sample(start + 100ms, 132'000);
  for (const auto pause : {100ms, 500ms, 2000ms, 2400ms}) {
    progress.sample(start + 100ms + pause, 132'000);
    EXPECT_TRUE(progress.isBeingTaken(start + 100ms + pause));
  }
  EXPECT_FALSE(progress.isBeingTaken(start + 100ms + 2600ms));
}

TEST_F(RequestProgressTest, ReadingIsSeenBeforeAShortLimitToo) {
  progress.begin(start, start + 60ms);
  EXPECT_EQ(progress.baselineUntil(), start + 30ms);
  progress.sample(start + 30ms, 100'000);
  progress.sample(start + 60ms, 100'001);
  EXPECT_TRUE(progress.isBeingTaken(start + 60ms));
}

TEST_F(RequestProgressTest, RequestOfWhichTheHostsSystemHasOnlyAPartCantBeAnsweredYet) {
  progress.begin(start, start + 200ms);
  progress.sample(start + 50ms, 130'000);
  progress.sample(start + 200ms, 130'000);
  EXPECT_FALSE(progress.isBeingTaken(start + 200ms));
  EXPECT_TRUE(progress.isPartlyTaken(start + 200ms, 500'000));
  EXPECT_FALSE(progress.isPartlyTaken(start + 200ms, 130'000)) << "it has the whole of it";
  EXPECT_FALSE(progress.isPartlyTaken(start + 2600ms, 500'000)) << "it has been silent for too long";
  progress.begin(start, start + 200ms);
  progress.sample(start + 200ms, 0);
  EXPECT_FALSE(progress.isPartlyTaken(start + 200ms, 500'000)) << "it takes nothing: it may be gone";
}

TEST_F(RequestProgressTest, NextRequestBeginsAnew) {
  progress.begin(start, start + 400ms);
  progress.sample(start + 50ms, 90'000);
  progress.sample(start + 60ms, 100'000);
  EXPECT_TRUE(progress.isBeingTaken(start + 60ms));
  progress.begin(start + 100ms, start + 500ms);
  EXPECT_FALSE(progress.isBeingTaken(start + 100ms));
  progress.sample(start + 150ms, 40);
  progress.sample(start + 160ms, 50);
  EXPECT_TRUE(progress.isBeingTaken(start + 160ms));
}

}  // namespace
}  // namespace cairnjunction::testing

// Failures and the backoff that follows them.
#include "lease/failure_history.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "lease_log.hpp"

namespace cairnjunction::lease::testing {
namespace {

// A member fails at a task twenty times in a row, and then does it.
// Its backoff doubles from 2 s to 5 min, and is gone after the success.
TEST(FailureHistories, TheBackoffDoublesUpToItsMostAndEndsWithASuccess) {
  FailureHistories histories;
  const LogTime now = logTime(1000);
  Duration expected = FailureHistories::kBackoffFirst;
  for (std::uint32_t failure = 1; failure <= 20; ++failure) {
    histories.recordFailure("a", "list", now);
    EXPECT_EQ(histories.find("a", "list"), (FailureHistory{failure, now + expected}));
    expected = std::min(expected * 2, FailureHistories::kBackoffMost);
  }
  EXPECT_EQ(histories.find("a", "probe"), FailureHistory{}) << "another task";
  EXPECT_EQ(histories.find("b", "list"), FailureHistory{}) << "another member";
  histories.recordSuccess("a", "list");
  EXPECT_EQ(histories.find("a", "list"), FailureHistory{});
  EXPECT_TRUE(histories.all().empty());
}

// More members fail than there is room for.
// The history whose backoff ends first is forgotten, and the number stays.
TEST(FailureHistories, PastTheBoundTheOneThatEndsFirstIsForgotten) {
  FailureHistories histories;
  for (std::size_t i = 0; i < FailureHistories::kHistoriesMost; ++i)
    histories.recordFailure("m" + std::to_string(i), "list", logTime(static_cast<std::int64_t>(10 + i)));
  histories.recordFailure("m7", "list", logTime(1));
  histories.recordFailure("new", "list", logTime(20'000));
  EXPECT_EQ(histories.all().size(), FailureHistories::kHistoriesMost);
  EXPECT_EQ(histories.find("m0", "list"), FailureHistory{});
  EXPECT_EQ(histories.find("m1", "list").consecutiveFailures, 1U);
  EXPECT_EQ(histories.find("m7", "list").consecutiveFailures, 2U)
      << "known, so no other one made room for it";
  EXPECT_EQ(histories.find("new", "list").consecutiveFailures, 1U);
}

}  // namespace
}  // namespace cairnjunction::lease::testing

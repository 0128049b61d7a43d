// Failure histories: the backoff after failures, and the limit on their number.
#include "lease/failure_history.hpp"

#include <gtest/gtest.h>

#include <algorithm>

#include "lease_log.hpp"

namespace cairnjunction::lease::testing {
namespace {

// A member fails at a task twenty times in a row, then succeeds. Its backoff doubles from 2 s up to 5 min,
// and is reset by the success.
TEST(FailureHistories, BackoffDoublesUpToItsMaximumAndIsResetBySuccess) {
  FailureHistories histories;
  const LogTime now = logTime(1000);
  Duration expected = FailureHistories::kInitialBackoff;
  for (std::uint32_t failure = 1; failure <= 20; ++failure) {
    histories.recordFailure("a", "list", now);
    EXPECT_EQ(histories.find("a", "list"), (FailureHistory{failure, now + expected}));
    expected = std::min(expected * 2, FailureHistories::kMaxBackoff);
  }
  EXPECT_EQ(histories.find("a", "probe"), FailureHistory{}) << "another task";
  EXPECT_EQ(histories.find("b", "list"), FailureHistory{}) << "another member";
  histories.recordSuccess("a", "list");
  EXPECT_EQ(histories.find("a", "list"), FailureHistory{});
  EXPECT_TRUE(histories.all().empty());
}

// At the limit, the history of another member replaces the one whose backoff ends first.
TEST(FailureHistories, AtTheLimitTheHistoryWhoseBackoffEndsFirstIsEvicted) {
  FailureHistories histories;
  for (std::size_t i = 0; i < FailureHistories::kMaxHistories; ++i)
    histories.recordFailure("m" + std::to_string(i), "list", logTime(static_cast<std::int64_t>(10 + i)));
  histories.recordFailure("m7", "list", logTime(1));
  histories.recordFailure("new", "list", logTime(20'000));
  EXPECT_EQ(histories.all().size(), FailureHistories::kMaxHistories);
  EXPECT_EQ(histories.find("m0", "list"), FailureHistory{});
  EXPECT_EQ(histories.find("m1", "list").consecutiveFailures, 1U);
  EXPECT_EQ(histories.find("m7", "list").consecutiveFailures, 2U)
      << "it has a history already, so none is evicted for it";
  EXPECT_EQ(histories.find("new", "list").consecutiveFailures, 1U);
}

}  // namespace
}  // namespace cairnjunction::lease::testing

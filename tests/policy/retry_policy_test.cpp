// Tests which requests may be repeated, where, and until when; and the retry budget.
#include "policy/retry_policy.hpp"

#include <gtest/gtest.h>

#include "pool.hpp"

namespace cairnjunction::policy::testing {
namespace {

constexpr std::uint32_t kSafe = 0;
constexpr std::uint32_t kUnsafe = 1;
constexpr std::uint32_t kKeyed = 2;  // deduplicated within a cell, for 800 ms

struct Retry : ::testing::Test {
  Retry() {
    for (int i = 0; i < 4; ++i) pool.add(makeHost(i, i < 3 ? "east" : "west", i % 2));
    pool.endpoints.rebuildOrder();
  }
  bool mayRunAt(const ActiveRequest& request, EndpointId id, Duration after = Duration{}) {
    return policy.mayRunAt(request, pool.endpoints[id], kStart + after);
  }

  Pool pool{0};
  RetryPolicy policy{pool.settings, pool.classes, pool.endpoints};
};

TEST_F(Retry, SafeRequestsMayBeRepeatedAnywhere) {
  ActiveRequest& request = pool.open(kSafe);
  pool.send(request, 0);
  for (EndpointId id = 0; id < 4; ++id) EXPECT_TRUE(mayRunAt(request, id, seconds(10)));
}

TEST_F(Retry, UnsafeRequestsMayBeRepeatedOnlyIfNotExecuted) {
  ActiveRequest& request = pool.open(kUnsafe);
  EXPECT_TRUE(mayRunAt(request, 0));
  pool.send(request, 0);
  EXPECT_FALSE(mayRunAt(request, 0));
  EXPECT_FALSE(mayRunAt(request, 1));
  request.attempts[0].mayHaveExecuted = false;
  EXPECT_TRUE(mayRunAt(request, 1));
}

TEST_F(Retry, KeyedRequestsMayBeRepeatedWithinDedupScopeAndWindow) {
  ActiveRequest& request = pool.open(kKeyed);
  pool.send(request, 0);
  EXPECT_FALSE(mayRunAt(request, 1)) << "another cell";
  EXPECT_TRUE(mayRunAt(request, 2)) << "the same cell and zone";
  EXPECT_FALSE(mayRunAt(request, 3)) << "another zone";
  EXPECT_TRUE(mayRunAt(request, 2, milliseconds(790)));
  EXPECT_FALSE(mayRunAt(request, 2, milliseconds(791))) << "too close to the end of the dedup window";
}

TEST_F(Retry, AttemptsAreLimitedBySettingsAndRequest) {
  ActiveRequest& request = pool.open(kSafe);
  request.attemptCount = 3;
  EXPECT_FALSE(policy.isExhausted(request));
  request.maxAttempts = 3;
  EXPECT_TRUE(policy.isExhausted(request));
  request.maxAttempts = kNone;
  request.attemptCount = 4;
  EXPECT_TRUE(policy.isExhausted(request));
}

TEST_F(Retry, AttemptDeadlineIsTheObjectiveUnlessLateAnswersHaveValue) {
  const ActiveRequest& request = pool.open(kSafe);
  EXPECT_EQ(policy.attemptDeadline(request), kStart + milliseconds(390));
  ClassSettings late = pool.settings.classes[kSafe];
  late.lateValueFraction = 0.5;
  pool.classes[kSafe].setSettings(late);
  EXPECT_EQ(policy.attemptDeadline(request), kStart + milliseconds(990));
}

TEST_F(Retry, RequestsAheadOfTheSameKeyAddTheirTypicalLatency) {
  pool.classes[kSafe].recordLatency(0.1, 1);
  const ActiveRequest& request = pool.open(kSafe);
  EXPECT_FALSE(policy.cannotFinishInTime(request, 2, kStart));
  EXPECT_TRUE(policy.cannotFinishInTime(request, 3, kStart));
}

// A rejection tells the client that it may repeat the request. If an unsafe request may have been executed,
// the repeat would execute it twice.
TEST_F(Retry, OnlyRequestsThatAreSafeToRepeatMayBeRejected) {
  ActiveRequest& unsafe = pool.open(kUnsafe);
  EXPECT_TRUE(policy.isSafeToReject(unsafe));
  pool.send(unsafe, 0);
  EXPECT_FALSE(policy.isSafeToReject(unsafe));
  ActiveRequest& safe = pool.open(kSafe);
  pool.send(safe, 0);
  EXPECT_TRUE(policy.isSafeToReject(safe));
  ActiveRequest& keyed = pool.open(kKeyed);
  pool.send(keyed, 0);
  EXPECT_FALSE(policy.isSafeToReject(keyed)) << "the repeat may reach another cell";
}

TEST_F(Retry, LowScoresGetALongerRetryAfter) {
  ActiveRequest& request = pool.open(kSafe);
  EXPECT_EQ(policy.retryAfter(request, pool.random), Duration{}) << "clients do not honour Retry-After";
  pool.settings.retryAfterAllowed = true;
  pool.settings.maxRetryAfter = seconds(1);
  request.score = 1;
  const Duration low = policy.retryAfter(request, pool.random);
  EXPECT_GE(low, milliseconds(495));
  EXPECT_LE(low, milliseconds(990));
  request.score = 100;
  const Duration high = policy.retryAfter(request, pool.random);
  EXPECT_GE(high, milliseconds(50));
  EXPECT_LE(high, milliseconds(100));
}

TEST(RetryBudget, AllowsAFractionOfTheRequests) {
  RetryBudget budget;
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.recordRequest(100);
    if (!budget.allowsRetry()) continue;
    budget.spend();
    ++retries;
  }
  EXPECT_NEAR(retries, 303, 1) << "0.3 per request, plus 3 available at the start";
}

}  // namespace
}  // namespace cairnjunction::policy::testing

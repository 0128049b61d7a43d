// Tests ejection, probation, the backoff of overloaded endpoints, and the class success weight.
#include "policy/outlier_detection.hpp"

#include <gtest/gtest.h>

#include "pool.hpp"

namespace cairnjunction::policy::testing {
namespace {

TEST(OutlierDetector, EndpointThatFailsMoreThanItsPeersIsEjected) {
  Pool pool(4);
  pool.record(0, Outcome::error, 6);
  pool.outliers.update(pool.rates, kStart);
  const OutlierRecord& record = pool.endpoints[0].outlier;
  EXPECT_EQ(record.state, EjectionState::ejected);
  EXPECT_GE(record.ejectedUntil, kStart + milliseconds(750));
  EXPECT_LE(record.ejectedUntil, kStart + milliseconds(1250));
  EXPECT_EQ(pool.endpoints[1].outlier.state, EjectionState::healthy);
  EXPECT_EQ(pool.actions.pending().size(), 1U) << "one log line";
}

TEST(OutlierDetector, ProbationEndsWithTheFirstOutcome) {
  Pool pool(4);
  pool.record(0, Outcome::error, 6);
  pool.outliers.update(pool.rates, kStart);
  const Timestamp later = kStart + seconds(2);
  pool.outliers.update(pool.rates, later);
  OutlierRecord& record = pool.endpoints[0].outlier;
  EXPECT_EQ(record.state, EjectionState::probation);
  pool.record(0, Outcome::overloaded, 1, later);
  EXPECT_EQ(record.state, EjectionState::probation) << "a rejection as overloaded does not decide";
  pool.record(0, Outcome::error, 1, later);
  EXPECT_EQ(record.state, EjectionState::ejected);
  EXPECT_GE(record.ejectedUntil, later + milliseconds(1500)) << "twice as long as the first time";
  pool.outliers.update(pool.rates, later + seconds(3));
  pool.record(0, Outcome::served, 1, later + seconds(3));
  EXPECT_EQ(record.state, EjectionState::healthy);
  EXPECT_EQ(record.failureRate, 0);
}

// The network between this gateway and all endpoints fails: if most of them were ejected, the rest would be
// overloaded.
TEST(OutlierDetector, FailureOfTheWholePoolEjectsNoEndpoint) {
  Pool pool(4);
  for (EndpointId id = 0; id < 4; ++id) pool.record(id, Outcome::timeout, 10);
  pool.outliers.update(pool.rates, kStart);
  for (EndpointId id = 0; id < 4; ++id) EXPECT_EQ(pool.endpoints[id].outlier.state, EjectionState::healthy);
}

TEST(OutlierDetector, AtMostHalfOfThePoolIsEjected) {
  Pool pool(5);
  for (EndpointId id = 0; id < 3; ++id) pool.record(id, Outcome::error, 10);
  pool.outliers.update(pool.rates, kStart);
  int ejected = 0;
  for (EndpointId id = 0; id < 5; ++id) ejected += pool.endpoints[id].outlier.state == EjectionState::ejected;
  EXPECT_EQ(ejected, 2);
}

// An endpoint fails every request of one class and serves all others, so that its overall failure rate looks
// normal.
TEST(OutlierDetector, ClassSuccessWeightFallsForAFailingClassOnly) {
  Pool pool(2);
  EXPECT_EQ(pool.outliers.classSuccessWeight(pool.endpoints[0], 0), 1);
  pool.record(0, Outcome::error, 10);
  EXPECT_LT(pool.outliers.classSuccessWeight(pool.endpoints[0], 0), 0.1);
  EXPECT_GT(pool.outliers.classSuccessWeight(pool.endpoints[0], 0), 0)
      << "lower bound: some requests are still sent";
  EXPECT_EQ(pool.outliers.classSuccessWeight(pool.endpoints[0], 1), 1);
  EXPECT_EQ(pool.outliers.classSuccessWeight(pool.endpoints[1], 0), 1);
}

TEST(OutlierDetector, EndpointOverloadedThreeTimesInARowIsPaused) {
  Pool pool(1);
  pool.record(0, Outcome::overloaded, 2);
  EXPECT_EQ(pool.endpoints[0].outlier.overloadBackoffUntil, Timestamp{});
  EXPECT_FALSE(OutlierDetector::isPersistentlyOverloaded(pool.endpoints[0]));
  pool.record(0, Outcome::overloaded, 1);
  EXPECT_GT(pool.endpoints[0].outlier.overloadBackoffUntil, kStart);
  EXPECT_TRUE(OutlierDetector::isPersistentlyOverloaded(pool.endpoints[0]));
  pool.record(0, Outcome::served, 1);
  EXPECT_FALSE(OutlierDetector::isPersistentlyOverloaded(pool.endpoints[0]));
}

TEST(OutlierDetector, MalformedResponsesCountAsFailuresButNotAsPoolErrors) {
  Pool pool(1);
  pool.record(0, Outcome::error, 4, kStart, FailureReason::malformedResponse);
  EXPECT_EQ(pool.endpoints[0].outlier.errors, 0);
  EXPECT_EQ(pool.endpoints[0].outlier.outcomes, 4);
  EXPECT_GT(pool.endpoints[0].outlier.failureRate, 0.3) << "counts in comparison with its peers";
}

}  // namespace
}  // namespace cairnjunction::policy::testing

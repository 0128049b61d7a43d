// Tests of LoadBalancer::configure() while requests are open, and of Settings::maxInFlight.
#include "driver.hpp"

namespace cairnjunction::policy::testing {
namespace {

TEST(Configure, OpenRequestKeepsItsClassAndNewRequestsGetTheNewOne) {
  Settings settings = makeSettings();
  Driver driver(settings, 3);
  settings = makeSettings();
  const std::uint32_t read = 0;
  ASSERT_EQ(settings.classes[read].idempotency, Idempotency::safe);
  const RequestId oldRequest = driver.request(read);
  const SentAttempt first = driver.lastSent();
  ASSERT_EQ(first.request, oldRequest);
  // A stricter version of the class gets an index of its own; the old one stays for open requests.
  ClassSettings strictClass = settings.classes[read];
  strictClass.idempotency = Idempotency::unsafe;
  const auto index = static_cast<std::uint32_t>(settings.classes.size());
  settings.classes.push_back(strictClass);
  driver.balancer.configure(driver.now, settings);
  driver.collectActions();
  driver.balancer.onResult(
      driver.now, {oldRequest, first.attempt, first.endpoint, Outcome::reset, milliseconds(1), false});
  driver.collectActions();
  EXPECT_EQ(driver.lastSent().request, oldRequest) << "it may be retried by the class that it arrived with";
  EXPECT_EQ(driver.lastSent().attempt, 1u);
  const RequestId newRequest = driver.request(index);
  const SentAttempt attempt = driver.lastSent();
  ASSERT_EQ(attempt.request, newRequest);
  driver.balancer.onResult(
      driver.now, {newRequest, attempt.attempt, attempt.endpoint, Outcome::reset, milliseconds(1), false});
  driver.collectActions();
  EXPECT_EQ(driver.lastSent().attempt, 0u) << "the new class is not safe to repeat";
  EXPECT_TRUE(driver.isFailed(newRequest))
      << "it may have run, so rejecting it would wrongly say that it is safe to repeat";
}

TEST(Configure, LowerMaxAttemptsHoldsForOpenRequests) {
  Settings settings = makeSettings();
  Driver driver(settings, 3);
  const RequestId id = driver.request(0);
  const SentAttempt first = driver.lastSent();
  settings.maxAttempts = 1;
  driver.balancer.configure(driver.now, settings);
  driver.collectActions();
  driver.balancer.onResult(driver.now,
                           {id, first.attempt, first.endpoint, Outcome::overloaded, milliseconds(1), false});
  driver.collectActions();
  EXPECT_EQ(driver.lastSent().attempt, 0u);
  EXPECT_TRUE(driver.isRejected(id));
}

TEST(Configure, InvalidSettingsThrowAndChangeNothing) {
  Settings settings = makeSettings();
  Driver driver(settings, 2);
  Settings invalid = settings;
  invalid.maxAttempts = 0;
  EXPECT_THROW(driver.balancer.configure(driver.now, invalid), std::invalid_argument);
  driver.request(0);
  EXPECT_EQ(driver.lastSent().attempt, 0u);
}

TEST(Configure, OpenRequestOfAnUnknownClassStaysUnknown) {
  Settings settings = makeSettings();
  Driver driver(settings, 3);
  const RequestId id = driver.request(static_cast<std::uint32_t>(settings.classes.size()) + 7);
  const SentAttempt first = driver.lastSent();
  ASSERT_EQ(first.request, id);
  settings.classes.push_back(settings.classes[0]);
  settings.classes.back().name = "more";
  driver.balancer.configure(driver.now, settings);
  driver.collectActions();
  driver.balancer.onResult(driver.now,
                           {id, first.attempt, first.endpoint, Outcome::reset, milliseconds(1), false});
  driver.collectActions();
  EXPECT_NE(driver.lastSent().attempt, 1u)
      << "a new class at its index is safe to repeat, but the request is not";
}

TEST(MaxInFlight, CutoffRisesBeforeTheGatewayReachesItsLimit) {
  // No endpoint answers, so all 18 requests stay in flight. Without maxInFlight there is capacity for them.
  double cutoffs[2];
  for (const std::uint32_t maxInFlight : {0u, 20u}) {
    Settings settings = makeSettings();
    settings.maxInFlight = maxInFlight;
    Driver driver(settings, 10);
    for (int i = 0; i < 18; ++i) driver.request(0);
    driver.advance(milliseconds(150));
    cutoffs[maxInFlight > 0] = driver.balancer.cutoff();
  }
  EXPECT_EQ(cutoffs[0], 0);
  EXPECT_GT(cutoffs[1], 0);
}

}  // namespace
}  // namespace cairnjunction::policy::testing

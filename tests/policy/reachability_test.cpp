// Tests of reports from the embedding program: reachability of endpoints, failure reasons, and connection
// counts. An endpoint that cannot be reached is not overloaded, and gets no attempts.
#include <set>

#include "driver.hpp"

namespace cairnjunction::policy::testing {
namespace {

// Reports the result of an attempt with its failure reason and the use of its connection.
void reportResult(Driver& driver, const SentAttempt& attempt, Outcome outcome, FailureReason reason,
                  ConnectionUse connectionUse = ConnectionUse::none, Duration elapsed = milliseconds(1)) {
  driver.balancer.onResult(driver.now, {attempt.request, attempt.attempt, attempt.endpoint, outcome, elapsed,
                                        false, reason, connectionUse, false});
  std::erase_if(driver.inFlight, [&](const SentAttempt& other) {
    return other.request == attempt.request && other.attempt == attempt.attempt;
  });
  driver.collectActions();
}

void reportUnreachable(Driver& driver, EndpointId endpoint) {
  driver.balancer.onReachability(driver.now, endpoint, Reachability::unreachable);
  driver.collectActions();
}

TEST(Reachability, UnreachableEndpointGetsNoAttemptEvenIfNoneIsLeft) {
  Driver driver(makeSettings(), 4);
  for (int i = 0; i < 3; ++i) reportUnreachable(driver, driver.endpoint(i));
  driver.warmUp(0, 60);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(driver.countSentTo(driver.endpoint(i)), 0u);
  EXPECT_EQ(driver.countSentTo(driver.endpoint(3)), 60u);
  reportUnreachable(driver, driver.endpoint(3));
  const RequestId id = driver.request(1);
  EXPECT_TRUE(driver.isRejected(id)) << "answered at once, and safe to repeat";
  driver.balancer.onReachability(driver.now, driver.endpoint(0), Reachability::reachable);
  driver.collectActions();
  driver.request(0);
  EXPECT_EQ(driver.lastSent().endpoint, driver.endpoint(0));
}

TEST(Reachability, ProbeIsASingleFirstAttemptNeverARetry) {
  Driver driver(makeSettings(), 2);
  reportUnreachable(driver, driver.endpoint(0));
  driver.balancer.onReachability(driver.now, driver.endpoint(0), Reachability::probeOnly);
  std::size_t sent = 0;
  for (int i = 0; i < 40; ++i) {
    driver.request(0);
    if (driver.lastSent().endpoint == driver.endpoint(0)) ++sent;
  }
  EXPECT_EQ(sent, 1u);
  // The retry of a request that failed elsewhere is no probe.
  Driver retrying(makeSettings(), 2);
  reportUnreachable(retrying, retrying.endpoint(0));
  retrying.request(0);
  retrying.balancer.onReachability(retrying.now, retrying.endpoint(0), Reachability::probeOnly);
  reportResult(retrying, SentAttempt(retrying.inFlight.front()), Outcome::connectFailed,
               FailureReason::brokenWhileWriting);
  EXPECT_EQ(retrying.lastSent().endpoint, retrying.endpoint(1));
}

TEST(Reachability, RefusedConnectionsDoNotRaiseTheCutoff) {
  double cutoffs[2];
  for (const bool hasReason : {false, true}) {
    Driver driver(makeSettings(), 6);
    driver.warmUp(0, 60);
    for (int i = 0; i < 60; ++i) {
      driver.request(1);
      driver.advance(milliseconds(20));
      while (!driver.inFlight.empty())
        reportResult(driver, SentAttempt(driver.inFlight.front()), Outcome::connectFailed,
                     hasReason ? FailureReason::connectionRefused : FailureReason::unknown);
    }
    cutoffs[hasReason] = driver.balancer.cutoff();
  }
  EXPECT_GT(cutoffs[0], 1);  // an unknown reason counts as an error
  EXPECT_EQ(cutoffs[1], 0);
}

TEST(Reachability, InFlightLimitCountsReachableEndpointsOnly) {
  // The initial in-flight limit is 6 per endpoint; the cutoff rises from half of it on.
  const auto inFlightAtCutoff = [](int unreachable) {
    Driver driver(makeSettings(), 10);
    for (int i = 0; i < unreachable; ++i) reportUnreachable(driver, driver.endpoint(i));
    for (int i = 0; i < 400 && driver.balancer.cutoff() < 1; ++i) driver.request(0);
    return static_cast<double>(driver.inFlight.size());
  };
  const double all = inFlightAtCutoff(0);
  EXPECT_NEAR(inFlightAtCutoff(5), all / 2, all * 0.15);
  EXPECT_GT(all, 30);
}

TEST(Reachability, RetryAfterARefusedConnectionCostsNoRetryBudget) {
  Settings settings = makeSettings();
  Driver driver(settings, 12);
  driver.warmUp(0, 20);
  // Far more retries than the budget allows, all at one moment.
  int served = 0;
  for (int i = 0; i < 100; ++i) {
    driver.request(1);  // unsafe; after a refused connection it has never run
    reportResult(driver, SentAttempt(driver.inFlight.back()), Outcome::connectFailed,
                 FailureReason::connectionRefused);
    ASSERT_FALSE(driver.inFlight.empty());
    ++served;
    driver.reportServed(SentAttempt(driver.inFlight.back()));
  }
  EXPECT_EQ(served, 100);
}

TEST(Descriptors, WithoutAnyLeftOnlyOpenConnectionsAreUsedAndNoEndpointIsEjected) {
  Driver driver(makeSettings(), 4);
  driver.warmUp(0, 40);
  for (int i = 0; i < 4; ++i) driver.balancer.onConnections(driver.endpoint(i), i == 2 ? 3 : 0);
  driver.request(0);
  // No descriptor was left for a new connection, whichever endpoint was chosen.
  reportResult(driver, SentAttempt(driver.inFlight.back()), Outcome::connectFailed,
               FailureReason::noDescriptor);
  ASSERT_EQ(driver.inFlight.size(), 1u);
  EXPECT_EQ(driver.lastSent().endpoint, driver.endpoint(2));
  for (int i = 0; i < 2; ++i) {
    driver.request(0);
    EXPECT_EQ(driver.lastSent().endpoint, driver.endpoint(2));
  }
  const RequestId fourth = driver.request(0);  // the three open connections are in use
  EXPECT_TRUE(driver.isRejected(fourth)) << "at once";
  EXPECT_EQ(driver.balancer.cutoff(), 0);
  driver.advance(milliseconds(30));
  while (!driver.inFlight.empty()) driver.reportServed(SentAttempt(driver.inFlight.front()));
  std::set<EndpointId> used;
  for (int i = 0; i < 40; ++i) {
    driver.request(0);
    used.insert(driver.lastSent().endpoint);
    driver.advance(milliseconds(50));
    driver.reportServed(SentAttempt(driver.inFlight.back()));
  }
  EXPECT_EQ(used.size(), 4u) << "no endpoint is avoided for a shortage of the gateway itself";
}

TEST(MalformedResponses, FromAllEndpointsRaiseNoCutoffAndEjectNone) {
  Driver driver(makeSettings(), 6);
  driver.warmUp(0, 60);
  for (int i = 0; i < 200; ++i) {
    driver.request(1);
    driver.advance(milliseconds(10));
    while (!driver.inFlight.empty()) {
      const SentAttempt attempt = driver.inFlight.front();
      if (i % 3 == 0)
        reportResult(driver, attempt, Outcome::error, FailureReason::malformedResponse, ConnectionUse::reused,
                     driver.now - attempt.sentAt);
      else driver.reportServed(attempt);
    }
  }
  EXPECT_EQ(driver.balancer.cutoff(), 0);
  driver.clearHistory();
  driver.warmUp(0, 120);
  for (int i = 0; i < 6; ++i) EXPECT_GT(driver.countSentTo(driver.endpoint(i)), 4u) << i;
}

TEST(MalformedResponses, FromHalfOfTheEndpointsEjectThoseForAWhile) {
  Settings settings = makeSettings();
  Driver driver(settings, 8);
  driver.warmUp(0, 100);
  int malformed = 0, requests = 0, malformedLater = 0;
  for (int i = 0; i < 1000; ++i) {
    driver.request(0);
    driver.advance(milliseconds(10));
    ++requests;
    while (!driver.inFlight.empty()) {
      const SentAttempt attempt = driver.inFlight.front();
      if (attempt.endpoint % 2 == 0) {
        ++malformed;
        malformedLater += i >= 500;
        reportResult(driver, attempt, Outcome::error, FailureReason::malformedResponse, ConnectionUse::reused,
                     driver.now - attempt.sentAt);
      } else {
        driver.reportServed(attempt);
      }
    }
  }
  EXPECT_EQ(requests, 1000);
  EXPECT_LT(malformed, 200) << "ejected after a few malformed responses";
  EXPECT_LT(malformedLater, 60) << "then only probes are sent there";
  EXPECT_EQ(driver.balancer.cutoff(), 0);
  driver.advance(seconds(12));
  driver.warmUp(0, 200);
  driver.clearHistory();
  driver.warmUp(0, 200);
  for (int i = 0; i < 8; ++i) EXPECT_GT(driver.countSentTo(driver.endpoint(i)), 5u) << i;
}

TEST(Reachability, ReportedRestartBeginsSlowStartWhateverTheListSays) {
  Settings settings = makeSettings();
  settings.gatewayCount = 4;
  Driver driver(settings, 4);
  for (int i = 0; i < 300; ++i) {
    driver.request(0);
    driver.advance(milliseconds(5));
    while (!driver.inFlight.empty()) driver.reportServed(SentAttempt(driver.inFlight.front()));
  }
  const auto sentInOneSecond = [&] {
    driver.clearHistory();
    for (int i = 0; i < 200; ++i) {
      driver.request(0);
      driver.advance(milliseconds(5));
      while (!driver.inFlight.empty()) driver.reportServed(SentAttempt(driver.inFlight.front()));
    }
    return driver.countSentTo(driver.endpoint(0));
  };
  reportUnreachable(driver, driver.endpoint(0));
  EXPECT_EQ(sentInOneSecond(), 0u);
  driver.balancer.onReachability(driver.now, driver.endpoint(0), Reachability::reachable, driver.now);
  const std::size_t inSlowStart = sentInOneSecond();
  driver.advance(seconds(10));
  sentInOneSecond();
  const std::size_t warm = sentInOneSecond();
  EXPECT_LT(2 * inSlowStart, warm);
}

TEST(Connections, ReportedCountReplacesTheEstimate) {
  Driver driver(makeSettings(), 2);
  const EndpointId endpoint = driver.endpoint(0);
  driver.balancer.onConnections(endpoint, 3);
  EXPECT_EQ(driver.balancer.openConnections(endpoint), 3u);
  for (int i = 0; i < 10; ++i) driver.request(0);
  EXPECT_EQ(driver.balancer.openConnections(endpoint), 3u) << "no estimate once a count was reported";
  while (!driver.inFlight.empty())
    reportResult(driver, SentAttempt(driver.inFlight.front()), Outcome::reset, FailureReason::unknown,
                 ConnectionUse::reused);
  EXPECT_EQ(driver.balancer.openConnections(endpoint), 3u);
  EXPECT_EQ(driver.balancer.openConnections(12345), 0u);
  EXPECT_EQ(driver.balancer.attemptsInFlight(12345), 0u);
}

}  // namespace
}  // namespace cairnjunction::policy::testing

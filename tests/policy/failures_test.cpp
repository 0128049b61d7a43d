// Regression tests of the LoadBalancer: one for each failure that was seen earlier and must not come back.
#include "driver.hpp"

namespace cairnjunction::policy::testing {
namespace {

// Serves the attempts that are due: `latency(endpoint)` is the time until its answer; zero: it never answers.
// Attempts past their time limit time out.
template <class F>
void serveDue(Driver& driver, F latency) {
  for (std::size_t k = 0; k < driver.inFlight.size();) {
    const SentAttempt attempt = driver.inFlight[k];
    const Duration due = latency(attempt.endpoint);
    if (due > Duration{} && driver.now - attempt.sentAt >= due) driver.reportServed(attempt);
    else if (driver.now - attempt.sentAt >= attempt.timeLimit)
      driver.reportResult(attempt, Outcome::timeout, false);
    else ++k;
  }
}

// An endpoint that answers every request with an error at once never has attempts in flight. By the number in
// flight alone it would look idle and be preferred.
TEST(OutlierDetection, EndpointWithImmediateErrorsIsEjectedWithoutACutoff) {
  Driver driver(makeSettings(), 6);
  driver.warmUp(0, 60);
  const EndpointId failing = driver.endpoint(2);
  driver.clearHistory();
  for (int i = 0; i < 600; ++i) {
    driver.request(0);
    driver.advance(milliseconds(10));
    for (std::size_t k = 0; k < driver.inFlight.size();) {
      const SentAttempt attempt = driver.inFlight[k];
      if (attempt.endpoint == failing) driver.reportResult(attempt, Outcome::error, false);
      else if (driver.now - attempt.sentAt >= milliseconds(30)) driver.reportServed(attempt);
      else ++k;
    }
    EXPECT_EQ(driver.balancer.cutoff(), 0);
  }
  EXPECT_LT(driver.countSentTo(failing), 30u) << "with nothing in flight it would be preferred";
  EXPECT_GT(driver.countSentTo(failing), 3u) << "probes must find out when it is healthy again";
}

// An ejected endpoint gets few requests, which must be enough to find out that it is healthy again.
TEST(OutlierDetection, EjectedEndpointReturnsOnceItIsHealthy) {
  Driver driver(makeSettings(), 6);
  driver.warmUp(0, 60);
  const EndpointId failing = driver.endpoint(2);
  bool broken = true;
  const auto sendRequests = [&](int count) {
    for (int i = 0; i < count; ++i) {
      driver.request(0);
      driver.advance(milliseconds(10));
      for (std::size_t k = 0; k < driver.inFlight.size();) {
        const SentAttempt attempt = driver.inFlight[k];
        if (attempt.endpoint == failing && broken)
          driver.reportResult(attempt, Outcome::connectFailed, false);
        else if (driver.now - attempt.sentAt >= milliseconds(30)) driver.reportServed(attempt);
        else ++k;
      }
    }
  };
  sendRequests(300);
  broken = false;
  sendRequests(1200);
  driver.clearHistory();
  sendRequests(300);
  EXPECT_GT(driver.countSentTo(failing) * 12, driver.sentAttempts.size());
}

// An endpoint that stops answering must get no more requests, even before its first attempts time out.
TEST(Responsiveness, UnresponsiveEndpointGetsNoMoreAttempts) {
  Driver driver(makeSettings(), 4);
  driver.warmUp(0, 40);
  const EndpointId unresponsive = driver.endpoint(1);
  std::size_t early = 0;
  driver.clearHistory();
  for (int i = 0; i < 150; ++i) {
    driver.request(1);
    driver.advance(milliseconds(10));
    serveDue(driver, [&](EndpointId endpoint) {
      return endpoint == unresponsive ? Duration{} : Duration(milliseconds(40));
    });
    if (i == 30) early = driver.countSentTo(unresponsive);
  }
  EXPECT_GT(early, 0u);
  EXPECT_LE(driver.countSentTo(unresponsive), early + 6)
      << "of about 30: only probes after its attempts timed out";
}

// The same under load, when the other endpoints have several attempts in flight and it has just one.
TEST(Responsiveness, UnresponsiveEndpointIsAvoidedUnderLoad) {
  Driver driver(makeSettings(), 4);
  driver.warmUp(0, 40);
  while (driver.inFlight.empty() || driver.lastSent().endpoint != driver.endpoint(1)) {
    while (!driver.inFlight.empty()) driver.reportServed(SentAttempt(driver.inFlight.front()));
    driver.request(1);
  }
  driver.advance(milliseconds(320));  // far past the typical latency, but before its time limit
  driver.clearHistory();
  for (int i = 0; i < 12; ++i) driver.request(0);
  EXPECT_GT(driver.sentAttempts.size(), 8u);
  EXPECT_EQ(driver.countSentTo(driver.endpoint(1)), 0u);
}

// When all endpoints fail at the same time, none of them is worse than the others.
TEST(OutlierDetection, ErrorsOfAllEndpointsEjectNoneForGood) {
  Driver driver(makeSettings(), 6);
  driver.warmUp(0, 60);
  for (int i = 0; i < 100; ++i) {
    driver.request(0);
    driver.advance(milliseconds(20));
    while (!driver.inFlight.empty())
      driver.reportResult(SentAttempt(driver.inFlight.front()), Outcome::error, false);
  }
  driver.warmUp(0, 300, milliseconds(20));
  driver.clearHistory();
  driver.warmUp(0, 100, milliseconds(20));
  for (int i = 0; i < 6; ++i) EXPECT_GT(driver.countSentTo(driver.endpoint(i)), 0u) << i;
  EXPECT_EQ(driver.balancer.cutoff(), 0);
}

// A new process must not inherit the failures of the one before.
TEST(OutlierDetection, RestartClearsTheHealthOfAnEndpoint) {
  Driver driver(makeSettings(), 4);
  driver.warmUp(0, 40);
  for (int i = 0; i < 200; ++i) {
    driver.request(0);
    driver.advance(milliseconds(10));
    for (std::size_t k = 0; k < driver.inFlight.size();) {
      const SentAttempt attempt = driver.inFlight[k];
      if (attempt.endpoint == driver.endpoint(0)) driver.reportResult(attempt, Outcome::reset, false);
      else if (driver.now - attempt.sentAt >= milliseconds(30)) driver.reportServed(attempt);
      else ++k;
    }
  }
  EndpointInfo fresh = makeHost(0);
  fresh.startedAt = driver.now;
  driver.balancer.onEndpoints(driver.now, EndpointListKind::update, {fresh});
  while (!driver.inFlight.empty()) driver.reportServed(SentAttempt(driver.inFlight.front()));
  driver.clearHistory();
  for (int i = 0; i < 100; ++i) {  // it is in slow start: less than one request at first
    driver.request(0);
    driver.advance(milliseconds(10));
    while (!driver.inFlight.empty()) driver.reportServed(SentAttempt(driver.inFlight.front()));
  }
  EXPECT_GT(driver.countSentTo(driver.endpoint(0)), 0u);
}

// An endpoint that answers "overloaded" at once never has attempts in flight, so it looked idle and got all
// retries.
TEST(Overloaded, AlwaysOverloadedEndpointIsAvoided) {
  Driver driver(makeSettings(), 4);
  driver.warmUp(0, 40);
  const EndpointId overloaded = driver.endpoint(3);
  driver.clearHistory();
  for (int i = 0; i < 400; ++i) {
    driver.request(0);
    driver.advance(milliseconds(5));
    for (std::size_t k = 0; k < driver.inFlight.size();) {
      const SentAttempt attempt = driver.inFlight[k];
      if (attempt.endpoint == overloaded) driver.reportResult(attempt, Outcome::overloaded, false);
      else if (driver.now - attempt.sentAt >= milliseconds(20)) driver.reportServed(attempt);
      else ++k;
    }
  }
  EXPECT_LT(driver.countSentTo(overloaded), 25u);
}

// A deployment restarted all endpoints but one. Those in slow start were limited, and all requests went to
// the last warm endpoint.
TEST(SlowStart, LastWarmEndpointIsNotOverloadedDuringADeployment) {
  Driver driver(makeSettings(), 6);
  driver.warmUp(0, 60);
  std::vector<EndpointInfo> list = {makeHost(0)};
  for (int i = 1; i < 6; ++i) {
    list.push_back(makeHost(10 + i));
    list.back().startedAt = driver.now;
  }
  driver.balancer.onEndpoints(driver.now, EndpointListKind::replace, list);
  for (int i = 0; i < 200; ++i) driver.request(1);
  std::size_t inFlightAtWarm = 0;
  for (const SentAttempt& attempt : driver.inFlight) inFlightAtWarm += attempt.endpoint == driver.endpoint(0);
  EXPECT_LE(inFlightAtWarm, 60u) << "of 200: the others are rejected";
}

// A deployment that replaces all endpoints leaves no warm one whose rate limits the others. The rate that the
// old ones carried is remembered for a while; without it the endpoints in slow start were limited to one
// request per collapse window.
TEST(SlowStart, EndpointsAreNotStarvedIfAllAreInSlowStart) {
  Driver driver(makeSettings(), 4);
  driver.warmUp(1, 600, milliseconds(5));
  std::vector<EndpointInfo> list;
  for (int i = 10; i < 14; ++i) {
    list.push_back(makeHost(i));
    list.back().startedAt = driver.now;
  }
  driver.balancer.onEndpoints(driver.now, EndpointListKind::replace, list);
  driver.collectActions();
  driver.clearHistory();
  driver.warmUp(1, 400, milliseconds(5));  // two seconds
  EXPECT_GE(driver.sentAttempts.size(), 40u);
  EXPECT_LE(driver.sentAttempts.size(), 200u) << "nor may they be overloaded";
}

// Many endpoints pause for a short time now and then. Such a pause must not keep an endpoint without requests
// for long after it.
TEST(Responsiveness, EndpointRecoversAfterAShortPause) {
  Driver driver(makeSettings(), 3);
  driver.warmUp(0, 60);
  Timestamp pausedUntil = driver.now + milliseconds(900);
  const EndpointId paused = driver.endpoint(0);
  std::size_t before = 0;
  for (int i = 0; i < 400; ++i) {
    if (i == 200) before = driver.countSentTo(paused);
    driver.request(1);
    driver.advance(milliseconds(10));
    serveDue(driver, [&](EndpointId endpoint) {
      return endpoint == paused && driver.now < pausedUntil ? Duration{} : Duration(milliseconds(30));
    });
  }
  EXPECT_GT(driver.countSentTo(paused) - before, 30u);
}

// An endpoint that alternates between one healthy second and one second of resets must cost few requests, and
// must never raise the cutoff.
TEST(OutlierDetection, FlappingEndpointCausesFewFailuresAndNoCutoff) {
  Driver driver(makeSettings(), 5);
  driver.warmUp(0, 60);
  const EndpointId flapping = driver.endpoint(4);
  std::size_t failures = 0;
  for (int i = 0; i < 2000; ++i) {
    driver.request(1);
    driver.advance(milliseconds(10));
    for (std::size_t k = 0; k < driver.inFlight.size();) {
      const SentAttempt attempt = driver.inFlight[k];
      if (attempt.endpoint == flapping && (i / 100) % 2 == 1) {
        ++failures;
        driver.reportResult(attempt, Outcome::reset, false);
      } else if (driver.now - attempt.sentAt >= milliseconds(30)) {
        driver.reportServed(attempt);
      } else {
        ++k;
      }
    }
    EXPECT_LT(driver.balancer.cutoff(), 1);
  }
  EXPECT_LT(failures, 120u) << "one in five requests would go there half of the time: 200";
}

// All endpoints of a zone fail to connect: the others must serve all requests, and the zone must be used
// again once it can be reached.
TEST(Zones, UnreachableZoneIsAvoidedAndUsedAgainLater) {
  Driver driver(makeSettings(), 0);
  std::vector<EndpointInfo> list;
  for (int i = 0; i < 8; ++i) list.push_back(makeHost(i, i < 4 ? "east" : "west"));
  driver.balancer.onEndpoints(driver.now, EndpointListKind::replace, list);
  bool zoneIsUnreachable = true;
  const auto isFar = [&](EndpointId endpoint) { return driver.balancer.address(endpoint) >= "host-104"; };
  const auto countSentToFar = [&](int requests) {
    std::size_t sentToFar = 0;
    for (int i = 0; i < requests; ++i) {
      driver.request(1);
      driver.advance(milliseconds(10));
      for (std::size_t k = 0; k < driver.inFlight.size();) {
        const SentAttempt attempt = driver.inFlight[k];
        if (zoneIsUnreachable && isFar(attempt.endpoint)) {
          if (driver.now - attempt.sentAt >= milliseconds(200))
            driver.reportResult(attempt, Outcome::connectFailed, false);
          else ++k;
        } else if (driver.now - attempt.sentAt >= milliseconds(30)) {
          driver.reportServed(attempt);
        } else {
          ++k;
        }
      }
    }
    for (const SentAttempt& attempt : driver.sentAttempts) sentToFar += isFar(attempt.endpoint);
    return sentToFar;
  };
  countSentToFar(500);
  driver.clearHistory();
  EXPECT_LT(countSentToFar(500), 60u);
  zoneIsUnreachable = false;
  countSentToFar(1500);
  driver.clearHistory();
  EXPECT_GT(countSentToFar(500), 100u);
}

// Clients that were rejected at the same moment retry at the same moment. The cutoff must reject part of such
// a burst, and must be back at zero soon after it.
TEST(Cutoff, RejectsABurstAndFallsBackAfterIt) {
  Driver driver(makeSettings(), 6);
  driver.warmUp(0, 60);
  int rejectedInBursts = 0;
  for (int burst = 0; burst < 5; ++burst) {
    for (int i = 0; i < 150; ++i) rejectedInBursts += driver.isRejected(driver.request(i % 10 == 0 ? 0 : 1));
    for (int i = 0; i < 20; ++i) {
      driver.advance(milliseconds(10));
      serveDue(driver, [](EndpointId) { return Duration(milliseconds(30)); });
    }
  }
  EXPECT_GT(rejectedInBursts, 0);
  int rejectedAfter = 0;
  for (int i = 0; i < 100; ++i) {
    rejectedAfter += driver.isRejected(driver.request(1));
    driver.advance(milliseconds(10));
    serveDue(driver, [](EndpointId) { return Duration(milliseconds(30)); });
  }
  EXPECT_EQ(rejectedAfter, 0);
}

// A restored endpoint list may be stale. Attempts to its dead addresses fail to connect, so they never ran:
// they may cost a retry, but not the answer.
TEST(Discovery, StaleListCausesRetriesButFewRejections) {
  Driver driver(makeSettings(), 9);
  int rejectedOrFailed = 0;
  for (int i = 0; i < 300; ++i) {
    const RequestId id = driver.request(1);
    driver.advance(milliseconds(10));
    for (std::size_t k = 0; k < driver.inFlight.size();) {
      const SentAttempt attempt = driver.inFlight[k];
      if (attempt.endpoint <= driver.endpoint(4)) driver.reportResult(attempt, Outcome::connectFailed, false);
      else if (driver.now - attempt.sentAt >= milliseconds(20)) driver.reportServed(attempt);
      else ++k;
    }
    rejectedOrFailed += driver.isRejected(id) || driver.isFailed(id);
  }
  EXPECT_LT(rejectedOrFailed, 10)
      << "five of nine endpoints are dead; compared with the median endpoint, none would be ejected";
}

// The in-flight limit must not reject requests when most endpoints are removed while traffic falls in
// proportion.
TEST(Cutoff, NothingIsRejectedWhileEndpointsAndTrafficDecreaseTogether) {
  Driver driver(makeSettings(), 8);
  int rejected = 0;
  for (int phase = 0; phase < 3; ++phase) {
    std::vector<EndpointInfo> list;
    for (int i = 0; i < (8 >> phase); ++i) list.push_back(makeHost(i));
    driver.balancer.onEndpoints(driver.now, EndpointListKind::replace, list);
    for (int i = 0; i < 300; ++i) {
      rejected += driver.isRejected(driver.request(1));
      driver.advance(milliseconds(5 << phase));
      serveDue(driver, [](EndpointId) { return Duration(milliseconds(30)); });
    }
  }
  EXPECT_EQ(rejected, 0);
}

// An endpoint that was slow for a while gets few requests. Its relative latency must return to normal even
// with few new measurements, or it would never get more.
TEST(RelativeLatency, OldMeasurementFades) {
  Driver driver(makeSettings(), 4);
  const EndpointId slow = driver.endpoint(0);
  for (int i = 0; i < 600; ++i) {
    driver.request(1);
    driver.advance(milliseconds(10));
    serveDue(driver,
             [&](EndpointId endpoint) { return Duration(milliseconds(endpoint == slow ? 350 : 20)); });
  }
  driver.advance(seconds(1));
  serveDue(driver, [&](EndpointId) { return Duration(milliseconds(20)); });
  driver.advance(seconds(20));  // the measurement fades more slowly where requests are few
  driver.clearHistory();
  for (int i = 0; i < 100; ++i) {
    driver.request(1);
    driver.advance(milliseconds(20));
    serveDue(driver, [&](EndpointId) { return Duration(milliseconds(20)); });
  }
  EXPECT_GT(driver.countSentTo(slow), 12u);
}

// A gateway that starts during an overload has measured nothing yet: it must neither reject nor admit all
// requests.
TEST(InFlightLimit, NewGatewayNeitherRejectsNorAdmitsEverything) {
  Driver driver(makeSettings(), 8);
  int rejected = 0;
  for (int i = 0; i < 20; ++i) rejected += driver.isRejected(driver.request(1));
  EXPECT_EQ(rejected, 0);
  for (int i = 0; i < 300; ++i) rejected += driver.isRejected(driver.request(1));
  EXPECT_GT(rejected, 100);
}

// The in-flight limit follows the rate of answers. After a time without any it must not stay near zero.
TEST(Cutoff, RecoversAfterNothingWasAnswered) {
  Driver driver(makeSettings(), 6);
  driver.warmUp(0, 100, milliseconds(20));
  for (int i = 0; i < 200; ++i) {  // nothing is answered at all
    driver.request(1);
    driver.advance(milliseconds(20));
    serveDue(driver, [](EndpointId) { return Duration{}; });
  }
  driver.advance(seconds(2));
  serveDue(driver, [](EndpointId) { return Duration{}; });
  int rejected = 0;
  for (int i = 0; i < 400; ++i) {
    const RequestId id = driver.request(1);
    if (i >= 300) rejected += driver.isRejected(id);
    driver.advance(milliseconds(10));
    serveDue(driver, [](EndpointId) { return Duration(milliseconds(30)); });
  }
  EXPECT_EQ(rejected, 0);
}

// Endpoints with about twice as many requests in flight as cores slow down, and stay slow while the demand
// lasts. So the mean latency must stay well below the latency objective (400 ms here), not close to it.
TEST(Cutoff, RejectsBeforeTheMeanLatencyReachesTheObjective) {
  for (int latencyMs : {50, 250}) {
    Driver driver(makeSettings(), 8);
    int rejected = 0;
    for (int i = 0; i < 1500; ++i) {
      const RequestId id = driver.request(1);
      if (i >= 500) rejected += driver.isRejected(id);
      driver.advance(milliseconds(5));
      serveDue(driver, [&](EndpointId) { return Duration(milliseconds(latencyMs)); });
    }
    if (latencyMs == 50) EXPECT_EQ(rejected, 0);
    else EXPECT_GT(rejected, 200);
  }
}

// When all endpoints slow down together, latency rises without any queue. An in-flight limit that followed
// the falling rate of answers would leave the endpoints idle for as long as that lasts.
TEST(InFlightLimit, SlowdownOfAllEndpointsDoesNotIdleThem) {
  Driver driver(makeSettings(), 8);
  driver.warmUp(1, 100, milliseconds(20));
  double meanInFlight = 0;
  for (int i = 0; i < 4000; ++i) {
    driver.request(1);
    driver.advance(milliseconds(5));
    serveDue(driver, [](EndpointId) { return Duration(milliseconds(300)); });
    if (i >= 3500) meanInFlight += static_cast<double>(driver.inFlight.size()) / 500;
  }
  EXPECT_GT(meanInFlight, 15) << "nearly two at each of eight endpoints";
}

// The same with endpoints of many cores: as many requests as were in flight while nothing was rejected stay
// allowed.
TEST(InFlightLimit, SlowdownOfAllEndpointsKeepsTheBaselineInFlight) {
  Driver driver(makeSettings(), 8);
  double meanInFlight = 0;
  for (int i = 0; i < 35000; ++i) {  // 1000 requests a second: 60 in flight, then six times the latency
    driver.request(1);
    driver.advance(milliseconds(1), milliseconds(1));
    serveDue(driver, [&](EndpointId) { return Duration(milliseconds(i < 5000 ? 60 : 360)); });
    if (i >= 30000) meanInFlight += static_cast<double>(driver.inFlight.size()) / 5000;
  }
  EXPECT_GT(meanInFlight, 40) << "the minimum of four per endpoint would be 32";
}

// Before anything is measured, the initial in-flight limit can be too high for endpoints with short queues.
// Their "overloaded" answers must lower it within the first second.
TEST(InFlightLimit, OverloadedOutcomesLowerTheInitialLimit) {
  Driver driver(makeSettings(), 8);
  int rejected = 0, sends = 0;
  for (int i = 0; i < 450; ++i) {
    rejected += driver.isRejected(driver.request(1));
    while (++sends % 9 == 0) driver.reportResult(driver.lastSent(), Outcome::overloaded, false);
    driver.advance(milliseconds(2), milliseconds(2));
    serveDue(driver, [](EndpointId) { return Duration(milliseconds(50)); });
  }
  EXPECT_GT(rejected, 20)
      << "25 in flight with an initial limit of about 50, but every ninth attempt ends as overloaded";
}

// A gateway whose cutoff admits only costly requests of high priority weight gets few answers a second. If
// the in-flight limit counted answers without their cost, it would fall to its minimum and stay there, while
// other gateways use the capacity.
TEST(InFlightLimit, RecoversAtAGatewayWithFewCostlyRequests) {
  Settings settings = makeSettings();
  settings.gatewayCount = 4;
  Driver driver(settings, 8);
  std::map<RequestId, bool> costly;
  int rejected = 0;
  for (int i = 0; i < 20000; ++i) {  // 100 costly and 400 cheap requests a second
    const bool isCostly = i % 5 == 0;
    const RequestId id = driver.request(isCostly ? 0 : 1);
    costly[id] = isCostly;
    driver.advance(milliseconds(2), milliseconds(2));
    const int slowdown = i > 1000 && i < 16000 ? 4 : 1;  // for 30 seconds
    for (std::size_t k = 0; k < driver.inFlight.size();) {
      const SentAttempt attempt = driver.inFlight[k];
      if (driver.now - attempt.sentAt >= slowdown * milliseconds(costly[attempt.request] ? 190 : 95))
        driver.reportServed(attempt);
      else if (driver.now - attempt.sentAt >= attempt.timeLimit)
        driver.reportResult(attempt, Outcome::timeout, false);
      else ++k;
    }
    if (i >= 19000 && isCostly) rejected += driver.isRejected(id);
  }
  EXPECT_LE(rejected, 50) << "of 200 costly ones, six seconds later";
}

// Endpoints that were overloaded stay slow for long. Their "overloaded" answers are the first sign, long
// before there are enough of them for an error overload, and must lower the in-flight limit.
TEST(InFlightLimit, OverloadedOutcomesOfManyEndpointsLowerIt) {
  int rejected[2] = {0, 0};
  for (int withOverloaded : {0, 1}) {
    Driver driver(makeSettings(), 8);
    int sends = 0;
    for (int i = 0; i < 3000; ++i) {
      const RequestId id = driver.request(1);
      if (i >= 1000) rejected[withOverloaded] += driver.isRejected(id);
      while (withOverloaded == 1 && ++sends % 15 == 0)
        driver.reportResult(driver.lastSent(), Outcome::overloaded, false);
      driver.advance(milliseconds(5));
      serveDue(driver, [&](EndpointId) { return Duration(milliseconds(105)); });
    }
  }
  EXPECT_LT(rejected[0], 100);
  EXPECT_GT(rejected[1], 3 * rejected[0] + 100) << "7 % overloaded is far from an error overload";
}

// With little traffic, a quarter of the results is a handful of errors, too few to show an overload.
TEST(Cutoff, FewErrorsWithLittleTrafficRejectNothing) {
  Driver driver(makeSettings(), 3);
  for (int i = 0; i < 20; ++i) {
    const RequestId id = driver.request(1);
    EXPECT_FALSE(driver.isRejected(id));
    driver.advance(milliseconds(300));
    while (!driver.inFlight.empty())
      driver.reportResult(SentAttempt(driver.inFlight.front()), i % 4 == 0 ? Outcome::error : Outcome::served,
                          i % 4 != 0);
    driver.advance(milliseconds(400));
  }
}

// Without its only endpoint a gateway could serve nothing.
TEST(OutlierDetection, TheOnlyEndpointIsNeverEjected) {
  Driver driver(makeSettings(), 1);
  for (int i = 0; i < 50; ++i) {
    driver.request(1);
    driver.advance(milliseconds(50));
    while (!driver.inFlight.empty())
      driver.reportResult(SentAttempt(driver.inFlight.front()), Outcome::error, false);
  }
  driver.advance(seconds(3));
  driver.clearHistory();
  driver.request(0);
  EXPECT_EQ(driver.sentAttempts.size(), 1u);
}

// With many gateways, each has few attempts in flight, and every endpoint looks idle to it. All preferred
// their own zone and overloaded it while the other zone had free capacity.
TEST(Zones, SlowOwnZoneGetsFewerRequests) {
  Driver driver(makeSettings(), 0);
  driver.balancer.onEndpoints(driver.now, EndpointListKind::replace,
                              {makeHost(0), makeHost(1), makeHost(2, "west"), makeHost(3, "west")});
  const auto latency = [&](EndpointId endpoint) {
    return endpoint == driver.endpoint(0) || endpoint == driver.endpoint(1) ? milliseconds(120)
                                                                            : milliseconds(40);
  };
  for (int i = 0; i < 400; ++i) {
    if (i == 200) driver.clearHistory();
    driver.request(0);
    driver.advance(milliseconds(40));
    serveDue(driver, [&](EndpointId endpoint) { return Duration(latency(endpoint)); });
  }
  EXPECT_GT(driver.countSentTo(driver.endpoint(2)) + driver.countSentTo(driver.endpoint(3)), 130u);
}

// A client's retry arrives with less time left. The time that it spent before counts against the latency
// objective.
TEST(PriorityScore, RequestPastItsLatencyObjectiveIsRejectedFirst) {
  Driver driver(makeSettings(), 6);
  driver.warmUp(0, 30);
  const RequestId id = driver.request(0, milliseconds(500));  // 500 of 1000 ms spent, the objective is 400 ms
  EXPECT_TRUE(driver.isRejected(id));
}

// A client gives its last retry all the time that it has left, often more than it gave the first request. The
// load balancer takes the usual time left of a class for that of first requests; when it took the longest,
// every first request looked like a late retry and got a shorter time limit.
TEST(TimeLimit, LongerClientRetriesDoNotShortenFirstRequests) {
  Driver driver(makeSettings(), 6);
  for (int i = 0; i < 60; ++i) {
    driver.request(0, i % 4 == 3 ? milliseconds(950) : milliseconds(600));
    const SentAttempt attempt = driver.lastSent();
    if (i > 20) EXPECT_GE(attempt.timeLimit, i % 4 == 3 ? milliseconds(320) : milliseconds(380)) << i;
    if (i > 20 && i % 4 == 3) EXPECT_LE(attempt.timeLimit, milliseconds(350)) << "50 ms were spent before";
    driver.advance(milliseconds(30));
    driver.reportServed(attempt);
  }
}

// Sends single requests, every other one after a pause of `idle`. A request after a pause is reset, as if the
// endpoint had closed the idle connection, unless the load balancer closed it first. Returns how often it
// did.
std::size_t countIdleCloses(Duration idle) {
  Settings settings = makeSettings();
  settings.maxAttempts = 1;
  settings.idleTimeout = seconds(60);
  settings.streamsPerConnection = 100;
  Driver driver(settings, 1);
  driver.warmUp(0, 10);
  driver.clearHistory();
  for (int i = 0; i < 24; ++i) {
    const bool pause = i % 2 == 0;
    const std::size_t closesBefore = driver.countActions(ActionKind::closeIdle);
    if (pause) driver.advance(idle);
    driver.request(0);
    if (driver.inFlight.empty()) continue;
    const bool usesIdleConnection = pause && driver.countActions(ActionKind::closeIdle) == closesBefore;
    driver.reportResult(SentAttempt(driver.inFlight.front()),
                        usesIdleConnection ? Outcome::reset : Outcome::served, !usesIdleConnection);
  }
  return driver.countActions(ActionKind::closeIdle);
}

// Endpoints close idle connections after a time that the gateway doesn't know, and requests sent at that
// moment are lost. The load balancer must learn that time from the lost requests and close idle connections
// earlier.
TEST(IdleLimit, ConnectionsAreClosedBeforeTheAgeAtWhichRequestsWereLost) {
  EXPECT_GT(countIdleCloses(milliseconds(1100)), 1u);
}

// An endpoint refused new connections while the open ones still worked. It was avoided, so the open ones
// became idle and were closed too.
TEST(ConnectBackoff, OpenConnectionsStayInUseWhileNewOnesFail) {
  Settings settings = makeSettings();
  settings.maxAttempts = 1;
  Driver driver(settings, 2);
  driver.warmUp(0, 20);
  for (int i = 0; i < 3; ++i) driver.request(0);
  const SentAttempt first = driver.inFlight[0], second = driver.inFlight[1], third = driver.inFlight[2];
  driver.reportResult(third, Outcome::connectFailed, false);
  driver.reportServed(first);
  driver.reportServed(second);
  driver.clearHistory();
  driver.warmUp(0, 12, milliseconds(20));
  EXPECT_GT(driver.countSentTo(third.endpoint), 2u);
}

// Each attempt to an endpoint that accepts no connection is lost, so there must be few of them.
TEST(ConnectBackoff, EndpointsThatAcceptNoConnectionGetFewAttempts) {
  Settings settings = makeSettings();
  settings.maxAttempts = 1;
  Driver driver(settings, 4);
  std::size_t failedConnects = 0;
  for (int i = 0; i < 1500; ++i) {
    driver.request(0);
    driver.advance(milliseconds(20), milliseconds(20));
    while (!driver.inFlight.empty()) {
      const SentAttempt attempt = driver.inFlight.front();
      const bool accepts = attempt.endpoint == driver.endpoint(0);
      failedConnects += !accepts;
      driver.reportResult(attempt, accepts ? Outcome::served : Outcome::connectFailed, accepts);
    }
  }
  EXPECT_LT(failedConnects, 25u) << "to three endpoints in half a minute";
}

// An endpoint that fails the requests of one class and serves the others must lose only that class.
TEST(ClassSuccessWeight, EndpointThatFailsOneClassStillGetsTheOthers) {
  Settings settings = makeSettings();
  settings.maxAttempts = 1;
  Driver driver(settings, 6);
  driver.warmUp(0, 60);
  const EndpointId failing = driver.endpoint(0);
  std::size_t toFailing[2] = {0, 0};
  for (int i = 0; i < 1200; ++i) {
    const std::uint32_t classIndex = i % 4 == 0 ? 1 : 0;
    driver.request(classIndex);
    driver.advance(milliseconds(20), milliseconds(20));
    while (!driver.inFlight.empty()) {
      const SentAttempt attempt = driver.inFlight.front();
      if (i >= 600 && attempt.endpoint == failing) ++toFailing[classIndex];
      const bool fails = classIndex == 1 && attempt.endpoint == failing;
      driver.reportResult(attempt, fails ? Outcome::error : Outcome::served, !fails);
    }
  }
  EXPECT_LT(toFailing[1], 10u);  // of 150; an even share would be 25
  EXPECT_GT(toFailing[0], 40u);  // of 450; an even share would be 75
}

// An endpoint that was overloaded for one class only, and served the others, still got requests of that
// class.
TEST(ClassSuccessWeight, EndpointOverloadedForOneClassStillGetsTheOthers) {
  Settings settings = makeSettings();
  settings.maxAttempts = 1;
  Driver driver(settings, 6);
  driver.warmUp(0, 60);
  const EndpointId failing = driver.endpoint(0);
  std::size_t toFailing[2] = {0, 0};
  for (int i = 0; i < 1200; ++i) {
    const std::uint32_t classIndex = i % 4 == 0 ? 1 : 0;
    driver.request(classIndex);
    driver.advance(milliseconds(20), milliseconds(20));
    while (!driver.inFlight.empty()) {
      const SentAttempt attempt = driver.inFlight.front();
      if (i >= 600 && attempt.endpoint == failing) ++toFailing[classIndex];
      const bool overloaded = classIndex == 1 && attempt.endpoint == failing;
      driver.reportResult(attempt, overloaded ? Outcome::overloaded : Outcome::served, !overloaded);
    }
  }
  EXPECT_LT(toFailing[1], 10u);  // of 150; an even share would be 25
  EXPECT_GT(toFailing[0], 40u);  // of 450; an even share would be 75
}

// Requests with less time left than answers take were sent all the same during an overload, and timed out.
//
// Answers take 300 ms, the latency objective is 400 ms. In each round of 100 ms, `crowd` requests of low
// priority weight arrive, three of high weight, and a late one that has 750 of 1000 ms left. After a quarter
// of the rounds answers take `latency`. Returns how many late ones were rejected in the second half.
int countLateRejected(int crowd, int rounds, Duration latency = milliseconds(300)) {
  Driver driver(makeSettings(), 6);
  driver.warmUp(0, 40, milliseconds(100));
  int rejected = 0;
  for (int i = 0; i < rounds; ++i) {
    for (int k = 0; k < crowd; ++k) driver.request(1);
    for (int k = 0; k < 3; ++k) driver.request(0);  // so that first requests have the usual time left
    const RequestId late = driver.request(0, milliseconds(750));
    if (i >= rounds / 2) rejected += driver.isRejected(late);
    driver.advance(milliseconds(100));
    serveDue(driver, [&](EndpointId) { return i < rounds / 4 ? Duration(milliseconds(300)) : latency; });
  }
  return rejected;
}

TEST(TooLittleTime, RequestIsRejectedUnsentDuringOverload) {
  EXPECT_GT(countLateRejected(14, 800), 340) << "of 400";
}

TEST(TooLittleTime, RequestIsSentWithoutOverload) { EXPECT_EQ(countLateRejected(1, 800), 0); }

TEST(TooLittleTime, TypicalLatencyFromAnOverloadFades) {
  EXPECT_LT(countLateRejected(60, 4000, milliseconds(100)), 400) << "of 2000: answers are fast again";
}

}  // namespace
}  // namespace cairnjunction::policy::testing

// Tests of many gateways, each with little traffic of its own. The gateways share no state, so limits that
// are harmless at one of them must hold for the sum over all; some tests look at a single such gateway.
#include <algorithm>
#include <memory>
#include <random>
#include <set>

#include "driver.hpp"

namespace cairnjunction::policy::testing {
namespace {

// Gateways with the same endpoint list and the same average traffic.
class GatewayGroup {
 public:
  GatewayGroup(Settings settings, int gateways, int endpoints) {
    settings.gatewayCount = static_cast<std::uint32_t>(gateways);
    for (int i = 0; i < gateways; ++i) {
      settings.gatewayIndex = static_cast<std::uint32_t>(i);
      settings.seed = static_cast<std::uint64_t>(i) + 1;
      drivers.push_back(std::make_unique<Driver>(settings, 0));
    }
    reportEndpoints(EndpointListKind::replace, 0, endpoints);
  }
  // Gives every gateway a list of the endpoints `from` to `to` - 1.
  void reportEndpoints(EndpointListKind kind, int from, int to, Timestamp startedAt = {}) {
    std::vector<EndpointInfo> list;
    for (int i = from; i < to; ++i) {
      list.push_back(makeHost(i));
      list.back().startedAt = startedAt;
    }
    for (auto& driver : drivers) {
      driver->balancer.onEndpoints(driver->now, kind, list);
      driver->collectActions();
    }
  }
  // Each gateway gets `perSecond` requests a second on average; endpoints answer after `latency`.
  void runTraffic(double durationSeconds, double perSecond, Duration latency = milliseconds(40)) {
    const double chance = perSecond * 0.02;
    for (int i = 0; i < static_cast<int>(durationSeconds / 0.02); ++i)
      for (auto& driver : drivers) {
        if (std::uniform_real_distribution<>()(engine) < chance) driver->request(0);
        driver->advance(milliseconds(20), milliseconds(20));
        while (!driver->inFlight.empty() && driver->now - driver->inFlight.front().sentAt >= latency)
          driver->reportServed(SentAttempt(driver->inFlight.front()));
      }
  }
  void clearHistory() {
    for (auto& driver : drivers) driver->clearHistory();
  }
  std::size_t countSentTo(int endpoint) const {
    std::size_t count = 0;
    for (const auto& driver : drivers) count += driver->countSentTo(driver->endpoint(endpoint));
    return count;
  }
  std::size_t countGatewaysUsing(int endpoint) const {
    std::size_t count = 0;
    for (const auto& driver : drivers) count += driver->countSentTo(driver->endpoint(endpoint)) > 0;
    return count;
  }
  Timestamp now() const { return drivers.front()->now; }

  std::vector<std::unique_ptr<Driver>> drivers;
  std::mt19937 engine{11};
};

// Guards against an overload of endpoints in slow start: if each of hundreds of gateways may send at least
// one request per collapse window, or starts with one slow start token, their sum exceeds what the endpoint
// can do.
TEST(GatewayGroup, SlowStartLimitsTheSumOverAllGateways) {
  for (bool keyAffinity : {false, true}) {  // with key affinity, every gateway uses every endpoint
    Settings settings = makeSettings();
    settings.keyAffinity = keyAffinity;
    GatewayGroup group(settings, 200, 30);
    group.runTraffic(10, 6);
    group.clearHistory();
    group.runTraffic(2, 6);
    double warm = 0;  // mean number of attempts to a warm endpoint in a collapse window of two seconds
    for (int i = 0; i < 30; ++i) warm += static_cast<double>(group.countSentTo(i)) / 30;
    group.reportEndpoints(EndpointListKind::update, 30, 31, group.now());
    std::size_t sentInSlowStart = 0;
    for (int window = 0; window < 3; ++window) {
      group.clearHistory();
      group.runTraffic(2, 6);
      const double fraction = 0.2 + 0.8 * (2 * window) / 10;  // slow start fraction when the window begins
      EXPECT_LT(static_cast<double>(group.countSentTo(30)), 3 * fraction * warm) << "window " << window;
      sentInSlowStart += group.countSentTo(30);
    }
    EXPECT_GT(static_cast<double>(sentInSlowStart), 0.3 * warm) << "it must not be starved";
  }
}

// The same after a restart of all gateways: they know no rate of any endpoint yet, and their first list may
// contain endpoints in slow start.
TEST(GatewayGroup, SlowStartLimitsTheSumOverRestartedGateways) {
  Settings settings = makeSettings();
  settings.keyAffinity = true;
  GatewayGroup group(settings, 200, 30);
  group.reportEndpoints(EndpointListKind::update, 30, 31, group.now());
  group.runTraffic(2, 6);
  double warm = 0;
  for (int i = 0; i < 30; ++i) warm += static_cast<double>(group.countSentTo(i)) / 30;
  EXPECT_LT(static_cast<double>(group.countSentTo(30)), 3 * 0.2 * warm);
}

// Guards against too many connections: endpoints accept a limited number of them, which is exceeded if every
// gateway of a large group connects to every endpoint.
TEST(GatewayGroup, EachEndpointIsUsedByASubsetOfSimilarSize) {
  GatewayGroup group(makeSettings(), 320, 50);
  group.runTraffic(5, 6);
  std::size_t minGateways = 320, maxGateways = 0;
  for (int i = 0; i < 50; ++i) {
    minGateways = std::min(minGateways, group.countGatewaysUsing(i));
    maxGateways = std::max(maxGateways, group.countGatewaysUsing(i));
  }
  EXPECT_LE(maxGateways, 64u) << "of 320: a fifth";
  EXPECT_GE(minGateways, 20u);
}

TEST(GatewayGroup, NewEndpointsJoinTheSubsetsAndIdleConnectionsAreClosed) {
  GatewayGroup group(makeSettings(), 320, 50);
  group.runTraffic(3, 6);
  group.reportEndpoints(EndpointListKind::update, 50, 100);
  group.runTraffic(3, 6);
  group.clearHistory();
  group.runTraffic(6, 6);
  std::size_t sentToNew = 0, sentToAll = 0, closed = 0;
  for (int i = 0; i < 100; ++i) {
    sentToAll += group.countSentTo(i);
    if (i >= 50) sentToNew += group.countSentTo(i);
  }
  for (const auto& driver : group.drivers) closed += driver->countActions(ActionKind::closeIdle);
  EXPECT_GT(sentToNew, sentToAll / 3);
  EXPECT_GT(closed, 320u) << "each gateway replaces some endpoints of its subset";
}

// Guards against bursts on discovery: gateways whose polls fail at the same moment must not all poll again at
// the same moment. Each must still poll again within maxPollInterval.
TEST(GatewayGroup, PollRetriesAreSpreadOverTime) {
  Settings settings = makeSettings();
  settings.pollDiscovery = true;
  settings.maxPollInterval = seconds(10);
  GatewayGroup group(settings, 200, 10);
  for (int round = 0; round < 4; ++round) {
    group.clearHistory();
    for (auto& driver : group.drivers) {
      driver->balancer.onEndpoints(driver->now, EndpointListKind::unavailable, {});
      driver->collectActions();
    }
    std::vector<std::size_t> pollsPerWindow;
    std::size_t polledBefore = 0;
    for (int window = 0; window < 100; ++window) {  // of 100 ms
      std::size_t polled = 0;
      for (auto& driver : group.drivers) {
        driver->advance(milliseconds(100), milliseconds(20));
        polled += std::min<std::size_t>(driver->countActions(ActionKind::pollEndpoints), 1);
      }
      pollsPerWindow.push_back(polled - polledBefore);
      polledBefore = polled;
    }
    EXPECT_EQ(polledBefore, 200u) << "all poll again within maxPollInterval";
    EXPECT_LE(*std::max_element(pollsPerWindow.begin(), pollsPerWindow.end()), 50u) << "round " << round;
  }
}

// The number of requests in flight at a gateway with little traffic varies by chance. Its cutoff must not
// reject requests for that, and must still reject when the endpoints are slow.
TEST(GatewayGroup, LowTrafficGatewaysRejectOnlyIfEndpointsAreSlow) {
  GatewayGroup group(makeSettings(), 100, 20);
  group.runTraffic(10, 6, milliseconds(110));
  group.clearHistory();
  group.runTraffic(10, 6, milliseconds(110));
  std::size_t rejected = 0, total = 0;
  for (auto& driver : group.drivers) {
    rejected += driver->countActions(ActionKind::reject);
    total += driver->countActions(ActionKind::reject) + driver->sentAttempts.size();
  }
  EXPECT_LT(rejected * 50, total) << "endpoints answer in about a quarter of the latency objective";

  Settings settings = makeSettings();
  settings.gatewayCount = 100;
  Driver slowGateway(settings, 20);
  std::size_t rejectedBefore = 0;
  for (int i = 0; i < 600; ++i) {
    slowGateway.request(1);
    slowGateway.advance(milliseconds(150));
    for (std::size_t k = 0; k < slowGateway.inFlight.size();) {
      const SentAttempt attempt = slowGateway.inFlight[k];
      if (i < 300) slowGateway.reportResult(attempt, Outcome::served, true, milliseconds(40));
      else if (slowGateway.now - attempt.sentAt >= milliseconds(380))
        slowGateway.reportResult(attempt, Outcome::timeout, false);
      else ++k;
    }
    if (i == 300) rejectedBefore = slowGateway.countActions(ActionKind::reject);
  }
  EXPECT_LT(rejectedBefore, 6u);
  EXPECT_GT(slowGateway.countActions(ActionKind::reject) - rejectedBefore, 100u)
      << "of 300, since no answer comes in time any more";
}

// Guards against a missed latency objective: an endpoint that is slow, which a gateway with little traffic
// does not know yet, uses up all the time of a request that is safe to repeat elsewhere.
TEST(Hedging, OnlyIfEnabledAndOnlyForSafeRequests) {
  for (bool hedging : {true, false}) {
    Settings settings = makeSettings();
    settings.hedging = hedging;
    Driver driver(settings, 6);
    for (std::uint32_t classIndex : {0u, 1u}) driver.warmUp(classIndex, 60);
    for (std::uint32_t classIndex : {0u, 1u}) {
      driver.clearHistory();
      driver.request(classIndex);
      driver.advance(milliseconds(300));
      EXPECT_EQ(driver.sentAttempts.size(), hedging && classIndex == 0 ? 2u : 1u);
      if (driver.sentAttempts.size() == 2)
        EXPECT_NE(driver.sentAttempts[0].endpoint, driver.sentAttempts[1].endpoint);
      while (!driver.inFlight.empty())
        driver.reportResult(SentAttempt(driver.inFlight.back()), Outcome::served,
                            driver.inFlight.size() == 1);
    }
  }
}

// Popular keys can overload one endpoint, while each gateway has nearly nothing in flight there and doesn't
// see it. The reported load in the endpoint list shows it.
TEST(LoadReports, LoadedEndpointGetsFewerRequestsUntilItsLoadFalls) {
  Settings settings = makeSettings();
  settings.loadReports = true;
  Driver driver(settings, 6);
  const auto countSentAtWeight = [&](double weight) {
    driver.clearHistory();
    for (int i = 0; i < 400; ++i) {
      if (i % 10 == 0) {
        EndpointInfo info = makeHost(2);
        info.weight = weight;
        driver.balancer.onEndpoints(driver.now, EndpointListKind::update, {info});
      }
      driver.request(0);
      driver.advance(milliseconds(40));
      while (!driver.inFlight.empty()) driver.reportServed(SentAttempt(driver.inFlight.front()));
    }
    return driver.countSentTo(driver.endpoint(2));
  };
  EXPECT_GT(countSentAtWeight(1), 40u);
  EXPECT_LT(countSentAtWeight(0.1), 40u);
  countSentAtWeight(1);
  EXPECT_GT(countSentAtWeight(1), 40u);
}

// Guards against a burst of retries: if each of hundreds of gateways may save up thirty retries, overloaded
// endpoints get all of them at once.
TEST(RetryBudget, IsSmallForAGatewayWithLittleTraffic) {
  Settings settings = makeSettings();
  settings.maxAttempts = 2;
  Driver driver(settings, 20);
  driver.warmUp(0, 200, milliseconds(200));
  driver.clearHistory();
  for (int i = 0; i < 20; ++i) {
    driver.request(0);
    while (!driver.inFlight.empty())
      driver.reportResult(SentAttempt(driver.inFlight.front()), Outcome::overloaded, false);
    driver.advance(milliseconds(20));
  }
  EXPECT_LE(driver.sentAttempts.size(), 20u + 13u);
}

// A gateway that uses an endpoint once in many seconds learns its latency too late. The latency of its
// machine kind is known sooner.
TEST(RelativeLatency, NewEndpointStartsWithThatOfItsMachineKind) {
  std::vector<EndpointInfo> list;
  for (int i = 0; i < 12; ++i) {
    list.push_back(makeHost(i));
    list.back().machineKind = i % 2 ? "slow" : "fast";
  }
  Driver driver(makeSettings(), 0);
  driver.balancer.onEndpoints(driver.now, EndpointListKind::replace, {list.begin(), list.begin() + 8});
  for (int i = 0; i < 400; ++i) {
    driver.request(0);
    while (!driver.inFlight.empty()) {
      const SentAttempt attempt = driver.inFlight.front();
      const bool isSlow = attempt.endpoint == driver.endpoint(1) || attempt.endpoint == driver.endpoint(3) ||
                          attempt.endpoint == driver.endpoint(5) || attempt.endpoint == driver.endpoint(7);
      driver.reportResult(attempt, Outcome::served, true, milliseconds(isSlow ? 90 : 30));
    }
    driver.advance(milliseconds(50), milliseconds(50));
  }
  driver.balancer.onEndpoints(driver.now, EndpointListKind::update, {list.begin() + 8, list.end()});
  driver.clearHistory();
  for (int i = 0; i < 60; ++i) {
    driver.request(0);
    while (!driver.inFlight.empty())  // a cancelled attempt gives no latency sample
      driver.reportResult(SentAttempt(driver.inFlight.front()), Outcome::cancelled, true);
  }
  EXPECT_GT(driver.countSentTo(driver.endpoint(8)) + driver.countSentTo(driver.endpoint(10)),
            2 * (driver.countSentTo(driver.endpoint(9)) + driver.countSentTo(driver.endpoint(11))));
}

// A failed connect costs the request its connect timeout. The endpoint is down or at its connection limit, so
// the next requests must go elsewhere.
TEST(ConnectBackoff, OneConnectFailureStopsAttemptsToTheEndpoint) {
  Driver driver(makeSettings(), 6);
  driver.warmUp(0, 60);
  driver.clearHistory();
  for (int i = 0; i < 40; ++i) {
    driver.request(0);
    driver.advance(milliseconds(10));
    for (std::size_t k = 0; k < driver.inFlight.size();) {
      const SentAttempt attempt = driver.inFlight[k];
      if (attempt.endpoint == driver.endpoint(1)) driver.reportResult(attempt, Outcome::connectFailed, false);
      else driver.reportServed(attempt);
    }
  }
  EXPECT_EQ(driver.countSentTo(driver.endpoint(1)), 1u);
}

}  // namespace
}  // namespace cairnjunction::policy::testing

// The request limiter: rate, active requests, and the memory limit of a zone.
#include "limits/request_limiter.hpp"

#include <gtest/gtest.h>

#include <string>

namespace cairnjunction::limits {
namespace {

using namespace std::chrono_literals;
using policy::Timestamp;

route::Routes routesWithZones(std::uint64_t perMinute, std::uint64_t bytes) {
  route::Routes routes;
  routes.rateZones = {{"r", "$uri", perMinute, bytes}};
  routes.connectionZones = {{"c", "$uri", 1 << 20}};
  return routes;
}

TEST(RequestLimiterTest, RejectsRequestsAboveRateAndBurst) {
  RequestLimiter limiter(routesWithZones(60, 1 << 20));  // one request per second
  route::Location location;
  location.rateStatus = 429;
  route::Decision decision;
  decision.location = &location;
  decision.rates = {{0, "k", 1}};
  EXPECT_EQ(limiter.admit(Timestamp(0s), decision), std::nullopt);
  EXPECT_EQ(limiter.admit(Timestamp(0s), decision), std::nullopt);
  EXPECT_EQ(limiter.admit(Timestamp(0s), decision), 429);
  EXPECT_EQ(limiter.admit(Timestamp(900ms), decision), 429);  // a rejected request does not count
  EXPECT_EQ(limiter.admit(Timestamp(1s), decision), std::nullopt);
  EXPECT_EQ(limiter.admit(Timestamp(1s), decision), 429);
  EXPECT_EQ(limiter.admit(Timestamp(100s), decision), std::nullopt);
  decision.rates[0].key = "other";
  EXPECT_EQ(limiter.admit(Timestamp(100s), decision), std::nullopt);
}

TEST(RequestLimiterTest, LimitsActiveRequestsUntilTheyEnd) {
  RequestLimiter limiter(routesWithZones(60, 1 << 20));
  route::Location location;
  route::Decision decision;
  decision.location = &location;
  decision.connections = {{0, "k", 2}};
  EXPECT_EQ(limiter.admit(Timestamp(0s), decision), std::nullopt);
  EXPECT_EQ(limiter.admit(Timestamp(0s), decision), std::nullopt);
  EXPECT_EQ(limiter.admit(Timestamp(0s), decision), 503);
  limiter.onRequestEnded(decision.connections);
  EXPECT_EQ(limiter.admit(Timestamp(0s), decision), std::nullopt);
  limiter.onRequestEnded(decision.connections);
  limiter.onRequestEnded(decision.connections);
  EXPECT_EQ(limiter.keyCount(), 0u);
}

TEST(RequestLimiterTest, MemoryOfAZoneLimitsItsKeys) {
  RequestLimiter limiter(routesWithZones(60, 10 * RequestLimiter::kBytesPerKey));
  route::Location location;
  route::Decision decision;
  decision.location = &location;
  for (int i = 0; i < 1000; ++i) {
    decision.rates = {{0, std::to_string(i), 0}};
    EXPECT_EQ(limiter.admit(Timestamp(policy::Duration(i)), decision), std::nullopt);
    EXPECT_LE(limiter.keyCount(), 10u);
  }
}

}  // namespace
}  // namespace cairnjunction::limits

// Tests which endpoints are candidates for an attempt, and the order of preference among them.
#include "policy/endpoint_picker.hpp"

#include <gtest/gtest.h>

#include "pool.hpp"

namespace cairnjunction::policy::testing {
namespace {

struct Picker : ::testing::Test {
  std::map<EndpointId, int> pickMany(const ActiveRequest& request, int count = 1000) {
    std::map<EndpointId, int> picked;
    for (int i = 0; i < count; ++i) {
      const auto id = picker.pick(request, kStart);
      if (id) ++picked[*id];
    }
    return picked;
  }

  Pool pool{4};
  LatencyTracker latency;
  SlowStart slowStart{pool.settings, pool.rates};
  RetryPolicy retryPolicy{pool.settings, pool.classes, pool.endpoints};
  ConnectionAgeTracker connections{pool.settings};
  ConnectBackoff connectBackoff;
  EndpointPicker picker{{.settings = pool.settings,
                         .endpoints = pool.endpoints,
                         .rates = pool.rates,
                         .latency = latency,
                         .outliers = pool.outliers,
                         .slowStart = slowStart,
                         .retryPolicy = retryPolicy,
                         .connections = connections,
                         .connectBackoff = connectBackoff,
                         .random = pool.random}};
};

TEST_F(Picker, IdleEndpointsArePickedEvenly) {
  const auto picked = pickMany(pool.open());
  ASSERT_EQ(picked.size(), 4U);
  for (const auto& [id, count] : picked) EXPECT_NEAR(count, 250, 60) << id;
}

TEST_F(Picker, BusyEndpointsAreNotPickedWhileOthersAreIdle) {
  pool.endpoints[0].inFlight = 1;
  EXPECT_EQ(pickMany(pool.open()).count(0), 0U);
}

TEST_F(Picker, FastEndpointsArePickedMoreOften) {
  pool.endpoints[0].latency.relativeLatency = 0.5;
  EXPECT_NEAR(pickMany(pool.open())[0], 571, 60) << "a weight of 4 among 7";
}

TEST_F(Picker, WithoutIdleEndpointsTheLessLoadedOfTwoIsPicked) {
  for (EndpointId id = 0; id < 4; ++id) pool.endpoints[id].inFlight = 5;
  pool.endpoints[3].inFlight = 9;
  for (EndpointId id = 0; id < 4; ++id) pool.endpoints[id].latency.relativeLatency = 2;
  const auto picked = pickMany(pool.open());
  EXPECT_LT(picked.count(3) ? picked.at(3) : 0, 120) << "picked only if both draws hit it";
}

TEST_F(Picker, UnhealthyEndpointsAreNotPicked) {
  pool.endpoints[0].outlier.state = EjectionState::ejected;
  pool.endpoints[1].responsiveness.unresponsive = true;
  pool.endpoints[2].outlier.overloadBackoffUntil = kStart + milliseconds(1);
  const auto picked = pickMany(pool.open());
  EXPECT_EQ(picked.size(), 1U);
  EXPECT_EQ(picked.count(3), 1U);
}

TEST_F(Picker, WithoutHealthyEndpointsAnyAllowedOneIsPicked) {
  for (EndpointId id = 0; id < 4; ++id) pool.endpoints[id].outlier.state = EjectionState::ejected;
  EXPECT_EQ(pickMany(pool.open()).size(), 4U);
}

TEST_F(Picker, UnreachableOrFullyLoadedEndpointsAreNeverPicked) {
  for (EndpointId id = 0; id < 2; ++id) pool.endpoints.setReachability(id, Reachability::unreachable);
  for (EndpointId id = 2; id < 4; ++id) pool.endpoints[id].info.maxInFlight = 0;
  EXPECT_EQ(picker.pick(pool.open(), kStart), std::nullopt);
}

TEST_F(Picker, RetryUsesAnotherEndpointAndIsNotAProbe) {
  ActiveRequest& request = pool.open();
  pool.send(request, 0);
  pool.endpoints.setReachability(1, Reachability::probeOnly);
  const auto picked = pickMany(request);
  EXPECT_EQ(picked.count(0), 0U);
  EXPECT_EQ(picked.count(1), 0U);
  EXPECT_EQ(picked.size(), 2U);
}

TEST_F(Picker, EndpointOnProbationGetsOneAttemptAtATime) {
  for (EndpointId id = 1; id < 4; ++id) pool.endpoints[id].outlier.state = EjectionState::ejected;
  pool.endpoints[0].outlier.state = EjectionState::probation;
  EXPECT_EQ(pickMany(pool.open()).size(), 1U);
  pool.endpoints[0].inFlight = 1;
  pool.endpoints[1].outlier.state = EjectionState::healthy;
  EXPECT_EQ(pickMany(pool.open()).count(0), 0U);
}

// Without descriptors a new connection would fail. Endpoints with an open connection stay in use.
TEST_F(Picker, WithoutDescriptorsOnlyOpenConnectionsAreUsed) {
  connectBackoff.recordNoDescriptor(kStart);
  EXPECT_EQ(picker.pick(pool.open(), kStart), std::nullopt);
  ConnectionAgeTracker::recordReported(pool.endpoints[2], 1);
  pool.endpoints[2].connections.lastUsedAt = kStart;
  EXPECT_EQ(picker.pick(pool.open(), kStart), 2U);
}

TEST_F(Picker, WithKeyAffinityRequestsOfAKeyUseOneEndpoint) {
  pool.settings.keyAffinity = true;
  pool.endpoints.rebuildOrder();
  ActiveRequest& request = pool.open();
  request.key = 42;
  const auto picked = pickMany(request);
  ASSERT_EQ(picked.size(), 1U);
  const EndpointId first = picked.begin()->first;
  pool.endpoints[first].inFlight = 1;
  EXPECT_EQ(pickMany(request).count(first), 0U) << "busy: the next endpoint in the key's order is used";
  EXPECT_EQ(pickMany(request).size(), 1U);
}

}  // namespace
}  // namespace cairnjunction::policy::testing

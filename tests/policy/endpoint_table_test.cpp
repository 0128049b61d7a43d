// Tests endpoint ids across lists, the subset of a gateway, and what counts towards the pool.
#include "policy/endpoint_table.hpp"

#include <gtest/gtest.h>

#include "pool.hpp"

namespace cairnjunction::policy::testing {
namespace {

TEST(EndpointTable, EndpointsAreListedAndFoundByAddress) {
  Pool pool(3);
  EXPECT_EQ(pool.endpoints.listed().size(), 3U);
  EXPECT_EQ(pool.endpoints.idOf("host-101"), 1U);
  EXPECT_EQ(pool.endpoints.idOf("elsewhere"), kNone);
  EXPECT_EQ(pool.endpoints.reachableCount(), 3U);
  pool.endpoints.setReachability(1, Reachability::unreachable);
  EXPECT_EQ(pool.endpoints.reachableCount(), 2U);
}

TEST(EndpointTable, NewStartTimeCountsAsARestart) {
  Pool pool(1);
  EndpointInfo info = makeHost(0);
  EXPECT_FALSE(pool.endpoints.upsert(info, pool.classes).restarted);
  info.startedAt = kStart;
  EXPECT_TRUE(pool.endpoints.upsert(info, pool.classes).restarted);
  EXPECT_TRUE(pool.endpoints.upsert(makeHost(1), pool.classes).restarted) << "new endpoint";
}

// The zone and cell of a removed endpoint restrict where its requests may be repeated, so its id stays in use
// until those requests end.
TEST(EndpointTable, RemovedEndpointIsKeptWhileARequestRefersToIt) {
  Pool pool(2);
  pool.endpoints.markAllRemoved();
  pool.endpoints.upsert(makeHost(0), pool.classes);
  pool.endpoints.rebuildOrder();
  pool.endpoints[1].references = 1;
  EXPECT_FALSE(pool.endpoints.forgetIfUnused(0)) << "still listed";
  EXPECT_FALSE(pool.endpoints.forgetIfUnused(1));
  pool.endpoints[1].references = 0;
  EXPECT_TRUE(pool.endpoints.forgetIfUnused(1));
  EXPECT_FALSE(pool.endpoints.isKnown(1));
  EXPECT_EQ(pool.endpoints.upsert(makeHost(9), pool.classes).id, 1U) << "the freed id is reused";
}

TEST(EndpointTable, GatewaysOfALargeGroupUseDifferentSubsets) {
  Settings settings = makeSettings();
  settings.gatewayCount = 50;
  Pool first(100, settings);
  settings.gatewayIndex = 7;
  Pool second(100, settings);
  EXPECT_EQ(first.endpoints.subsetSize(), 14U) << "6 + 4 * 100 / 50";
  EXPECT_NE(first.endpoints.ordered(), second.endpoints.ordered());
}

TEST(EndpointTable, InFlightCountExcludesUnhealthyEndpoints) {
  Pool pool(3);
  for (EndpointId id = 0; id < 3; ++id) pool.endpoints[id].inFlight = 10;
  EXPECT_EQ(pool.endpoints.inFlight(), 30);
  pool.endpoints[0].responsiveness.unresponsive = true;
  pool.endpoints[1].outlier.state = EjectionState::ejected;
  EXPECT_EQ(pool.endpoints.inFlight(), 10);
}

TEST(EndpointTable, AllowedZonesAndMachineKindsApplyPerClass) {
  Settings settings = makeSettings();
  settings.classes[1].allowedZones = {"west"};
  settings.classes[2].allowedMachineKinds.emplace();
  Pool pool(1, settings);
  EXPECT_EQ(pool.endpoints[0].allowedForClass, (std::vector<bool>{true, false, false, true}));
}

}  // namespace
}  // namespace cairnjunction::policy::testing

// Tests how reported loads change the selection weight.
#include "policy/load_reports.hpp"

#include <gtest/gtest.h>

#include "pool.hpp"

namespace cairnjunction::policy::testing {
namespace {

TEST(LoadReports, SelectionWeightFallsGraduallyUnderLoadAndRecovers) {
  Pool pool(3);
  LoadReports reports;
  for (const EndpointId id : pool.endpoints.listed()) reports.record(pool.endpoints, pool.endpoints[id]);
  reports.update(pool.endpoints);
  Endpoint& endpoint = pool.endpoints[0];
  endpoint.info.weight = 1 / 6.0;  // unloaded weight 1: a load of 6, four times the limit
  reports.record(pool.endpoints, endpoint);
  EXPECT_NEAR(endpoint.loadReport.selectionWeight, 0.5, 1e-9);
  for (int i = 0; i < 100; ++i) reports.record(pool.endpoints, endpoint);
  EXPECT_EQ(endpoint.loadReport.selectionWeight, 0.05) << "lower bound: it still receives some requests";
  endpoint.info.weight = 1;
  for (int i = 0; i < 100; ++i) reports.record(pool.endpoints, endpoint);
  EXPECT_EQ(endpoint.loadReport.selectionWeight, 1);
}

}  // namespace
}  // namespace cairnjunction::policy::testing

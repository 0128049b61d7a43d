// Tests which requests are within their tenant's quota.
#include "policy/tenant_quota.hpp"

#include <gtest/gtest.h>

#include "driver.hpp"

namespace cairnjunction::policy::testing {
namespace {

constexpr Timestamp kStart{seconds(100)};

Settings makeSettingsWithQuota(double quotaPerSecond) {
  Settings settings = makeSettings();
  settings.gatewayCount = 2;
  settings.tenants = {{"metered", quotaPerSecond}, {"free", 0}};
  return settings;
}

TEST(TenantQuota, GatewayHasItsPartOfTheQuota) {
  const Settings settings = makeSettingsWithQuota(20);
  TenantQuota quota(settings, kStart);
  int withinQuota = 0;
  for (int i = 0; i < 1000; ++i) withinQuota += quota.tryCharge(0, kStart + milliseconds(10) * i) ? 1 : 0;
  EXPECT_NEAR(withinQuota, 100, 1) << "ten seconds at half of 20 a second";
}

TEST(TenantQuota, BucketHoldsAtMostOneSecondOfTokens) {
  const Settings settings = makeSettingsWithQuota(20);
  TenantQuota quota(settings, kStart);
  int withinQuota = 0;
  for (int i = 0; i < 100; ++i) withinQuota += quota.tryCharge(0, kStart + seconds(60)) ? 1 : 0;
  EXPECT_EQ(withinQuota, 10);
}

TEST(TenantQuota, RequestsWithoutAQuotaAreNeverOverQuota) {
  const Settings settings = makeSettingsWithQuota(20);
  TenantQuota quota(settings, kStart);
  for (int i = 0; i < 100; ++i) {
    EXPECT_TRUE(quota.tryCharge(1, kStart));
    EXPECT_TRUE(quota.tryCharge(kNone, kStart));
  }
}

}  // namespace
}  // namespace cairnjunction::policy::testing

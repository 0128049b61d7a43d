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

TEST(TenantQuota, GatewayAdmitsItsPartOfTheQuota) {
  const Settings settings = makeSettingsWithQuota(20);
  TenantQuota quota(settings, kStart);
  int admitted = 0;
  for (int i = 0; i < 1000; ++i) admitted += quota.admit(0, kStart + milliseconds(10) * i) ? 1 : 0;
  EXPECT_NEAR(admitted, 100, 1) << "ten seconds at half of 20 a second";
}

TEST(TenantQuota, BucketHoldsAtMostOneSecondOfTokens) {
  const Settings settings = makeSettingsWithQuota(20);
  TenantQuota quota(settings, kStart);
  int admitted = 0;
  for (int i = 0; i < 100; ++i) admitted += quota.admit(0, kStart + seconds(60)) ? 1 : 0;
  EXPECT_EQ(admitted, 10);
}

TEST(TenantQuota, RequestsWithoutAQuotaAreAlwaysAdmitted) {
  const Settings settings = makeSettingsWithQuota(20);
  TenantQuota quota(settings, kStart);
  for (int i = 0; i < 100; ++i) {
    EXPECT_TRUE(quota.admit(1, kStart));
    EXPECT_TRUE(quota.admit(kNone, kStart));
  }
}

}  // namespace
}  // namespace cairnjunction::policy::testing

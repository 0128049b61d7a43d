#include "policy/tenant_quota.hpp"

#include <algorithm>

#include "common/numeric.hpp"

namespace cairnjunction::policy {

TenantQuota::TenantQuota(const Settings& settings, Timestamp now)
    : settings_(settings), tokens_(settings.tenants.size(), 0), refilledAt_(now) {}

double TenantQuota::quotaOfThisGateway(std::size_t tenantIndex) const {
  return settings_.tenants[tenantIndex].quotaPerSecond / settings_.gatewayCount;
}

void TenantQuota::refill(Timestamp now) {
  const double elapsed = toSeconds(now - refilledAt_);
  refilledAt_ = now;
  for (std::size_t i = 0; i < tokens_.size(); ++i) {
    const double gained = elapsed * settings_.tenants[i].quotaPerSecond / settings_.gatewayCount;
    tokens_[i] = std::min(tokens_[i] + gained, quotaOfThisGateway(i));
  }
}

bool TenantQuota::tryCharge(std::uint32_t tenantIndex, Timestamp now) {
  if (tenantIndex >= tokens_.size() || settings_.tenants[tenantIndex].quotaPerSecond <= 0) return true;
  refill(now);
  if (tokens_[tenantIndex] < 1) return false;
  tokens_[tenantIndex] -= 1;
  return true;
}

}  // namespace cairnjunction::policy

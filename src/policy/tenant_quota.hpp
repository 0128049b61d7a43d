// Tenant quotas: requests beyond their tenant's quota lose priority.
#pragma once

#include <cstdint>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::policy {

// A token bucket for each tenant. It fills at this gateway's part of the quota and holds at most the tokens
// of one second.
class TenantQuota {
 public:
  // `settings` must outlive this object; `now` is the current time. Buckets start empty.
  TenantQuota(const Settings& settings, Timestamp now);

  // Returns whether a request is within its tenant's quota, and if so charges it. Always true for an unknown
  // tenant and for one without a quota.
  bool tryCharge(std::uint32_t tenantIndex, Timestamp now);

  // Must be called after the tenants in the settings have changed. Buckets keep their index; new ones start
  // empty.
  void resize(std::size_t tenantCount) { tokens_.resize(tenantCount, 0); }

 private:
  void refill(Timestamp now);
  double quotaOfThisGateway(std::size_t tenantIndex) const;  // requests a second

  const Settings& settings_;
  std::vector<double> tokens_;  // by tenant index: requests within the quota
  Timestamp refilledAt_;
};

}  // namespace cairnjunction::policy

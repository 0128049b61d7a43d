// Quotas of tenants: what a tenant sends beyond its quota loses priority.
#pragma once

#include <cstdint>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::policy {

// A token bucket for each tenant with a quota. It fills by this gateway's part of the quota and holds one
// second's worth of it.
class TenantQuota {
 public:
  // `settings` must outlive this object; buckets start empty.
  TenantQuota(const Settings& settings, Timestamp now);

  // Counts a request against its tenant's quota. Returns whether it is within the quota; true for a tenant
  // that is unknown or has none.
  bool admit(std::uint32_t tenantIndex, Timestamp now);

  // Follows a change of the tenants in the settings: buckets stay by index, new ones start empty.
  void resize(std::size_t tenantCount) { tokens_.resize(tenantCount, 0); }

 private:
  void refill(Timestamp now);
  double quotaOfThisGateway(std::size_t tenantIndex) const;  // requests a second

  const Settings& settings_;
  std::vector<double> tokens_;  // by tenant index: requests that may still be sent
  Timestamp refilledAt_;
};

}  // namespace cairnjunction::policy

// Hedging: a second, concurrent attempt for a request whose first attempt is slow.
#pragma once

#include <optional>

#include "policy/class_state.hpp"
#include "policy/request_table.hpp"

namespace cairnjunction::policy {

// An endpoint whose slowness this gateway has not yet detected would use up a request's whole latency
// objective. While the pool has spare capacity, a request that may be repeated is therefore also sent to
// another endpoint.
class HedgingPolicy {
 public:
  // `settings` must outlive this object.
  explicit HedgingPolicy(const Settings& settings) : settings_(settings) {}

  // Delay after the first attempt at which the request may be hedged; nullopt: not at all.
  std::optional<Duration> delay(const ActiveRequest& request, const ClassState& requestClass) const;

 private:
  const Settings& settings_;
};

}  // namespace cairnjunction::policy

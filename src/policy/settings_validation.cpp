#include "policy/settings_validation.hpp"

#include <cmath>
#include <stdexcept>

namespace cairnjunction::policy {
namespace {

void require(bool good, const std::string& what) {
  if (!good) throw std::invalid_argument("settings: " + what);
}

}  // namespace

void validate(const Settings& s) {
  require(s.gatewayCount >= 1, "groupSize must be at least 1");
  require(!s.classes.empty(), "at least one class is needed");
  require(s.maxAttempts >= 1, "maxAttempts must be at least 1");
  require(s.streamsPerConnection >= 1, "streamsPerConnection must be at least 1");
  require(s.slowStartInitialFraction > 0 && s.slowStartInitialFraction <= 1, "coldShare must lie in (0, 1]");
  require(s.collapseLoadFactor > 0, "fallMultiple must be above 0");
  require(s.overQuotaWeightFactor >= 0 && s.overQuotaWeightFactor <= 1, "overShareWorth must lie in [0, 1]");
  for (Duration d : {s.maxRetryAfter, s.maxPollInterval, s.eventInterval, s.slowStartDuration,
                     s.collapseWindow, s.keyCooldown, s.idleTimeout})
    require(d >= Duration::zero(), "durations must not be negative");
  for (const ClassSettings& c : s.classes) {
    require(!c.name.empty(), "a class has no name");
    require(c.latencyObjective > Duration::zero(), "class " + c.name + ": aim must be above 0");
    require(c.clientTimeout >= c.latencyObjective, "class " + c.name + ": giveUp must not be below aim");
    require(std::isfinite(c.priorityWeight) && c.priorityWeight >= 0,
            "class " + c.name + ": worth must be 0 or more");
    require(c.lateValueFraction >= 0 && c.lateValueFraction <= 1,
            "class " + c.name + ": lateShare must lie in [0, 1]");
    require(c.objectiveCostFactor >= 0, "class " + c.name + ": aimStretch must be 0 or more");
    require(c.dedupWindow >= Duration::zero(), "class " + c.name + ": window must not be negative");
  }
  for (const TenantSettings& t : s.tenants)
    require(std::isfinite(t.quotaPerSecond) && t.quotaPerSecond >= 0, "tenant " + t.name + ": bad quota");
}

}  // namespace cairnjunction::policy

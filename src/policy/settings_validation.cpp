#include "policy/settings_validation.hpp"

#include <cmath>
#include <stdexcept>

namespace cairnjunction::policy {
namespace {

void require(bool condition, const std::string& message) {
  if (!condition) throw std::invalid_argument("settings: " + message);
}

}  // namespace

void validate(const Settings& settings) {
  require(settings.gatewayCount >= 1, "groupSize must be at least 1");
  require(!settings.classes.empty(), "at least one class is needed");
  require(settings.maxAttempts >= 1, "maxAttempts must be at least 1");
  require(settings.streamsPerConnection >= 1, "streamsPerConnection must be at least 1");
  require(settings.slowStartInitialFraction > 0 && settings.slowStartInitialFraction <= 1,
          "coldShare must lie in (0, 1]");
  require(settings.collapseLoadFactor > 0, "fallMultiple must be above 0");
  require(settings.overQuotaWeightFactor >= 0 && settings.overQuotaWeightFactor <= 1,
          "overShareWorth must lie in [0, 1]");
  for (const Duration duration :
       {settings.maxRetryAfter, settings.maxPollInterval, settings.eventInterval, settings.slowStartDuration,
        settings.collapseWindow, settings.keyCooldown, settings.idleTimeout})
    require(duration >= Duration::zero(), "durations must not be negative");
  for (const ClassSettings& each : settings.classes) {
    require(!each.name.empty(), "a class has no name");
    require(each.latencyObjective > Duration::zero(), "class " + each.name + ": aim must be above 0");
    require(each.clientTimeout >= each.latencyObjective,
            "class " + each.name + ": giveUp must not be below aim");
    require(std::isfinite(each.priorityWeight) && each.priorityWeight >= 0,
            "class " + each.name + ": worth must be 0 or more");
    require(each.lateValueFraction >= 0 && each.lateValueFraction <= 1,
            "class " + each.name + ": lateShare must lie in [0, 1]");
    require(each.objectiveCostFactor >= 0, "class " + each.name + ": aimStretch must be 0 or more");
    require(each.dedupWindow >= Duration::zero(), "class " + each.name + ": window must not be negative");
  }
  for (const TenantSettings& tenant : settings.tenants)
    require(std::isfinite(tenant.quotaPerSecond) && tenant.quotaPerSecond >= 0,
            "tenant " + tenant.name + ": bad quota");
}

}  // namespace cairnjunction::policy

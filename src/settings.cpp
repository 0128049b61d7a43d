#include "settings.hpp"

#include <cmath>
#include <stdexcept>

namespace ochrehill {
namespace {

void require(bool good, const std::string& what) {
  if (!good) throw std::invalid_argument("ochrehill settings: " + what);
}

}  // namespace

void validate(const Settings& s) {
  require(s.groupSize >= 1, "groupSize must be at least 1");
  require(!s.classes.empty(), "at least one class is needed");
  require(s.maxAttempts >= 1, "maxAttempts must be at least 1");
  require(s.streamsPerConnection >= 1, "streamsPerConnection must be at least 1");
  require(s.coldShare > 0 && s.coldShare <= 1, "coldShare must lie in (0, 1]");
  require(s.fallMultiple > 0, "fallMultiple must be above 0");
  require(s.overShareWorth >= 0 && s.overShareWorth <= 1, "overShareWorth must lie in [0, 1]");
  for (Duration d : {s.maxRetryAfter, s.askWithin, s.step, s.coldTime, s.fallWindow, s.keyRest, s.idleClose})
    require(d >= Duration::zero(), "durations must not be negative");
  for (const ClassSettings& c : s.classes) {
    require(!c.name.empty(), "a class has no name");
    require(c.aim > Duration::zero(), "class " + c.name + ": aim must be above 0");
    require(c.giveUp >= c.aim, "class " + c.name + ": giveUp must not be below aim");
    require(std::isfinite(c.worth) && c.worth >= 0, "class " + c.name + ": worth must be 0 or more");
    require(c.lateShare >= 0 && c.lateShare <= 1, "class " + c.name + ": lateShare must lie in [0, 1]");
    require(c.aimStretch >= 0, "class " + c.name + ": aimStretch must be 0 or more");
    require(c.window >= Duration::zero(), "class " + c.name + ": window must not be negative");
  }
  for (const TenantSettings& t : s.tenants)
    require(std::isfinite(t.quotaPerSecond) && t.quotaPerSecond >= 0, "tenant " + t.name + ": bad quota");
}

}  // namespace ochrehill

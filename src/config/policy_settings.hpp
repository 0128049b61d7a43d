// Reads the settings of the decision module from the object `settings` of the configuration. This is the only
// place that maps the operators' names of settings to those of the code.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction {

// Throws BadConfig. Does not check what the decision module requires of its settings, since the module checks
// that itself.
policy::Settings readPolicySettings(const nlohmann::json& settings);

}  // namespace cairnjunction

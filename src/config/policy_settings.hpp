// The settings of the decision module, from the part `settings` of the configuration. The operators' names of
// settings are mapped to those of the code here and nowhere else.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction {

// Throws BadConfig. What the decision module itself requires of its settings is not checked here.
policy::Settings readPolicySettings(const nlohmann::json& settings);

}  // namespace cairnjunction

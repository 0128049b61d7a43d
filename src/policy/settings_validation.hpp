// Validation of settings, before any decision depends on them.
#pragma once

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::policy {

// Throws std::invalid_argument, whose text names the first invalid setting by its key in the configuration.
void validate(const Settings& settings);

}  // namespace cairnjunction::policy

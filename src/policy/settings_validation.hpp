// Rejects settings that make no sense, before any decision is taken on them.
#pragma once

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::policy {

void validate(const Settings& settings);  // throws std::invalid_argument that names the setting

}  // namespace cairnjunction::policy

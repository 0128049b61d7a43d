// The settings of an ENLIST line: the one map from the wire's words to those of the load balancer.
#pragma once

#include <string_view>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::sim {

// Reads the pairs of an ENLIST line; unknown ones are skipped. Throws std::invalid_argument that says what
// was found.
policy::Settings readSettings(std::string_view pairs);

}  // namespace cairnjunction::sim

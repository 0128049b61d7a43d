// The exception for an invalid configuration.
#pragma once

#include <stdexcept>

namespace cairnjunction {

// A configuration that cannot be used. what() is one line that names the key and the fault.
struct BadConfig : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace cairnjunction

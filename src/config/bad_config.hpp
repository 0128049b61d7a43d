#pragma once

#include <stdexcept>

namespace cairnjunction {

// A configuration that can't be used: one line that names the key and says what is wrong with it.
struct BadConfig : std::runtime_error {
  using std::runtime_error::runtime_error;
};

}  // namespace cairnjunction

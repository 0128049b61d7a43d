// The decision modules' clock: it starts a day after zero, so that hosts which started up to a day before
// have a time of their own on it, and "long past" lies before it.
#pragma once

#include <chrono>

#include "ochrehill/ochrehill.hpp"

namespace cairnjunction {

class ModuleClock {
 public:
  static constexpr ochrehill::Time kStart = std::chrono::hours(24);

  ochrehill::Time now() const { return kStart + (std::chrono::steady_clock::now() - start_); }
  std::chrono::steady_clock::time_point at(ochrehill::Time time) const { return start_ + (time - kStart); }

 private:
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
};

}  // namespace cairnjunction

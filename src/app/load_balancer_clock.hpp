// The decision modules' clock: it starts a day after zero, so that hosts which started up to a day before
// have a time of their own on it, and "long past" lies before it.
#pragma once

#include <chrono>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction {

class LoadBalancerClock {
 public:
  static constexpr policy::Timestamp kStart{std::chrono::hours(24)};

  policy::Timestamp now() const { return kStart + (std::chrono::steady_clock::now() - start_); }
  std::chrono::steady_clock::time_point at(policy::Timestamp time) const { return start_ + (time - kStart); }

 private:
  std::chrono::steady_clock::time_point start_ = std::chrono::steady_clock::now();
};

}  // namespace cairnjunction

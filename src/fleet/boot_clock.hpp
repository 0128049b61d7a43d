// The clock by which a member measures its leases: time since boot, including suspend. It is never stepped.
#pragma once

#include <ctime>

#include "lease/lease.hpp"

namespace cairnjunction::fleet {

inline lease::BootTime bootTime() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return lease::BootTime(std::chrono::duration_cast<lease::Duration>(std::chrono::seconds(now.tv_sec) +
                                                                     std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace cairnjunction::fleet

// The gateway's waits in tests: watches on discovery that wait as long as the scripts of net_peers.hpp take
// for a wait, and longer than any test lasts.
#pragma once

#include <chrono>

#include "app/gateway.hpp"

namespace cairnjunction::testing {

inline Gateway::Waits longWatches() {
  Gateway::Waits waits;
  waits.discovery.watchMin = waits.discovery.watchMax = std::chrono::seconds(20);
  return waits;
}

}  // namespace cairnjunction::testing

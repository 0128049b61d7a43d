#include "discovery/timeouts.hpp"

#include <algorithm>

namespace cairnjunction {
namespace {

using std::chrono::milliseconds;

// A running agent answers within a few milliseconds. An agent that was unresponsive knows all changes as soon
// as it is back, and from then on the gateway counts as notified of them. So the gateway asks at least five
// times a second.
constexpr milliseconds kAgentResponseTimeout{150};
constexpr milliseconds kAgentRetryBackoff{30};

}  // namespace

DiscoveryTimeouts DiscoveryTimeouts::forAgent() const {
  DiscoveryTimeouts timeouts = *this;
  timeouts.connect = std::min(connect, kAgentResponseTimeout);
  timeouts.response = std::min(response, kAgentResponseTimeout);
  timeouts.retryInitialBackoff = std::min(retryInitialBackoff, kAgentRetryBackoff);
  timeouts.retryMaxBackoff = timeouts.retryInitialBackoff;
  return timeouts;
}

}  // namespace cairnjunction

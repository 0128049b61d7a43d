#include "policy/connect_backoff.hpp"

#include <algorithm>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

// An endpoint that cannot be connected to is down or at its limit.
constexpr Duration kConnectRest = std::chrono::seconds(1);
constexpr int kConnectDoublings = 3;
// Descriptors come free as answers do.
constexpr Duration kNoDescriptorRest = std::chrono::milliseconds(20);

}  // namespace

void ConnectBackoff::recordFailure(Endpoint& endpoint, Timestamp now, Random& random) {
  ConnectionRecord& connections = endpoint.connections;
  connections.connectAfter =
      now + scaled(kConnectRest * (1 << connections.connectFailures), 0.5 + random.unit());
  connections.connectFailures = std::min(connections.connectFailures + 1, kConnectDoublings);
}

void ConnectBackoff::recordNoDescriptor(Timestamp now) { connectAfter_ = now + kNoDescriptorRest; }

}  // namespace cairnjunction::policy

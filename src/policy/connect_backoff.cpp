#include "policy/connect_backoff.hpp"

#include <algorithm>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

// An endpoint that does not accept connections is down or at its connection limit.
constexpr Duration kInitialConnectBackoff = std::chrono::seconds(1);
constexpr int kMaxConnectBackoffDoublings = 3;
// Descriptors are freed as soon as answers arrive.
constexpr Duration kNoDescriptorBackoff = std::chrono::milliseconds(20);

}  // namespace

void ConnectBackoff::recordFailure(Endpoint& endpoint, Timestamp now, Random& random) {
  ConnectionRecord& connections = endpoint.connections;
  connections.connectAfter =
      now + scaled(kInitialConnectBackoff * (1 << connections.connectFailures), 0.5 + random.unit());
  connections.connectFailures = std::min(connections.connectFailures + 1, kMaxConnectBackoffDoublings);
}

void ConnectBackoff::recordNoDescriptor(Timestamp now) { connectAfter_ = now + kNoDescriptorBackoff; }

}  // namespace cairnjunction::policy

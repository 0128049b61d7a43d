#include "policy/responsiveness.hpp"

#include <algorithm>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

constexpr double kUnresponsiveFactor = 4;  // multiple of the endpoint's typical latency
constexpr Duration kMinUnresponsiveTime =
    std::chrono::milliseconds(150);  // lower bound: short pauses are normal

}  // namespace

void ResponsivenessMonitor::update(EndpointTable& endpoints, const RequestTable& requests,
                                   double typicalLatency, Timestamp now) {
  for (const EndpointId id : endpoints.listed()) {
    Endpoint& endpoint = endpoints[id];
    ResponsivenessRecord& record = endpoint.responsiveness;
    const Attempt* oldest = nullptr;
    while (!record.sentRequests.empty()) {
      oldest = requests.attemptInFlight(record.sentRequests.front(), id);
      if (oldest) break;
      record.sentRequests.pop_front();
    }
    const double slowness = std::max(1.0, endpoint.latency.relativeLatency);
    const Duration limit =
        std::max(kMinUnresponsiveTime,
                 scaled(std::chrono::seconds(1), kUnresponsiveFactor * typicalLatency * slowness));
    record.unresponsive = oldest != nullptr && now - std::max(record.lastResponseAt, oldest->sentAt) > limit;
  }
}

}  // namespace cairnjunction::policy

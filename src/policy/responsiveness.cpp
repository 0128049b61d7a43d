#include "policy/responsiveness.hpp"

#include <algorithm>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

constexpr double kSilenceFactor = 4;  // times the typical latency of the endpoint,
constexpr Duration kSilenceLeast =
    std::chrono::milliseconds(150);  // and at least this: short pauses are normal

}  // namespace

void ResponsivenessMonitor::update(EndpointTable& endpoints, const RequestTable& requests,
                                   double typicalLatency, Timestamp now) {
  for (const EndpointId id : endpoints.listed()) {
    Endpoint& endpoint = endpoints[id];
    ResponsivenessRecord& record = endpoint.responsiveness;
    const Attempt* oldest = nullptr;
    while (!record.sent.empty()) {
      oldest = requests.attemptInFlight(record.sent.front(), id);
      if (oldest) break;
      record.sent.pop_front();
    }
    const double slowness = std::max(1.0, endpoint.latency.relativeLatency);
    const Duration limit =
        std::max(kSilenceLeast, scaled(std::chrono::seconds(1), kSilenceFactor * typicalLatency * slowness));
    record.unresponsive = oldest != nullptr && now - std::max(record.lastResponseAt, oldest->sentAt) > limit;
  }
}

}  // namespace cairnjunction::policy

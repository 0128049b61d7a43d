#include "policy/hedging.hpp"

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

constexpr double kHedgeDelayFactor = 2.5;  // times the typical latency of the request

}  // namespace

std::optional<Duration> HedgingPolicy::delay(const ActiveRequest& request,
                                             const ClassState& requestClass) const {
  if (!settings_.hedging || requestClass.settings().idempotency == Idempotency::unsafe ||
      requestClass.typicalLatency() <= 0)
    return std::nullopt;
  return scaled(requestClass.typicalDuration(request.costRatio), kHedgeDelayFactor);
}

}  // namespace cairnjunction::policy

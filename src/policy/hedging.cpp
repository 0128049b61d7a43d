#include "policy/hedging.hpp"

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

constexpr double kHedgeAfter = 2.5;  // typical durations of the request

}  // namespace

std::optional<Duration> HedgingPolicy::delay(const ActiveRequest& request,
                                             const ClassState& requestClass) const {
  if (!settings_.hedging || requestClass.settings().idempotency == Idempotency::unsafe ||
      requestClass.typicalLatency() <= 0)
    return std::nullopt;
  return scaled(requestClass.typicalDuration(request.costRatio), kHedgeAfter);
}

}  // namespace cairnjunction::policy

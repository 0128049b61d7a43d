#include "membership/probe_scheduler.hpp"

#include <algorithm>

#include "common/numeric.hpp"

namespace cairnjunction {

using policy::Duration;
using policy::EndpointId;
using policy::Timestamp;

namespace {

constexpr int kMaxProbeDoublings =
    16;  // more than any maximum in the settings needs; keeps the shift defined
// Maximum number of tokens, reached while no endpoint is unreachable. The tokens of a whole second would
// delay many requests at once.
constexpr double kProbeBurst = 4;

Duration exponentialBackoff(Duration initial, int doublings, Duration max) {
  return std::min(initial * (std::int64_t{1} << std::min(doublings, kMaxProbeDoublings)), max);
}

}  // namespace

void ProbeRateLimiter::refill(Timestamp now) {
  if (refilledAt_ > Timestamp{}) {
    const double elapsedSeconds = policy::toSeconds(now - refilledAt_);
    tokens_ = std::min(tokens_ + elapsedSeconds * perSecond_, kProbeBurst);
  }
  refilledAt_ = now;
}

Duration probeBackoff(const EndpointHealthSettings& settings, ConditionReason reason, int failures) {
  if (reason == ConditionReason::connectTimeout)
    return exponentialBackoff(settings.connectTimeoutProbeInitialBackoff, failures,
                              settings.connectTimeoutProbeMaxBackoff);
  return exponentialBackoff(settings.probeInitialBackoff, failures, settings.probeMaxBackoff);
}

std::vector<EndpointId> ProbeScheduler::chooseDue(Timestamp now, std::size_t count,
                                                  const std::function<bool(EndpointId)>& isDue) {
  limiter_.refill(now);
  std::vector<EndpointId> chosen;
  const std::size_t begin = nextIndex_;
  for (std::size_t i = 0; i < count && limiter_.hasToken(); ++i) {
    const std::size_t index = (begin + i) % count;
    const auto endpoint = static_cast<EndpointId>(index);
    if (!isDue(endpoint)) continue;
    limiter_.takeToken();
    ++probesStarted_;
    nextIndex_ = index + 1;
    chosen.push_back(endpoint);
  }
  return chosen;
}

}  // namespace cairnjunction

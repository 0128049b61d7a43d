#include "policy/retry_policy.hpp"

#include <algorithm>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

constexpr double kMinRetryAfterFraction = 0.1;  // of maxRetryAfter: lower bound, for the highest scores
constexpr double kRetriesPerRequest = 0.3;
constexpr double kMaxSavedRetries = 3;  // tokens that may accumulate beyond those of one second

}  // namespace

bool RetryPolicy::mayRepeatAt(const ActiveRequest& request, const Endpoint& endpoint, Timestamp now) const {
  const ClassSettings& settings = classes_[request.classIndex].settings();
  if (settings.idempotency == Idempotency::safe) return true;
  for (std::uint32_t i = 0; i < request.attemptCount; ++i) {
    const Attempt& attempt = request.attempts[i];
    if (!attempt.mayHaveExecuted) continue;
    if (settings.idempotency == Idempotency::unsafe) return false;
    const EndpointInfo& earlier = endpoints_[attempt.endpoint].info;
    if (settings.dedupScope != DedupScope::all && earlier.zone != endpoint.info.zone) return false;
    if (settings.dedupScope == DedupScope::cell && earlier.cell != endpoint.info.cell) return false;
    if (now + 2 * settings_.eventInterval > attempt.sentAt + settings.dedupWindow) return false;
  }
  return true;
}

bool RetryPolicy::isExhausted(const ActiveRequest& request) const {
  return request.attemptCount >=
         std::min<std::size_t>({settings_.maxAttempts, request.maxAttempts, kMaxAttemptsPerRequest});
}

Timestamp RetryPolicy::attemptDeadline(const ActiveRequest& request) const {
  const Timestamp reachesClient = request.deadline - 2 * settings_.eventInterval;
  if (classes_[request.classIndex].settings().lateValueFraction > 0) return reachesClient;
  return std::min(reachesClient, request.objectiveAt - 2 * settings_.eventInterval);
}

bool RetryPolicy::cannotFinishInTime(const ActiveRequest& request, std::size_t ahead, Timestamp now) const {
  const Duration typical = classes_[request.classIndex].typicalDuration(request.costRatio);
  return now + static_cast<Duration::rep>(ahead + 1) * typical >= attemptDeadline(request);
}

bool RetryPolicy::isSafeToReject(const ActiveRequest& request) const {
  if (!request.mayHaveExecuted()) return true;
  const ClassSettings& settings = classes_[request.classIndex].settings();
  if (settings.idempotency == Idempotency::safe) return true;
  return settings.idempotency == Idempotency::keyed && settings.dedupScope == DedupScope::all &&
         request.attemptsInFlight == 0;
}

Duration RetryPolicy::retryAfter(const ActiveRequest& request, Random& random) const {
  if (!settings_.retryAfterAllowed) return {};
  const double fraction = std::max(1 - request.score / 100, kMinRetryAfterFraction);
  return scaled(settings_.maxRetryAfter, fraction * (0.5 + 0.5 * random.unit()));
}

RetryBudget::RetryBudget() : tokens_(kMaxSavedRetries) {}

void RetryBudget::recordRequest(double requestRate) {
  tokens_ = std::min(tokens_ + kRetriesPerRequest, kMaxSavedRetries + kRetriesPerRequest * requestRate);
}

}  // namespace cairnjunction::policy

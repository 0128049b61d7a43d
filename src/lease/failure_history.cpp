// Records failures and computes backoffs.
#include "lease/failure_history.hpp"

#include <algorithm>

namespace cairnjunction::lease {
namespace {

// Bounds the shift so that it is defined. After this many doublings the backoff has reached its maximum.
constexpr std::uint32_t kMaxDoublings = 10;

Duration backoffAfter(std::uint32_t earlierFailures) {
  const std::int64_t factor = std::int64_t{1} << std::min(earlierFailures, kMaxDoublings);
  return std::min<Duration>(FailureHistories::kInitialBackoff * factor, FailureHistories::kMaxBackoff);
}

}  // namespace

void FailureHistories::recordFailure(const std::string& member, const std::string& task, LogTime now) {
  const MemberTask memberTask{member, task};
  if (!histories_.contains(memberTask) && histories_.size() >= kMaxHistories) evictOne();
  FailureHistory& history = histories_[memberTask];
  history.backoffUntil = now + backoffAfter(history.consecutiveFailures);
  ++history.consecutiveFailures;
}

void FailureHistories::recordSuccess(const std::string& member, const std::string& task) {
  histories_.erase({member, task});
}

FailureHistory FailureHistories::find(const std::string& member, const std::string& task) const {
  const auto found = histories_.find({member, task});
  return found == histories_.end() ? FailureHistory{} : found->second;
}

void FailureHistories::evictOne() {
  histories_.erase(
      std::min_element(histories_.begin(), histories_.end(), [](const auto& left, const auto& right) {
        return left.second.backoffUntil < right.second.backoffUntil;
      }));
}

}  // namespace cairnjunction::lease

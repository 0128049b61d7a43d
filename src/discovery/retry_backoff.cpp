#include "discovery/retry_backoff.hpp"

#include <algorithm>

namespace cairnjunction {
namespace {

// Limits the shift to a defined range. The backoff reaches its maximum much earlier.
constexpr int kMaxBackoffDoublings = 16;

}  // namespace

std::chrono::milliseconds RandomDuration::between(Milliseconds min, Milliseconds max) {
  if (max <= min) return min;
  return Milliseconds(std::uniform_int_distribution<std::int64_t>(min.count(), max.count())(engine_));
}

std::chrono::milliseconds RetryBackoff::next(RandomDuration& random) {
  const Milliseconds grown = initial_ * (std::int64_t{1} << std::min(failures_, kMaxBackoffDoublings));
  ++failures_;
  const Milliseconds backoff = std::min(grown, max_);
  return random.between(backoff / 2, backoff + backoff / 2);
}

}  // namespace cairnjunction

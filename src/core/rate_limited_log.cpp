#include "core/rate_limited_log.hpp"

#include <chrono>
#include <utility>

namespace cairnjunction {
namespace {

constexpr int kMaxLinesPerInterval = 10;
constexpr policy::Duration kLogInterval = std::chrono::seconds(1);

}  // namespace

void RateLimitedLog::log(policy::Timestamp now, const std::string& line) {
  if (now - intervalStart_ >= kLogInterval) {
    intervalStart_ = now;
    linesInInterval_ = 0;
  }
  if (++linesInInterval_ > kMaxLinesPerInterval) {
    ++dropped_;
    return;
  }
  const std::size_t dropped = std::exchange(dropped_, 0);
  write_(dropped > 0 ? line + " (and " + std::to_string(dropped) + " lines more)" : line);
}

}  // namespace cairnjunction

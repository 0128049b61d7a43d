// Limits log lines to 10 per second: an event that affects all endpoints at once must not flood the log.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <utility>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction {

class RateLimitedLog {
 public:
  using Write = std::function<void(const std::string& line)>;

  explicit RateLimitedLog(Write write) : write_(std::move(write)) {}

  // Writes the line, or drops it if the limit is reached. The next line that is written states how many lines
  // were dropped before it.
  void log(policy::Timestamp now, const std::string& line);

 private:
  Write write_;
  policy::Timestamp intervalStart_{};
  int linesInInterval_ = 0;  // in the second from intervalStart_ on, including dropped ones
  std::size_t dropped_ = 0;  // since the last line that was written
};

}  // namespace cairnjunction

// Limits the rate of log lines, so that an event that affects all endpoints at once does not flood the log.
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

  // Writes the line, or drops it if the limit of the current interval is reached. The next line that is
  // written states how many lines were dropped before it.
  void log(policy::Timestamp now, const std::string& line);

 private:
  Write write_;
  policy::Timestamp intervalStart_{};
  int linesInInterval_ = 0;  // including dropped ones
  std::size_t dropped_ = 0;  // since the last line that was written
};

}  // namespace cairnjunction

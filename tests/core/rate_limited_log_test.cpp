// Tests the limit on log lines and the count of dropped lines.
#include "core/rate_limited_log.hpp"

#include <gtest/gtest.h>

#include <chrono>
#include <vector>

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using policy::Timestamp;

// If all endpoints of a zone become unreachable at once, the log gets a few lines and the number of dropped
// lines.
TEST(RateLimitedLog, WritesTenLinesPerSecondAndTheNumberOfDroppedLines) {
  std::vector<std::string> lines;
  RateLimitedLog log([&](const std::string& line) { lines.push_back(line); });
  const Timestamp start = Timestamp{} + 60s;
  for (int i = 0; i < 15; ++i) log.log(start + i * 1ms, "line " + std::to_string(i));
  ASSERT_EQ(lines.size(), 10u);
  EXPECT_EQ(lines.back(), "line 9");
  log.log(start + 999ms, "also dropped");
  EXPECT_EQ(lines.size(), 10u);
  log.log(start + 1s, "the next second");
  log.log(start + 1s, "and its second line");
  ASSERT_EQ(lines.size(), 12u);
  EXPECT_EQ(lines[10], "the next second (and 6 lines more)");
  EXPECT_EQ(lines[11], "and its second line");
}

}  // namespace
}  // namespace cairnjunction::testing

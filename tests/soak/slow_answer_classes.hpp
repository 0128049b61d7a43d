// The classes of the requests in the slow answers' soak, as in standins/gateway_config.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <string>

namespace cairnjunction::soak {

struct ClassTimes {
  const char* name;
  std::chrono::milliseconds objective, clientTimeout;
};
using ClassTable = std::array<ClassTimes, 3>;
inline constexpr ClassTable kClasses{
    {{"cut-plan", std::chrono::milliseconds(600), std::chrono::milliseconds(1200)},
     {"stock-out", std::chrono::milliseconds(400), std::chrono::milliseconds(2000)},
     {"log-in", std::chrono::milliseconds(400), std::chrono::milliseconds(1000)}}};

inline const ClassTimes& timesOf(const ClassTable& classes, const std::string& className) {
  return *std::find_if(classes.begin(), classes.end(),
                       [&](const ClassTimes& each) { return className == each.name; });
}

// From SIGTERM to the earliest kill: the longest client timeout, 3 s at most, and 0.7 s.
inline std::chrono::milliseconds killAfter(const ClassTable& classes) {
  std::chrono::milliseconds longest{0};
  for (const ClassTimes& each : classes) longest = std::max(longest, each.clientTimeout);
  return std::min(longest, std::chrono::milliseconds(3000)) + std::chrono::milliseconds(700);
}

}  // namespace cairnjunction::soak

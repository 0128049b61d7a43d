// The update interval and the gains of the exponential means that several objects share.
#pragma once

#include <chrono>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::policy {

// Interval of the updates of statistics: a few times a usual latency.
constexpr Duration kUpdateInterval = std::chrono::milliseconds(100);
// Weight of the newest value in a mean, per update: over about half a second.
constexpr double kFastGain = 0.2;
// Weight of the newest value in a mean, per update: over about ten seconds.
constexpr double kSlowGain = 0.008;
// Weight of the newest sample in a mean, per sample: over about the last 50 samples.
constexpr double kSampleGain = 0.02;

}  // namespace cairnjunction::policy

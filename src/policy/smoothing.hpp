// The update interval and the gains of the exponential means that several of the decisions share.
#pragma once

#include <chrono>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::policy {

// Statistics are updated this often: a few times of a usual answer.
constexpr Duration kUpdateInterval = std::chrono::milliseconds(100);
// Share of the newest value in a mean, per update: over about half a second.
constexpr double kFastGain = 0.2;
// Share of the newest value in a mean, per update: over about ten seconds.
constexpr double kSlowGain = 0.008;
// Share of the newest sample in a mean, per sample: over about the last fifty samples.
constexpr double kSampleGain = 0.02;

}  // namespace cairnjunction::policy

#include "policy/traffic_rates.hpp"

#include <algorithm>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

constexpr double kFullConfidenceRate =
    80;  // requests per second from which on half a second's sample is reliable

}  // namespace

TrafficRates::TrafficRates() : requestRate_(kFullConfidenceRate) {}

double TrafficRates::sampleConfidence() const {
  return std::clamp(requestRate_ / kFullConfidenceRate, 0.05, 1.0);
}

void TrafficRates::update() {
  answerRate_ += fastGain() * (answers_ / toSeconds(kUpdateInterval) - answerRate_);
  ++updateCount_;
  const double gain = std::max(kSlowGain, 1 / updateCount_);
  requestRate_ += gain * (requests_ / toSeconds(kUpdateInterval) - requestRate_);
  answers_ = 0;
  requests_ = 0;
}

}  // namespace cairnjunction::policy

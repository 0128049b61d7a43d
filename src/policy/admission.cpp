#include "policy/admission.hpp"

#include <algorithm>
#include <cmath>
#include <string>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

constexpr double kLimitShareOfObjective =
    0.45;  // at the limit the mean time in flight has this share of the objective
constexpr double kInFlightThreshold = 0.5;   // share of the limit up to which nothing is rejected
constexpr double kInFlightGain = 0.05;       // per arrival: over about the last twenty
constexpr double kInFlightUpdateGain = 0.5;  // per update: with few arrivals a past burst would linger
// What one of many gateways has in flight is a small count that swings by its square root, and the cubic
// would turn the swing into rejections. With little confidence the full cutoff comes later, and its beginning
// earlier.
constexpr double kUnsureRange = 0.5;    // of the limit
constexpr double kUnsureEarlier = 0.1;  // of the limit
// The outcome `overloaded` is the first sign of an overload, and endpoints stay slow for long after one. So
// the limit is reduced by kOverloadEase times the share of such outcomes, by kOverloadEaseMost at most.
constexpr double kOverloadEase = 4;
constexpr double kOverloadEaseMost = 0.5;
// Attempts in flight to one endpoint, of all gateways together, that the limit allows during the first
// kInitialUpdates updates after this gateway's start, when nothing has been measured.
constexpr double kInitialPerEndpoint = 6;
// The same after that: the limit never falls below this. After a burst nearly everything is rejected and
// endpoints are idle; a limit that followed the few answers would never grow back.
constexpr double kLeastPerEndpoint = 4;
constexpr int kInitialUpdates = 10;  // of kUpdateInterval each
// Per update: forgotten in some minutes. When all endpoints slow down together, a limit that followed the
// sinking rate would idle them; what an endpoint had in flight while nothing was rejected stays allowed.
constexpr double kBaselineDecay = 0.001;
constexpr double kErrorThreshold =
    0.1;  // share of errors up to which nothing is rejected: a few per cent are normal
constexpr double kErrorMost = 0.7;  // share of errors at which everything is
constexpr int kLogSteps = 20;       // of the cutoff: a line is logged when it passes a multiple

}  // namespace

double AdmissionController::inFlightLimit(Timestamp now) const {
  const double count = static_cast<double>(std::max<std::size_t>(endpoints_.reachableCount(), 1));
  const double ease = 1 - std::min(kOverloadEase * overloads_ / outcomes_, kOverloadEaseMost);
  const bool starting = now - startedAt_ < kInitialUpdates * kUpdateInterval;
  const double perEndpoint = starting
                                 ? kInitialPerEndpoint / settings_.gatewayCount
                                 : std::max(kLeastPerEndpoint / settings_.gatewayCount, baselineInFlight_);
  const double carried = rates_.answerRate() * classes_.meanObjective() * kLimitShareOfObjective;
  const double bound = settings_.maxInFlight > 0 ? settings_.maxInFlight : HUGE_VAL;
  return std::min(ease * std::max(carried, perEndpoint * count), bound);
}

double AdmissionController::errorOverload() const {
  double outcomes = kPriorOutcomes;
  double errors = 0;
  for (const EndpointId id : endpoints_.listed()) {
    const Endpoint& endpoint = endpoints_[id];
    if (!endpoint.inService()) continue;
    outcomes += endpoint.outlier.outcomes;
    errors += endpoint.outlier.errors;
  }
  return (errors / outcomes - kErrorThreshold) / (kErrorMost - kErrorThreshold);
}

void AdmissionController::updateCutoff(Timestamp now) {
  const double unsure = 1 - rates_.sampleConfidence();
  const double inFlightOverload =
      (smoothedInFlight_ / inFlightLimit(now) - kInFlightThreshold + kUnsureEarlier * unsure) /
      (1 - kInFlightThreshold + kUnsureRange * unsure);
  const double overload = std::clamp(std::max(inFlightOverload, errorOverload_), 0.0, 1.0);
  cutoff_ = 100 * overload * overload * overload;
}

void AdmissionController::recordArrival(Timestamp now) {
  const double gain = std::sqrt(rates_.sampleConfidence());
  smoothedInFlight_ += (endpoints_.inFlight() - smoothedInFlight_) * kInFlightGain * gain;
  updateCutoff(now);
}

void AdmissionController::update(Timestamp now) {
  baselineInFlight_ *= 1 - kBaselineDecay;
  if (isCalm() && endpoints_.reachableCount() > 0)
    baselineInFlight_ =
        std::max(baselineInFlight_, smoothedInFlight_ / static_cast<double>(endpoints_.reachableCount()));
  overloads_ *= 1 - kFastGain;
  outcomes_ += kFastGain * (kPriorOutcomes - outcomes_);
  errorOverload_ = errorOverload();
  const double confidence = rates_.sampleConfidence();
  smoothedInFlight_ +=
      (endpoints_.inFlight() - smoothedInFlight_) * kInFlightUpdateGain * confidence * confidence;
  updateCutoff(now);
  logCutoff(now);
}

void AdmissionController::logCutoff(Timestamp now) {
  const int step = static_cast<int>(cutoff_ / kLogSteps);
  if (step == loggedStep_ || !actions_.mayLog(now)) return;
  loggedStep_ = step;
  actions_.log(now, "cutoff " + std::to_string(static_cast<int>(cutoff_)) + " inflight max " +
                        std::to_string(static_cast<int>(inFlightLimit(now))) + " error overload " +
                        std::to_string(errorOverload_));
}

}  // namespace cairnjunction::policy

#include "policy/admission.hpp"

#include <algorithm>
#include <cmath>
#include <string>

#include "common/numeric.hpp"

namespace cairnjunction::policy {
namespace {

constexpr double kTimeInFlightPerObjective =
    0.45;  // mean time in flight at the limit, as a fraction of the objective
constexpr double kInFlightThreshold = 0.5;  // fraction of the limit up to which nothing is rejected
constexpr double kInFlightGain = 0.05;      // per arrival: over about the last 20
constexpr double kInFlightUpdateGain =
    0.5;  // per update: if only arrivals were sampled, few arrivals would keep a past burst in the mean
// A gateway that is one of many has few attempts in flight, a count that fluctuates by its square root; the
// cubic function would turn the fluctuation into rejections. At low sample confidence the range from the
// threshold to the full cutoff is therefore longer, and the threshold lower.
constexpr double kLowConfidenceRangeIncrease = 0.5;       // of the limit
constexpr double kLowConfidenceThresholdReduction = 0.1;  // of the limit
// The outcome `overloaded` is the first sign of an overload, and endpoints stay slow long after one. The
// limit is therefore reduced by kLimitReductionFactor times the fraction of such outcomes, at most by
// kMaxLimitReduction.
constexpr double kLimitReductionFactor = 4;
constexpr double kMaxLimitReduction = 0.5;
// Attempts in flight per endpoint, summed over all gateways, that the limit allows during the first
// kInitialUpdates updates after this gateway's start, before anything has been measured.
constexpr double kInitialInFlightPerEndpoint = 6;
// The lower bound of the limit after that, also per endpoint. After a burst nearly everything is rejected and
// endpoints are idle; a limit that followed the few answers would never recover.
constexpr double kMinInFlightPerEndpoint = 4;
constexpr int kInitialUpdates = 10;  // of kUpdateInterval each
// Per update: the baseline decays within minutes. When all endpoints slow down together, a limit that
// followed the falling rate of answers would leave them idle; the in-flight count per endpoint from before
// the rejections stays allowed.
constexpr double kBaselineDecay = 0.001;
constexpr double kErrorRateThreshold =
    0.1;  // error rate up to which nothing is rejected: a few per cent are normal
constexpr double kFullCutoffErrorRate = 0.7;  // error rate at which everything is rejected
constexpr int kCutoffLogStep = 20;            // a line is logged when the cutoff passes a multiple of this

}  // namespace

double AdmissionController::inFlightLimit(Timestamp now) const {
  const double count = static_cast<double>(std::max<std::size_t>(endpoints_.reachableCount(), 1));
  const double limitFactor = 1 - std::min(kLimitReductionFactor * overloads_ / outcomes_, kMaxLimitReduction);
  const bool starting = now - startedAt_ < kInitialUpdates * kUpdateInterval;
  const double perEndpoint =
      starting ? kInitialInFlightPerEndpoint / settings_.gatewayCount
               : std::max(kMinInFlightPerEndpoint / settings_.gatewayCount, baselineInFlight_);
  const double inFlightByRate = rates_.answerRate() * classes_.meanObjective() * kTimeInFlightPerObjective;
  const double bound = settings_.maxInFlight > 0 ? settings_.maxInFlight : HUGE_VAL;
  return std::min(limitFactor * std::max(inFlightByRate, perEndpoint * count), bound);
}

double AdmissionController::errorOverload() const {
  double outcomes = kPriorOutcomes;
  double errors = 0;
  for (const EndpointId id : endpoints_.listed()) {
    const Endpoint& endpoint = endpoints_[id];
    if (!endpoint.countsTowardsPool()) continue;
    outcomes += endpoint.outlier.outcomes;
    errors += endpoint.outlier.errors;
  }
  return (errors / outcomes - kErrorRateThreshold) / (kFullCutoffErrorRate - kErrorRateThreshold);
}

void AdmissionController::updateCutoff(Timestamp now) {
  const double uncertainty = 1 - rates_.sampleConfidence();
  const double inFlightOverload = (smoothedInFlight_ / inFlightLimit(now) - kInFlightThreshold +
                                   kLowConfidenceThresholdReduction * uncertainty) /
                                  (1 - kInFlightThreshold + kLowConfidenceRangeIncrease * uncertainty);
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
  if (hasSpareCapacity() && endpoints_.reachableCount() > 0)
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
  const int step = static_cast<int>(cutoff_ / kCutoffLogStep);
  if (step == loggedCutoffStep_ || !actions_.mayLog(now)) return;
  loggedCutoffStep_ = step;
  actions_.log(now, "cutoff " + std::to_string(static_cast<int>(cutoff_)) + " inflight max " +
                        std::to_string(static_cast<int>(inFlightLimit(now))) + " error overload " +
                        std::to_string(errorOverload_));
}

}  // namespace cairnjunction::policy

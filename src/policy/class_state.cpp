#include "policy/class_state.hpp"

#include <algorithm>

#include "common/numeric.hpp"
#include "policy/smoothing.hpp"

namespace cairnjunction::policy {
namespace {

constexpr double kSameTimeTolerance =
    0.02;  // of the client timeout: remaining times closer than this count as equal
constexpr double kBucketDecay = 0.98;  // per request: over about the last 50
constexpr double kLongerTimePreference =
    0.9;  // a bucket of longer times wins with this fraction of the count of a shorter one
constexpr double kClassFailureGain = 0.02;  // per attempt: over about the last 50
constexpr double kMaxLatencyRatio = 20;

}  // namespace

Duration ClientTimeModel::recordTimeRemaining(Duration timeRemaining, Duration clientTimeout) {
  const Duration bucketWidth = scaled(clientTimeout, kSameTimeTolerance);
  const double position = toSeconds(timeRemaining) / std::max(toSeconds(bucketWidth), 1e-9);
  const auto bucket =
      static_cast<std::size_t>(std::clamp(position, 0.0, static_cast<double>(bucketCounts_.size() - 1)));
  for (double& bucketCount : bucketCounts_) bucketCount *= kBucketDecay;
  bucketCounts_[bucket] += 1;
  const auto fullest =
      std::max_element(bucketCounts_.rbegin(), bucketCounts_.rend(),
                       [](double best, double other) { return best < kLongerTimePreference * other; });
  usualBucket_ = static_cast<std::size_t>(bucketCounts_.rend() - fullest) - 1;
  if (bucket == usualBucket_) usualTimeRemaining_ = timeRemaining;
  const bool isFirstAttempt =
      timeRemaining > usualTimeRemaining_ - bucketWidth && timeRemaining < usualTimeRemaining_ + bucketWidth;
  return isFirstAttempt ? Duration{} : std::max(clientTimeout - timeRemaining, Duration{});
}

double ClassState::recordCost(Duration expectedCost) {
  const double cost = toSeconds(expectedCost);
  if (cost <= 0) return 1;
  meanCost_ = meanCost_ > 0 ? meanCost_ + kSampleGain * (cost - meanCost_) : cost;
  return std::clamp(cost / meanCost_, 0.2, 5.0);
}

Duration ClassState::lateAllowance() const {
  const Duration objective = settings_.latencyObjective;
  return scaled(std::min(clientTime_.usualTimeRemaining() - objective, objective),
                settings_.lateValueFraction);
}

double ClassState::latencyRatio(double seconds, double costRatio) const {
  return std::min(seconds / (typicalLatency_ * costRatio), kMaxLatencyRatio);
}

double ClassState::recordLatency(double seconds, double costRatio) {
  const double atMeanCost = seconds / costRatio;
  if (typicalLatency_ <= 0) typicalLatency_ = atMeanCost;
  const double ratio = latencyRatio(seconds, costRatio);
  typicalLatency_ += kSampleGain * (atMeanCost - typicalLatency_);
  return ratio;
}

Duration ClassState::typicalDuration(double costRatio) const {
  return scaled(std::chrono::seconds(1), typicalLatency_ * costRatio);
}

void ClassState::recordOutcome(bool failed) {
  failureRate_ += kClassFailureGain * ((failed ? 1.0 : 0.0) - failureRate_);
}

ClassTable::ClassTable(const std::vector<ClassSettings>& settings) {
  for (const ClassSettings& each : settings) {
    classes_.emplace_back(each);
    meanObjective_ += toSeconds(each.latencyObjective) / static_cast<double>(settings.size());
  }
  ClassSettings unknown = settings.front();
  unknown.name = "unknown";
  unknown.idempotency = Idempotency::unsafe;
  unknown.priorityWeight = 0;
  classes_.emplace_back(std::move(unknown));
}

std::uint32_t ClassTable::indexOf(std::uint32_t classIndex) const {
  return classIndex < unknownIndex() ? classIndex : unknownIndex();
}

std::vector<std::size_t> ClassTable::reconfigure(const std::vector<ClassSettings>& settings) {
  const std::vector<ClassState> before = std::move(classes_);
  const std::size_t unknownBefore = before.size() - 1;
  const auto isNamed = [&](std::size_t index, const std::string& name) {
    return index < unknownBefore && before[index].settings().name == name;
  };
  std::vector<std::size_t> origins;
  classes_.clear();
  for (std::size_t i = 0; i < settings.size(); ++i) {
    std::size_t origin = kNoClass;
    if (isNamed(i, settings[i].name)) {
      origin = i;
    } else {
      for (std::size_t j = 0; j < unknownBefore; ++j)
        if (isNamed(j, settings[i].name)) origin = j;
    }
    if (origin == kNoClass) {
      classes_.emplace_back(settings[i]);
    } else {
      classes_.push_back(before[origin]);
      classes_.back().setSettings(settings[i]);
    }
    origins.push_back(origin);
  }
  classes_.push_back(before[unknownBefore]);
  origins.push_back(unknownBefore);
  return origins;
}

void ClassTable::recordArrival(std::uint32_t index, double costRatio) {
  const ClassState& state = classes_[index];
  const Duration objective = state.settings().latencyObjective + state.lateAllowance();
  meanObjective_ += kSampleGain * (toSeconds(objective) - meanObjective_);
  if (state.typicalLatency() <= 0) return;
  const double gain = meanWork_ > 0 ? kSampleGain : 1.0;
  meanWork_ += gain * (state.typicalLatency() * costRatio - meanWork_);
}

double ClassTable::relativeWork(std::uint32_t index, double costRatio) const {
  if (meanWork_ <= 0) return 1;
  return std::clamp(classes_[index].typicalLatency() * costRatio / meanWork_, 0.1, 10.0);
}

void ClassTable::update() {
  double sum = 0;
  double count = 0;
  for (const ClassState& state : classes_) {
    if (state.typicalLatency() <= 0) continue;
    sum += state.typicalLatency();
    count += 1;
  }
  meanTypicalLatency_ = count > 0 ? sum / count : 0;
}

}  // namespace cairnjunction::policy

// State of each request class: its settings and the statistics of its traffic.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::policy {

// Estimates from a request's remaining time how much of its total wait the client has spent on earlier
// requests of its own (client retries). Assumes that all first requests of a class arrive with the same
// remaining time, and client retries with what is left of the total wait: first requests then share one value
// (the mode, usualTimeRemaining()), and client retries scatter below it. A median would fail: once client
// retries outnumber first requests, first requests would look late, be rejected and be retried, and the
// overload would sustain itself. The assumption does not hold for clients whose timeouts differ widely.
class ClientTimeModel {
 public:
  // Records a request's remaining time and returns how long its client has waited before; zero for a first
  // request. `clientTimeout`: as in ClassSettings.
  Duration recordTimeRemaining(Duration timeRemaining, Duration clientTimeout);
  // Remaining time of a first request; zero before the first record.
  Duration usualTimeRemaining() const { return usualTimeRemaining_; }

 private:
  static constexpr std::size_t kTimeBuckets = 64;

  Duration usualTimeRemaining_{};
  std::size_t usualBucket_ = 0;
  std::array<double, kTimeBuckets>
      bucketCounts_{};  // requests by remaining time; decays over about the last 50
};

// Settings and statistics of one class.
class ClassState {
 public:
  explicit ClassState(ClassSettings settings) : settings_(std::move(settings)) {}

  const ClassSettings& settings() const { return settings_; }
  // Keeps the statistics.
  void setSettings(ClassSettings settings) { settings_ = std::move(settings); }

  // Records a request's expected cost (zero: unknown) and returns its cost ratio, that is the cost as a
  // multiple of the class's mean: 0.2 to 5, or 1 if unknown.
  double recordCost(Duration expectedCost);
  // Records a request's remaining time; returns how long its client has waited before, see ClientTimeModel.
  Duration recordTimeRemaining(Duration timeRemaining) {
    return clientTime_.recordTimeRemaining(timeRemaining, settings_.clientTimeout);
  }
  // Extra time beyond the objective for classes whose late answers have a value: the time until the client
  // times out, but at most the objective, times lateValueFraction.
  Duration lateAllowance() const;

  // Records an answer that took `seconds`; returns its latencyRatio against the previous typical latency.
  double recordLatency(double seconds, double costRatio);
  // `seconds` as a multiple of the typical latency for a request of this cost ratio: at most 20, to limit the
  // effect of a single answer. Requires typicalLatency() above zero.
  double latencyRatio(double seconds, double costRatio) const;
  // Typical latency in seconds of a request of mean cost; zero before the first answer.
  double typicalLatency() const { return typicalLatency_; }
  // Typical latency of a request of this cost ratio.
  Duration typicalDuration(double costRatio) const;

  // Records whether an attempt at any endpoint failed.
  void recordOutcome(bool failed);
  // Fraction of failed attempts at all endpoints, over about the last 50.
  double failureRate() const { return failureRate_; }

 private:
  ClassSettings settings_;
  double typicalLatency_ = 0;  // seconds
  double meanCost_ = 0;        // seconds; zero before the first request with a known cost
  double failureRate_ = 0;
  ClientTimeModel clientTime_;
};

// All classes by index, and means of the recent traffic over all classes. The last entry stands for requests
// of an unknown class: they are unsafe to repeat and have priority weight 0.
class ClassTable {
 public:
  static constexpr std::size_t kNoClass = SIZE_MAX;  // see reconfigure

  explicit ClassTable(const std::vector<ClassSettings>& settings);

  // The index of the entry for requests with this class index: unknownIndex() if it is out of range.
  std::uint32_t indexOf(std::uint32_t classIndex) const;
  std::uint32_t unknownIndex() const { return static_cast<std::uint32_t>(classes_.size() - 1); }
  ClassState& operator[](std::size_t index) { return classes_[index]; }
  const ClassState& operator[](std::size_t index) const { return classes_[index]; }
  std::size_t size() const { return classes_.size(); }
  auto begin() const { return classes_.begin(); }
  auto end() const { return classes_.end(); }

  // Replaces the settings. Classes keep their statistics by name. Returns, for each new index including that
  // of the unknown class at the end, the old index of the same class, or kNoClass for a new one.
  std::vector<std::size_t> reconfigure(const std::vector<ClassSettings>& settings);

  // Records the arrival of a request, for the means of the recent traffic.
  void recordArrival(std::uint32_t index, double costRatio);
  // Mean latency objective of the recent traffic, in seconds, including ClassState::lateAllowance.
  double meanObjective() const { return meanObjective_; }
  // Typical latency of a request as a multiple of the mean of the recent traffic: 0.1 to 10; 1 before the
  // first answer.
  double relativeWork(std::uint32_t index, double costRatio) const;

  // Updates meanTypicalLatency; must be called once every kUpdateInterval.
  void update();
  // Mean typical latency, in seconds, of the classes that have had answers, as of the last update; zero if
  // none has.
  double meanTypicalLatency() const { return meanTypicalLatency_; }

 private:
  std::vector<ClassState> classes_;  // those of the settings, then the unknown class
  double meanObjective_ = 0;         // seconds
  double meanWork_ = 0;              // seconds of typical latency; zero before the first answer
  double meanTypicalLatency_ = 0;    // seconds
};

}  // namespace cairnjunction::policy

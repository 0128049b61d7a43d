// What is known of each class of requests: its settings, and what its traffic has shown.
#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::policy {

// Estimates, from the time that a request has left, how much of its total wait the client has spent on
// earlier tries. It assumes that all first tries of a class have the same time left, and later tries what
// remains of the total wait: so first tries share one value (the mode, `usualTime`), and later ones scatter.
// A median would fail: once later tries outnumber first ones, first tries would look late, be
// rejected and be sent again, and the overload would sustain itself. Clients whose timeouts differ widely
// break the assumption.
class ClientTimeModel {
 public:
  // Notes a request's remaining time and returns what its client has spent before; zero for a first try.
  Duration recordTimeRemaining(Duration timeRemaining, Duration clientTimeout);
  // What a first try has; zero until a request was seen.
  Duration usualTime() const { return usualTime_; }

 private:
  static constexpr std::size_t kTimeBuckets = 64;

  Duration usualTime_{};
  std::size_t usualBucket_ = 0;
  std::array<double, kTimeBuckets> seen_{};  // requests by remaining time, decayed: over about the last fifty
};

class ClassState {
 public:
  explicit ClassState(ClassSettings settings) : settings_(std::move(settings)) {}

  const ClassSettings& settings() const { return settings_; }
  // What was learned stays.
  void setSettings(ClassSettings settings) { settings_ = std::move(settings); }

  // Notes a request's expected cost (zero: not known) and returns it as a multiple of the class's mean: 0.2
  // to 5.
  double recordCost(Duration expectedCost);
  // Notes the time that a request's client still waits; returns how long it has waited on earlier tries.
  Duration recordTimeRemaining(Duration timeRemaining) {
    return clientTime_.recordTimeRemaining(timeRemaining, settings_.clientTimeout);
  }
  // The time that counts beyond the objective where late answers still have value: by their share of it.
  Duration lateAllowance() const;

  // Notes an answer that took `seconds`; returns its latencyRatio before that.
  double recordLatency(double seconds, double costRatio);
  // `seconds` as a multiple of what is typical for a request of this cost ratio: up to 20, which is what a
  // single answer counts for at most. To be asked only where typicalLatency is above zero.
  double latencyRatio(double seconds, double costRatio) const;
  // Seconds for a request of mean cost; zero until the first answer.
  double typicalLatency() const { return typicalLatency_; }
  // How long a request of this cost ratio typically takes.
  Duration typicalDuration(double costRatio) const;

  // Notes whether an attempt at any endpoint failed.
  void recordOutcome(bool failed);
  // Share of failed attempts over all endpoints, over about the last fifty.
  double failureRate() const { return failureRate_; }

 private:
  ClassSettings settings_;
  double typicalLatency_ = 0;  // seconds
  double meanCost_ = 0;        // seconds; zero until a request named its cost
  double failureRate_ = 0;
  ClientTimeModel clientTime_;
};

// All classes by index, and means over the classes of the recent traffic. The last one stands for requests of
// an unknown class: they are never repeated and have the lowest priority weight.
class ClassTable {
 public:
  static constexpr std::size_t kNoClass = SIZE_MAX;

  explicit ClassTable(const std::vector<ClassSettings>& settings);

  // The index at which a request of this class index is kept.
  std::uint32_t indexOf(std::uint32_t classIndex) const;
  std::uint32_t unknownIndex() const { return static_cast<std::uint32_t>(classes_.size() - 1); }
  ClassState& operator[](std::size_t index) { return classes_[index]; }
  const ClassState& operator[](std::size_t index) const { return classes_[index]; }
  std::size_t size() const { return classes_.size(); }
  auto begin() const { return classes_.begin(); }
  auto end() const { return classes_.end(); }

  // Takes new settings; what was learned of a class goes with its name. Returns for each new index, the
  // unknown class's last, the old index of the same class, or kNoClass.
  std::vector<std::size_t> reconfigure(const std::vector<ClassSettings>& settings);

  // Notes an arrival, for the means over the recent traffic.
  void recordArrival(std::uint32_t index, double costRatio);
  // Seconds in which a request of the recent traffic is to be answered, in the mean.
  double meanObjective() const { return meanObjective_; }
  // The work of a request against the mean of the recent traffic: 0.1 to 10.
  double relativeWork(std::uint32_t index, double costRatio) const;

  // Updates meanTypicalLatency; to be called once every kUpdateInterval.
  void update();
  // Seconds, over the classes of which answers were seen, as of the last update; zero without one.
  double meanTypicalLatency() const { return meanTypicalLatency_; }

 private:
  std::vector<ClassState> classes_;  // those of the settings, then the unknown one
  double meanObjective_ = 0;         // seconds
  double meanWork_ = 0;              // seconds of typical latency; zero until an answer was seen
  double meanTypicalLatency_ = 0;    // seconds
};

}  // namespace cairnjunction::policy

// Admission control: computes the cutoff, the priority score below which requests are rejected on arrival.
#pragma once

#include "policy/action_queue.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/traffic_rates.hpp"

namespace cairnjunction::policy {

// The cutoff is 100 x^3, where x, from 0 to 1, is the larger of two overloads of the pool:
// - in-flight overload: attempts in flight as a fraction of the in-flight limit, which is the highest number
//   with which answers still meet their objective. By Little's law the mean time in flight is the number in
//   flight divided by the rate of answers; so the limit is proportional to that rate times the latency
//   objective;
// - error overload: the fraction of attempts that failed or were answered as overloaded.
// Both are zero up to a threshold.
class AdmissionController {
 public:
  // All references must outlive this object. `now`: start of this gateway.
  AdmissionController(const Settings& settings, const TrafficRates& rates, const ClassTable& classes,
                      const EndpointTable& endpoints, ActionQueue& actions, Timestamp now)
      : settings_(settings),
        rates_(rates),
        classes_(classes),
        endpoints_(endpoints),
        actions_(actions),
        startedAt_(now) {}

  // A request has arrived: samples the number in flight and updates the cutoff.
  void recordArrival(Timestamp now);
  // Counts an outcome. Must be called for the same attempts as OutlierDetector::recordOutcome.
  void recordOutcome() { outcomes_ += 1; }
  // That outcome was `overloaded`. Call it in addition to recordOutcome, but not for an endpoint that is
  // OutlierDetector::isPersistentlyOverloaded. `weight`: the endpoint's success weight for the class, 0 to 1.
  void recordOverload(double weight) { overloads_ += weight; }
  // Must be called once every kUpdateInterval, after TrafficRates::update.
  void update(Timestamp now);

  // 0 to 100: requests with a lower priority score are rejected.
  double cutoff() const { return cutoff_; }
  // Whether almost nothing is rejected, so that the pool has capacity for hedges and attempts that are likely
  // to be late.
  bool hasSpareCapacity() const { return cutoff_ <= 1; }

 private:
  double inFlightLimit(Timestamp now) const;
  double errorOverload() const;
  void updateCutoff(Timestamp now);
  void logCutoff(Timestamp now);

  const Settings& settings_;
  const TrafficRates& rates_;
  const ClassTable& classes_;
  const EndpointTable& endpoints_;
  ActionQueue& actions_;
  Timestamp startedAt_;
  double cutoff_ = 0;
  double smoothedInFlight_ = 0;
  double baselineInFlight_ = 0;       // highest per endpoint while almost nothing is rejected; decays slowly
  double errorOverload_ = 0;          // as of the last update; negative below the threshold
  double overloads_ = 0;              // decayed and weighted count
  double outcomes_ = kPriorOutcomes;  // decayed count
  int loggedCutoffStep_ = 0;          // cutoff in steps of kCutoffLogStep, as last logged

  // Attempts assumed to have succeeded, so that a few failures alone do not count as an overload.
  static constexpr double kPriorOutcomes = 10;
};

}  // namespace cairnjunction::policy

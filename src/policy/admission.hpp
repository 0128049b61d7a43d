// Admission: the cutoff on priority scores below which requests are rejected unsent.
#pragma once

#include "policy/action_queue.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/traffic_rates.hpp"

namespace cairnjunction::policy {

// The cutoff is 100 x^3, where x, from 0 to 1, is the larger of two overloads of the pool:
// - in-flight overload: attempts in flight as a share of the in-flight limit, the most with which answers
//   still come in time. By Little's law the mean time in flight is the number in flight divided by the rate
//   of answers; so the limit is proportional to the rate of answers times the latency objective;
// - error overload: the share of attempts that failed or were answered as overloaded.
// Either is zero up to its threshold.
class AdmissionController {
 public:
  // All must outlive this object.
  AdmissionController(const Settings& settings, const TrafficRates& rates, const ClassTable& classes,
                      const EndpointTable& endpoints, ActionQueue& actions, Timestamp now)
      : settings_(settings),
        rates_(rates),
        classes_(classes),
        endpoints_(endpoints),
        actions_(actions),
        startedAt_(now) {}

  // A request has come: the number in flight is sampled and the cutoff follows.
  void recordArrival(Timestamp now);
  // An attempt has had an outcome that says something of the pool.
  void recordOutcome() { outcomes_ += 1; }
  // That outcome was `overloaded`; to be called beside recordOutcome, but not for an endpoint that has been
  // overloaded for long (OutlierDetector::isOverloadedForLong). `weight`: the endpoint's success weight for
  // the class.
  void recordOverload(double weight) { overloads_ += weight; }
  // To be called once every kUpdateInterval, after the rates' own update.
  void update(Timestamp now);

  // 0 to 100: requests of a lower score are to be rejected.
  double cutoff() const { return cutoff_; }
  // Whether next to nothing is rejected, so that there is room for more than the most needful.
  bool isCalm() const { return cutoff_ <= 1; }

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
  double baselineInFlight_ = 0;       // an endpoint's, while nothing is rejected; decays slowly
  double errorOverload_ = 0;          // as of the last update; below the threshold it is negative
  double overloads_ = 0;              // decayed and weighted count
  double outcomes_ = kPriorOutcomes;  // decayed count
  int loggedStep_ = 0;                // of the cutoff, as last logged

  // Attempts that are assumed to have gone well, so that a handful of them proves nothing.
  static constexpr double kPriorOutcomes = 10;
};

}  // namespace cairnjunction::policy

// Outlier detection: endpoints that fail more than their peers are ejected for a while.
#pragma once

#include <algorithm>

#include "policy/action_queue.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/random.hpp"
#include "policy/traffic_rates.hpp"

namespace cairnjunction::policy {

// Keeps the failure rates of each endpoint, in all and by class, and its errors for the error rate of the
// pool. Endpoints are compared with their peers, so that trouble of the whole pool ejects none of them, and
// at most half of the pool is ejected. An ejected endpoint comes back on probation: one attempt decides.
class OutlierDetector {
 public:
  // All must outlive this object.
  OutlierDetector(EndpointTable& endpoints, ClassTable& classes, Random& random, ActionQueue& actions)
      : endpoints_(endpoints), classes_(classes), random_(random), actions_(actions) {}

  // Notes the outcome of an attempt that reached the endpoint or should have. To be called for outcomes that
  // say something of the endpoint: neither for cancelled, notSent and invalidRequest nor for failures of our
  // own.
  void recordOutcome(Endpoint& endpoint, std::uint32_t classIndex, const AttemptResult& result,
                     Timestamp now);
  // It answered `overloaded` so often in a row that this is a fault of its own, no sign of the pool's load.
  static bool isOverloadedForLong(const Endpoint& endpoint);

  // Part of its draws that an endpoint keeps for a class: from 1 down as it fails the class more than its
  // peers do. An endpoint may fail one class and serve the others, which its failure rate over all would
  // hide.
  double classSuccessWeight(const Endpoint& endpoint, std::uint32_t classIndex) const {
    const double ofPeers = kClassFailuresOverPeers * classes_[classIndex].failureRate();
    const double success = 1 - std::max(endpoint.outlier.classFailureRates[classIndex] - ofPeers, 0.0);
    return std::max(success * success * success, kClassWeightLeast);
  }

  // The endpoint has a new process.
  void reset(Endpoint& endpoint) const;
  // Ends ejections that are over, and ejects outliers; to be called once every kUpdateInterval.
  void update(const TrafficRates& rates, Timestamp now);

 private:
  // Times what its peers fail: more than noise in a trouble of all endpoints.
  static constexpr double kClassFailuresOverPeers = 1.5;
  // So that some requests are still sent, which tell when it is well again.
  static constexpr double kClassWeightLeast = 0.03;

  void eject(Endpoint& endpoint, const char* cause, Timestamp now);
  void endProbation(Endpoint& endpoint, bool failed, Timestamp now);

  EndpointTable& endpoints_;
  ClassTable& classes_;
  Random& random_;
  ActionQueue& actions_;
};

}  // namespace cairnjunction::policy

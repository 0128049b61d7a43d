// Outlier detection: temporarily ejects endpoints that fail more often than their peers.
#pragma once

#include <algorithm>

#include "policy/action_queue.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/random.hpp"
#include "policy/traffic_rates.hpp"

namespace cairnjunction::policy {

// Tracks the failure rates of each endpoint, overall and by class, and its errors for the error rate of the
// pool. Endpoints are compared with their peers, so that a failure of the whole pool ejects none of them, and
// at most half of the pool is ejected. After an ejection an endpoint is on probation: one attempt decides
// whether it is healthy.
class OutlierDetector {
 public:
  // All references must outlive this object.
  OutlierDetector(EndpointTable& endpoints, ClassTable& classes, Random& random, ActionQueue& actions)
      : endpoints_(endpoints), classes_(classes), random_(random), actions_(actions) {}

  // Records the outcome of an attempt. Must be called only for outcomes that are evidence about the endpoint:
  // not for cancelled, notSent and invalidRequest, nor for connectFailed with a known reason other than
  // connectTimeout.
  void recordOutcome(Endpoint& endpoint, std::uint32_t classIndex, const AttemptResult& result,
                     Timestamp now);
  // Whether the endpoint answered `overloaded` so many times in a row that this indicates a fault of its own
  // rather than the load of the pool.
  static bool isPersistentlyOverloaded(const Endpoint& endpoint);

  // Class success weight: factor on the probability that the endpoint is picked for the class, from 1 down to
  // 0.03 the more it fails the class compared with its peers. An endpoint may fail one class and serve the
  // others, which its overall failure rate would hide.
  double classSuccessWeight(const Endpoint& endpoint, std::uint32_t classIndex) const {
    const double toleratedRate = kClassFailureFactorOverPeers * classes_[classIndex].failureRate();
    const double success = 1 - std::max(endpoint.outlier.classFailureRates[classIndex] - toleratedRate, 0.0);
    return std::max(success * success * success, kMinClassSuccessWeight);
  }

  // The endpoint has a new process: resets its state and failure rates.
  void reset(Endpoint& endpoint) const;
  // Puts endpoints whose ejection has expired on probation, and ejects outliers. Must be called once every
  // kUpdateInterval.
  void update(const TrafficRates& rates, Timestamp now);

 private:
  // Tolerated multiple of the failure rate over all endpoints, so that noise during a failure of the whole
  // pool does not count.
  static constexpr double kClassFailureFactorOverPeers = 1.5;
  // Above zero, so that some requests are still sent and detect a recovery.
  static constexpr double kMinClassSuccessWeight = 0.03;

  void eject(Endpoint& endpoint, const char* cause, Timestamp now);
  void concludeProbation(Endpoint& endpoint, bool failed, Timestamp now);

  EndpointTable& endpoints_;
  ClassTable& classes_;
  Random& random_;
  ActionQueue& actions_;
};

}  // namespace cairnjunction::policy

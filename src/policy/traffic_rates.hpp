// Rates of the traffic through this gateway, and the confidence in them.
#pragma once

#include "policy/smoothing.hpp"

namespace cairnjunction::policy {

// Counts requests and answers between updates, and keeps their smoothed rates per second.
class TrafficRates {
 public:
  TrafficRates();

  // Records the arrival of a request.
  void recordRequest() { requests_ += 1; }
  // Records an answer. `weight`: its relative work times the fraction of its value, which is below 1 for a
  // late answer.
  void recordAnswer(double weight) { answers_ += weight; }
  // Updates the rates; must be called once every kUpdateInterval.
  void update();

  // Requests per second, over about ten seconds.
  double requestRate() const { return requestRate_; }
  // Weighted answers per second, over about half a second.
  double answerRate() const { return answerRate_; }
  // Sample confidence: how reliable half a second's sample of this gateway's traffic is, from 0.05 for very
  // few requests to 1.
  double sampleConfidence() const;
  // Gain per update of a mean over half a second, or longer where requests are rare, so that it covers about
  // 20 requests at least. A gateway with very few requests would otherwise react to noise.
  double fastGain() const { return kFastGain * sampleConfidence(); }

 private:
  double requests_ = 0;     // number since the last update
  double requestRate_;      // per second
  double answers_ = 0;      // weighted, since the last update
  double answerRate_ = 0;   // per second
  double updateCount_ = 0;  // until kSlowGain is reached, requestRate_ is a plain mean
};

}  // namespace cairnjunction::policy

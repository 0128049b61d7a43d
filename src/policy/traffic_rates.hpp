// Rates of the traffic through this gateway, and how far they can be relied upon.
#pragma once

#include "policy/smoothing.hpp"

namespace cairnjunction::policy {

// Counts requests and timely answers between updates, and keeps their smoothed rates a second.
class TrafficRates {
 public:
  TrafficRates();

  // Notes an arrival.
  void recordRequest() { requests_ += 1; }
  // Notes an answer by its weight: its work against the mean, times the share of its value that it earned.
  void recordAnswer(double weight) { answers_ += weight; }
  // Updates the rates; to be called once every kUpdateInterval.
  void update();

  // Requests a second, over about ten seconds.
  double requestRate() const { return requestRate_; }
  // Weighted timely answers a second, over about half a second.
  double answerRate() const { return answerRate_; }
  // How steady half a second's sample of this gateway's traffic is: from 0.05 for a trickle to 1.
  double sampleConfidence() const;
  // Gain per update of a mean over half a second that reaches back further where requests are rare: over some
  // twenty of them at least. A gateway with a trickle of requests would otherwise act on noise.
  double fastGain() const { return kFastGain * sampleConfidence(); }

 private:
  double requests_ = 0;     // since the last update
  double requestRate_;      // a second
  double answers_ = 0;      // weighted, since the last update
  double answerRate_ = 0;   // a second
  double updateCount_ = 0;  // the first updates form a plain mean
};

}  // namespace cairnjunction::policy

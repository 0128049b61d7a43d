// Priority score: the rank of a request's priority weight within the recent traffic.
#pragma once

#include <vector>

#include "policy/random.hpp"

namespace cairnjunction::policy {

// Ranks priority weights from 1 to 100, so that a cutoff of c rejects about c per cent of the traffic.
class PriorityScorer {
 public:
  // Counts a request of this priority weight and returns its score. A draw spreads the requests of one weight
  // over the band of ranks that they hold together: equal weights share the rejections, and a higher weight
  // is never rejected before a lower one.
  double score(double priorityWeight, Random& random);

  // Lets the traffic of the past fade, over about ten seconds; to be called once every kUpdateInterval.
  void update();

 private:
  struct Level {
    double priorityWeight = 0;
    double requests = 0;  // decayed count
  };

  std::vector<Level> levels_;  // by rising weight; weights that differ by less than 0.1 % are one level
};

}  // namespace cairnjunction::policy

// Priority score: the rank of a request's priority weight within the recent traffic.
#pragma once

#include <vector>

#include "policy/random.hpp"

namespace cairnjunction::policy {

// Maps priority weights to scores from 1 to 100 by rank, so that a cutoff of c rejects about c per cent of
// the traffic.
class PriorityScorer {
 public:
  // Counts a request of this priority weight (0 or more) and returns its score. A random draw spreads the
  // requests of one weight evenly over their range of ranks: equal weights share the rejections, and a higher
  // weight is never rejected before a lower one.
  double score(double priorityWeight, Random& random);

  // Decays the counts of past traffic, over about ten seconds; must be called once every kUpdateInterval.
  void update();

 private:
  struct Level {
    double priorityWeight = 0;
    double requests = 0;  // decayed count
  };

  std::vector<Level> levels_;  // in ascending order; weights that differ by less than 0.1 % share a level
};

}  // namespace cairnjunction::policy

#include "policy/priority_score.hpp"

#include <cstddef>

#include "policy/smoothing.hpp"

namespace cairnjunction::policy {

double PriorityScorer::score(double priorityWeight, Random& random) {
  std::size_t rank = 0;
  while (rank < levels_.size() && levels_[rank].priorityWeight < priorityWeight * 0.999) ++rank;
  if (rank == levels_.size() || levels_[rank].priorityWeight > priorityWeight * 1.001 + 1e-12)
    levels_.insert(levels_.begin() + static_cast<std::ptrdiff_t>(rank), Level{priorityWeight, 0});
  levels_[rank].requests += 1;
  double below = 0;
  double total = 0;
  for (std::size_t i = 0; i < levels_.size(); ++i) {
    total += levels_[i].requests;
    if (i < rank) below += levels_[i].requests;
  }
  return 1 + 99 * (below + random.unit() * levels_[rank].requests) / total;
}

void PriorityScorer::update() {
  for (Level& level : levels_) level.requests *= 1 - kSlowGain;
  std::erase_if(levels_, [](const Level& level) { return level.requests < 0.01; });
}

}  // namespace cairnjunction::policy

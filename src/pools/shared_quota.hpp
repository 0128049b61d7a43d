// A quota that several pools share so that none of them can exhaust it: each is guaranteed a part, and the
// rest is borrowed by whoever comes first. No I/O.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace cairnjunction::pools {

class SharedQuota {
 public:
  // Half of `total` is divided evenly among `pools` as their guaranteed parts. A single pool has all of it.
  SharedQuota(std::uint64_t total, std::size_t pools)
      : guaranteed_(pools > 1 ? total / (2 * pools) : total),
        shared_(total - guaranteed_ * pools),
        held_(pools, 0) {}

  // False, and nothing is acquired, if less than `amount` is left for this pool.
  bool acquire(std::size_t pool, std::uint64_t amount) {
    const std::uint64_t before = borrowedPart(held_[pool]), after = borrowedPart(held_[pool] + amount);
    if (borrowed_ + (after - before) > shared_) return false;
    borrowed_ += after - before;
    held_[pool] += amount;
    return true;
  }
  // Returns a part of what acquire() gave.
  void release(std::size_t pool, std::uint64_t amount) {
    const std::uint64_t left = held_[pool] - std::min(amount, held_[pool]);
    borrowed_ -= borrowedPart(held_[pool]) - borrowedPart(left);
    held_[pool] = left;
  }
  std::uint64_t held(std::size_t pool) const { return held_[pool]; }
  std::uint64_t guaranteed() const { return guaranteed_; }

 private:
  std::uint64_t borrowedPart(std::uint64_t held) const { return held > guaranteed_ ? held - guaranteed_ : 0; }

  std::uint64_t guaranteed_;         // for each pool
  std::uint64_t shared_;             // beyond the guaranteed parts of all
  std::uint64_t borrowed_ = 0;       // of shared_, by all pools; never more than it
  std::vector<std::uint64_t> held_;  // by pool
};

}  // namespace cairnjunction::pools

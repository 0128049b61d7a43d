// A quota shared by several pools, of which none can exhaust it: each pool has a guaranteed part, and the
// rest is borrowed first come, first served. Does no I/O.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace cairnjunction::pools {

class SharedQuota {
 public:
  // Divides half of `total` evenly among the `pools` as their guaranteed parts. A single pool is guaranteed
  // all of it.
  SharedQuota(std::uint64_t total, std::size_t pools)
      : guaranteed_(pools > 1 ? total / (2 * pools) : total),
        shared_(total - guaranteed_ * pools),
        acquired_(pools, 0) {}

  // Returns false, and acquires nothing, if less than `amount` is available to the pool.
  bool acquire(std::size_t pool, std::uint64_t amount) {
    const std::uint64_t before = borrowedPart(acquired_[pool]);
    const std::uint64_t after = borrowedPart(acquired_[pool] + amount);
    if (borrowed_ + (after - before) > shared_) return false;
    borrowed_ += after - before;
    acquired_[pool] += amount;
    return true;
  }
  // Releases up to `amount` of what the pool has acquired.
  void release(std::size_t pool, std::uint64_t amount) {
    const std::uint64_t remaining = acquired_[pool] - std::min(amount, acquired_[pool]);
    borrowed_ -= borrowedPart(acquired_[pool]) - borrowedPart(remaining);
    acquired_[pool] = remaining;
  }
  // The amount that the pool has acquired.
  std::uint64_t acquiredBy(std::size_t pool) const { return acquired_[pool]; }
  // The guaranteed part of each pool.
  std::uint64_t guaranteed() const { return guaranteed_; }

 private:
  std::uint64_t borrowedPart(std::uint64_t acquired) const {
    return acquired > guaranteed_ ? acquired - guaranteed_ : 0;
  }

  std::uint64_t guaranteed_;             // part of each pool
  std::uint64_t shared_;                 // total without the guaranteed parts
  std::uint64_t borrowed_ = 0;           // by all pools; at most shared_
  std::vector<std::uint64_t> acquired_;  // acquired amount, by pool
};

}  // namespace cairnjunction::pools

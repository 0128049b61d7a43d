// A bound that several pools share, such that none of them can take it all: each is sure of a part, and what
// is beyond these parts goes to whoever comes first. No I/O.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace cairnjunction::pools {

class SharedQuota {
 public:
  // Of `total` each of `pools` is sure of an equal part of one half. With one pool it is all its own.
  SharedQuota(std::uint64_t total, std::size_t pools)
      : sure_(pools > 1 ? total / (2 * pools) : total), common_(total - sure_ * pools), held_(pools, 0) {}

  // False, and nothing is taken, if there is not so much left for this pool.
  bool take(std::size_t pool, std::uint64_t amount) {
    const std::uint64_t before = beyond(held_[pool]), after = beyond(held_[pool] + amount);
    if (taken_ + (after - before) > common_) return false;
    taken_ += after - before;
    held_[pool] += amount;
    return true;
  }
  // Of what was taken.
  void give(std::size_t pool, std::uint64_t amount) {
    const std::uint64_t left = held_[pool] - std::min(amount, held_[pool]);
    taken_ -= beyond(held_[pool]) - beyond(left);
    held_[pool] = left;
  }
  std::uint64_t held(std::size_t pool) const { return held_[pool]; }
  std::uint64_t sure() const { return sure_; }

 private:
  std::uint64_t beyond(std::uint64_t held) const { return held > sure_ ? held - sure_ : 0; }

  std::uint64_t sure_, common_, taken_ = 0;
  std::vector<std::uint64_t> held_;
};

}  // namespace cairnjunction::pools

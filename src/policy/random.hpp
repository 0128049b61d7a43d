// Seeded random draws.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>

namespace cairnjunction::policy {

// Random draws that are the same for one seed on every platform. The distributions of the standard library
// are not used because they differ between its implementations.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // Uniform in [0, 1).
  double unit() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }

  // Uniform in [0, count); `count` must be above 0.
  std::size_t below(std::size_t count) {
    return static_cast<std::size_t>(unit() * static_cast<double>(count));
  }

 private:
  std::mt19937_64 engine_;
};

}  // namespace cairnjunction::policy

// Exponential backoff with jitter.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace cairnjunction {

// Draws durations. Each gateway has its own seed: gateways that see the same event must not act in one
// moment.
class RandomDuration {
 public:
  using Milliseconds = std::chrono::milliseconds;

  RandomDuration() : RandomDuration(std::random_device{}()) {}
  explicit RandomDuration(std::uint32_t seed) : engine_(seed) {}

  // Uniform from `min` to `max`, both included; `min` if there is nothing between.
  Milliseconds between(Milliseconds min, Milliseconds max);

 private:
  std::minstd_rand engine_;
};

// The pauses between attempts of one operation. Discovery works through one call at a time, and all gateways
// see its failure at the same moment: so pauses grow, and each is drawn.
class RetryBackoff {
 public:
  using Milliseconds = std::chrono::milliseconds;

  // Pauses around `initial`, doubled with each failure up to `max`.
  RetryBackoff(Milliseconds initial, Milliseconds max) : initial_(initial), max_(max) {}

  // The pause after one more failure: from half to one and a half of the backoff.
  Milliseconds next(RandomDuration& random);
  void reset() { failures_ = 0; }

 private:
  Milliseconds initial_;
  Milliseconds max_;
  int failures_ = 0;  // in a row, since reset()
};

}  // namespace cairnjunction

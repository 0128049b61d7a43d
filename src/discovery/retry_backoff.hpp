// Exponential backoff with jitter.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace cairnjunction {

// Draws random durations. Each gateway has its own seed, so that gateways that see the same event do not act
// at the same moment.
class RandomDuration {
 public:
  using Milliseconds = std::chrono::milliseconds;

  RandomDuration() : RandomDuration(std::random_device{}()) {}
  explicit RandomDuration(std::uint32_t seed) : engine_(seed) {}

  // Uniformly distributed from `min` to `max`, both inclusive; `min` if `max` is not greater.
  Milliseconds between(Milliseconds min, Milliseconds max);

 private:
  std::minstd_rand engine_;
};

// The delays between attempts of one operation. Discovery handles one call at a time, and all gateways see
// its failure at the same moment, so the delays grow and are random.
class RetryBackoff {
 public:
  using Milliseconds = std::chrono::milliseconds;

  // The backoff is `initial` after the first failure, and doubles with each further failure up to `max`.
  RetryBackoff(Milliseconds initial, Milliseconds max) : initial_(initial), max_(max) {}

  // Counts a failure and returns the delay before the next attempt: a random duration from 0.5 to 1.5 times
  // the backoff.
  Milliseconds next(RandomDuration& random);
  void reset() { failures_ = 0; }

 private:
  Milliseconds initial_;
  Milliseconds max_;
  int failures_ = 0;  // since the last reset()
};

}  // namespace cairnjunction

// Tells a host that takes a large request slowly from a silent one, by the bytes of it that the host's system
// has acknowledged. Does no I/O and reads no clock.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>

namespace cairnjunction {

class RequestProgress {
 public:
  using Time = std::chrono::steady_clock::time_point;

  // The request is about to be written. It has to be taken, or its response to begin, by `limit`.
  void begin(Time now, Time limit) {
    taken_ = 0;
    hasBaseline_ = false;
    lastTakenAt_.reset();
    baselineUntil_ = now + std::min<std::chrono::steady_clock::duration>(kBaselineTime, (limit - now) / 2);
  }
  // So many bytes have been taken since begin().
  void sample(Time now, std::size_t takenBytes) {
    if (hasBaseline_ && takenBytes > taken_) lastTakenAt_ = now;
    taken_ = std::max(taken_, takenBytes);
    hasBaseline_ = hasBaseline_ || now >= baselineUntil_;
  }
  // Whether the host reads it: bytes were taken beyond the baseline, the latest not long ago.
  bool isBeingTaken(Time now) const { return lastTakenAt_ && now - *lastTakenAt_ <= kLongestPause; }
  // Whether the host can't answer yet: of the request, which is written whole, its system has taken a part
  // and no more. A window opens in steps, which may be further apart than the limit is away.
  bool isPartlyTaken(Time now, std::size_t writtenBytes) const {
    return taken_ > 0 && taken_ < writtenBytes &&
           now - lastTakenAt_.value_or(baselineUntil_) <= kLongestPause;
  }
  // Until then bytes are taken by the buffers of the host's system, whether its program reads or not.
  Time baselineUntil() const { return baselineUntil_; }

  // Between two samples while a part of the request is not taken.
  static constexpr std::chrono::milliseconds kSampleInterval{50};

 private:
  static constexpr std::chrono::milliseconds kBaselineTime{50};
  // A window opens in steps of up to a whole buffer, so there are pauses while the host reads all the time.
  static constexpr std::chrono::milliseconds kLongestPause{2500};

  std::size_t taken_ = 0;
  bool hasBaseline_ = false;  // taken_ was sampled when the host's system had taken what it does at once
  std::optional<Time> lastTakenAt_;  // beyond the baseline; empty: never
  Time baselineUntil_{};
};

}  // namespace cairnjunction

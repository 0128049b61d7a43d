// The owner's side of one key: how long it may act, by its own clock and without asking anybody.
//
// Its lease counts from before it asked: the keepers can't have begun to count earlier. So by a clock that
// runs through sleep, and is off by no more than the stated drift, it stops before the lease can have ended
// on the log.
#pragma once

#include <cstdint>
#include <optional>

#include "lease/lease.hpp"

namespace cairnjunction::lease {

class HeldLease {
 public:
  // The keepers answered what was asked at `askedAt` (the member's clock, read before the question was
  // written). An answer of an older epoch, or to an older question, changes nothing.
  void granted(Epoch epoch, Sequence sequence, BootTime askedAt, Duration lease) {
    if (epoch < epoch_) return;
    if (epoch > epoch_) {
      epoch_ = epoch;
      sequence_ = sequence;
      until_ = BootTime{};
      over_ = false;
    }
    const BootTime until = askedAt + lease - lease / kDriftPart;
    if (until <= until_ || over_) return;
    until_ = until;
  }
  // Given back, taken away, or found to be somebody else's. Only another epoch begins it anew.
  void end() { over_ = true; }

  bool isValid(BootTime now) const { return epoch_ > 0 && !over_ && now < until_; }
  bool held() const { return epoch_ > 0 && !over_; }  // as far as it knows; mayAct says whether it counts
  BootTime until() const { return until_; }
  Epoch epoch() const { return epoch_; }
  Sequence sequence() const { return sequence_; }  // of the last order

  // The name of the next order, or none if it may not act any more.
  std::optional<FencingToken> nextToken(const LeaseKey& key, const Member& self, BootTime now) {
    if (!isValid(now)) return std::nullopt;
    return FencingToken{key, epoch_, ++sequence_, self};
  }

 private:
  Epoch epoch_ = 0;
  Sequence sequence_ = 0;
  BootTime until_{};
  bool over_ = false;
};

}  // namespace cairnjunction::lease

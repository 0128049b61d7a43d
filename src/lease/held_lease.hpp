// The holder's side of one key: until when it may act, by its own clock and without asking anybody.
//
// Its lease counts from before it asked for it, and the coordinators can't have begun to count earlier. So by
// a clock that runs through sleep, and is off by no more than kClockDriftDivisor says, it stops before the
// lease can have ended on the log.
#pragma once

#include <optional>

#include "lease/lease.hpp"

namespace cairnjunction::lease {

class HeldLease {
 public:
  // The coordinators answered what was asked at `askedAt`, read before the question was written. An answer of
  // an older epoch, or to an older question, changes nothing.
  void granted(Epoch epoch, Sequence sequence, BootTime askedAt, Duration leaseDuration) {
    if (epoch < epoch_) return;
    if (epoch > epoch_) begin(epoch, sequence);
    const BootTime validUntil = askedAt + leaseDuration - leaseDuration / kClockDriftDivisor;
    if (!ended_ && validUntil > validUntil_) validUntil_ = validUntil;
  }
  // Given back, revoked, or granted to another member. Only another epoch begins it anew.
  void end() { ended_ = true; }

  // The member may act for the key.
  bool isValid(BootTime now) const { return held() && now < validUntil_; }
  // Granted and not ended; isValid says whether it still counts.
  bool held() const { return epoch_ > 0 && !ended_; }
  BootTime until() const { return validUntil_; }
  Epoch epoch() const { return epoch_; }
  Sequence sequence() const { return sequence_; }  // of the last command

  // The token of the next command; none if the member may not act any more.
  std::optional<FencingToken> nextToken(const LeaseKey& key, const Member& self, BootTime now) {
    if (!isValid(now)) return std::nullopt;
    return FencingToken{key, epoch_, ++sequence_, self};
  }

 private:
  void begin(Epoch epoch, Sequence sequence) {
    epoch_ = epoch;
    sequence_ = sequence;
    validUntil_ = {};
    ended_ = false;
  }

  Epoch epoch_ = 0;        // the highest that was granted; 0: none yet
  Sequence sequence_ = 0;  // only grows within an epoch
  BootTime validUntil_{};  // only grows within an epoch
  bool ended_ = false;     // of this epoch, for good
};

}  // namespace cairnjunction::lease

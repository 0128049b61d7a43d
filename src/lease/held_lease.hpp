// A holder's view of its lease on one key. The holder decides by its own clock, without asking a coordinator,
// until when it may act.
//
// The holder counts the lease from a time before it sent its request, so the coordinators can't have started
// to count earlier. Its clock also runs while the machine sleeps, and drifts by no more than
// kClockDriftDivisor says. So the holder stops before the lease ends on the log.
#pragma once

#include <optional>

#include "lease/lease.hpp"

namespace cairnjunction::lease {

class HeldLease {
 public:
  // Records a grant or renewal. `requestSentAt` was read before the request was sent. A response of an
  // older epoch, or to an older request, changes nothing.
  void recordGrant(Epoch epoch, Sequence sequence, BootTime requestSentAt, Duration leaseDuration) {
    if (epoch < epoch_) return;
    if (epoch > epoch_) begin(epoch, sequence);
    const BootTime validUntil = requestSentAt + leaseDuration - leaseDuration / kClockDriftDivisor;
    if (!ended_ && validUntil > validUntil_) validUntil_ = validUntil;
  }
  // The lease was released, revoked or granted to another member. Only a grant with a newer epoch starts it
  // again.
  void end() { ended_ = true; }

  // Whether the member may act for the key.
  bool isValid(BootTime now) const { return isHeld() && now < validUntil_; }
  // Whether the lease was granted and not ended by end(). It may have expired: see isValid().
  bool isHeld() const { return epoch_ > 0 && !ended_; }
  BootTime validUntil() const { return validUntil_; }
  Epoch epoch() const { return epoch_; }
  Sequence sequence() const { return sequence_; }  // of the last command

  // The token of the next command; empty if the member may not act.
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

  Epoch epoch_ = 0;        // the highest granted; 0: none yet
  Sequence sequence_ = 0;  // never decreases within an epoch
  BootTime validUntil_{};  // never decreases within an epoch
  bool ended_ = false;     // end() was called in this epoch
};

}  // namespace cairnjunction::lease

// The receiver's check of fencing tokens, which every command of the fleet must pass before it has an effect.
// The gate stores the highest epoch and sequence that it admitted for each key, and rejects older commands.
// So a holder whose lease has ended can do no harm, even if it has not noticed yet.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

#include "lease/lease.hpp"

namespace cairnjunction::lease {

enum class FencingResult : std::uint8_t {
  accepted,           // newer than all admitted commands of the key: it may take effect
  notReady,           // raiseMarks() was not called yet, so a stale epoch can't be recognized
  staleEpoch,         // the key was granted again since: the sender is no longer its holder
  staleSequence,      // a duplicate, or overtaken by a later command of the same holder
  conflictingHolder,  // a second sender under one epoch: since an epoch has one holder, one of them is faulty
  tooManyKeys         // the key has no mark yet, and kMaxKeys keys have one
};
// For logs.
std::string_view nameOf(FencingResult result);

class FencingGate {
 public:
  static constexpr std::size_t kMaxKeys = 1024;  // the limit of the lease table

  // The last known command of one key.
  struct FencingMark {
    Epoch epoch = 0;        // the highest known
    Sequence sequence = 0;  // the highest known of that epoch
    Member holder;          // sender of the last command; empty name: the mark is from a coordinator
    // The mark to start from if the last command may have had no effect here (after a restart, or when
    // joining late): the gate then admits that command once more, but none before it.
    FencingMark withoutLastCommand() const { return {epoch, sequence > 0 ? sequence - 1 : 0, holder}; }
    bool operator==(const FencingMark&) const = default;
  };

  // Merges marks from the receiver's disk, or from a coordinator after joining. A mark never decreases. No
  // command is admitted before the first call. Stops at the first new key once kMaxKeys keys have a mark.
  void raiseMarks(const std::map<LeaseKey, FencingMark>& marks);

  // Decides whether the command may take effect, and if so advances the key's mark. The caller must store the
  // mark before the effect, or call rollBack() if that fails.
  FencingResult admit(const FencingToken& token);

  // Restores marks that were read earlier. Commands admitted since then had no effect, and can be admitted
  // again.
  void rollBack(const std::map<LeaseKey, FencingMark>& marks) { marks_ = marks; }

  bool ready() const { return ready_; }
  const std::map<LeaseKey, FencingMark>& marks() const { return marks_; }
  std::uint64_t rejectedCount() const { return rejectedCount_; }  // commands whose result was not `accepted`
  bool operator==(const FencingGate&) const = default;

 private:
  FencingResult check(const FencingToken& token) const;

  bool ready_ = false;                     // raiseMarks() was called
  std::map<LeaseKey, FencingMark> marks_;  // at most kMaxKeys; a mark decreases only by rollBack()
  std::uint64_t rejectedCount_ = 0;
};

}  // namespace cairnjunction::lease

// The receiver's side: the one gate that every command on behalf of the fleet passes before it has any
// effect. It keeps the highest epoch and sequence of each key that it admitted, and rejects what is older. So
// a holder whose lease has ended does no harm, also if it has not noticed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>

#include "lease/lease.hpp"

namespace cairnjunction::lease {

enum class FencingResult : std::uint8_t {
  accepted,           // newer than all that was admitted of the key: it may have its effect
  notReady,           // learn() was not called yet, so an older epoch could not be told from a newer one
  staleEpoch,         // the key was granted anew since: the sender is no longer its holder
  staleSequence,      // a copy, or overtaken by a later command of the same holder
  conflictingHolder,  // a second sender under one epoch; the coordinators grant none, so one of the two is
                      // faulty
  tooManyKeys         // of a key that is not kept yet, with kKeysMost kept
};
std::string_view nameOf(FencingResult result);

class FencingGate {
 public:
  static constexpr std::size_t kKeysMost = 1024;  // as many as the lease table has

  // How far one key has come.
  struct FencingMark {
    Epoch epoch = 0;        // the highest that is known
    Sequence sequence = 0;  // the highest of that epoch
    Member holder;          // who sent the last command; no name: known from the coordinators only
    // The mark to start from when the last command may have had no effect here (after a restart or a late
    // join): that command is admitted once more, and none before it.
    FencingMark withoutLastCommand() const { return {epoch, sequence > 0 ? sequence - 1 : 0, holder}; }
    bool operator==(const FencingMark&) const = default;
  };

  // How far the fleet has come, from the receiver's disk or from a coordinator after it joined. Commands are
  // admitted after the first call. Marks only grow.
  void learn(const std::map<LeaseKey, FencingMark>& marks);

  // Whether the command may have its effect. Moves the mark if so: it is to be stored before the effect, or
  // rolled back if that fails.
  FencingResult admit(const FencingToken& token);

  // Back to `marks`: what was admitted since they were read had no effect, and may come again.
  void rollBack(const std::map<LeaseKey, FencingMark>& marks) { marks_ = marks; }

  bool ready() const { return ready_; }
  const std::map<LeaseKey, FencingMark>& marks() const { return marks_; }
  std::uint64_t rejectedCount() const { return rejectedCount_; }  // all results but `accepted`
  bool operator==(const FencingGate&) const = default;

 private:
  FencingResult compare(const FencingToken& token) const;

  bool ready_ = false;                     // learn() was called
  std::map<LeaseKey, FencingMark> marks_;  // at most kKeysMost; an entry only grows, but for rollBack
  std::uint64_t rejectedCount_ = 0;
};

}  // namespace cairnjunction::lease

// Guards a follower against two faults of the consensus library (0.15) in what leaders send it.
//
// - A leader without a snapshot sends a voter that is far behind its entries from 1 on. The voter may have
//   dropped the first of them behind a snapshot; the library does not look, and appends them at the end of
//   its log under wrong numbers. Here entries that are applied already are taken off the message.
// - The library answers each message that it accepts with the last entry that it has, also with entries of an
//   earlier leader that were not compared. The leader then takes its own entries of these numbers for written
//   here, and may commit what nobody else has. Here the answer ends with the last entry that was compared.
#pragma once

#include <optional>

#include "consensus/raft_library.hpp"

namespace cairnjunction::consensus {

class AppendEntriesGuard {
 public:
  // `voter` must outlive the guard.
  explicit AppendEntriesGuard(const raft& voter) : voter_(voter) {}

  // Before the library is given the message, which stays the receiver's.
  void beginReceiving(raft_append_entries& message);
  // The library has returned from it.
  void endReceiving() { comparedIndex_.reset(); }
  // What the library is about to answer. An answer that follows a write later is right as it is: behind
  // entries that are appended there are no others.
  void limitResult(raft_append_entries_result& result) const;

 private:
  void removeAppliedEntries(raft_append_entries& message) const;

  const raft& voter_;
  // Up to it a message that is being received compares this voter's entries with its leader's.
  std::optional<raft_index> comparedIndex_;
};

}  // namespace cairnjunction::consensus

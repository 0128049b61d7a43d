// Works around two faults of the consensus library (0.15) in how a follower handles append-entries messages.
//
// - A leader without a snapshot sends a voter that is far behind all its entries, from index 1 on. The voter
//   may have removed the first of them after a snapshot. The library does not check this and appends them at
//   the end of its log under wrong indexes. The guard removes entries that are applied already from the
//   message.
// - The library answers each message that it accepts with the index of its last entry, even if the entries up
//   to there come from an earlier leader and were not compared with the message. The leader then counts its
//   own entries at these indexes as written here, and may commit entries that no other voter has. The guard
//   limits the answer to the last entry that was compared.
#pragma once

#include <optional>

#include "consensus/raft_library.hpp"

namespace cairnjunction::consensus {

class AppendEntriesGuard {
 public:
  // `voter` must outlive the guard.
  explicit AppendEntriesGuard(const raft& voter) : voter_(voter) {}

  // Call before a message is passed to the library. Removes applied entries from `message` and frees them if
  // none are left; the receiver still owns the message.
  void beginReceiving(raft_append_entries& message);
  // Call after the library has returned from handling the message.
  void endReceiving() { comparedIndex_.reset(); }
  // Call with the result that the library is about to send. Only a result sent between beginReceiving() and
  // endReceiving() is limited. A result sent later, after a write, needs no limit: the appended entries are
  // the last ones of the log.
  void limitResult(raft_append_entries_result& result) const;

 private:
  void removeAppliedEntries(raft_append_entries& message) const;

  const raft& voter_;
  // Index of the last entry that is compared with the leader's by the message being received; empty: no
  // message is being received.
  std::optional<raft_index> comparedIndex_;
};

}  // namespace cairnjunction::consensus

// Guards a follower against a fault of the consensus library (0.15): a leader without a snapshot sends a
// voter that is far behind its entries from 1 on. The voter may have dropped the first of them behind a
// snapshot; the library does not look, and appends them at the end of its log under wrong numbers. Here
// entries that are applied already are taken off the message.
#pragma once

#include "consensus/raft_library.hpp"

namespace cairnjunction::consensus {

class AppendEntriesGuard {
 public:
  // `voter` must outlive the guard.
  explicit AppendEntriesGuard(const raft& voter) : voter_(voter) {}

  // Before the library is given the message, which stays the receiver's.
  void beginReceiving(raft_append_entries& message) const;

 private:
  void removeAppliedEntries(raft_append_entries& message) const;

  const raft& voter_;
};

}  // namespace cairnjunction::consensus

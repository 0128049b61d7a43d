// What the consensus library keeps on a disk, as the types of LogStore, and back.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/log_store.hpp"
#include "consensus/raft_library.hpp"

namespace cairnjunction::consensus {

// Entries `first` and following.
std::vector<StoredEntry> toStoredEntries(raft_index first, const raft_entry* entries, std::size_t count);
StoredSnapshot toStoredSnapshot(const raft_snapshot& snapshot);

// Entries in the library's memory, which is its own once it has them; null for none. Throws std::bad_alloc.
raft_entry* toRaftEntries(const std::vector<StoredEntry>& entries);
void freeRaftEntries(raft_entry* entries, std::size_t count);

struct RaftSnapshotDeleter {
  void operator()(raft_snapshot* snapshot) const;
};
// In the library's memory, to be released to it.
using RaftSnapshotPtr = std::unique_ptr<raft_snapshot, RaftSnapshotDeleter>;
// Throws std::bad_alloc, and std::invalid_argument where the voters can't be read.
RaftSnapshotPtr toRaftSnapshot(const StoredSnapshot& snapshot);

}  // namespace cairnjunction::consensus

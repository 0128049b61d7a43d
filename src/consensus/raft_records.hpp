// Converts entries and snapshots between the consensus library's types and those of LogStore.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "consensus/log_store.hpp"
#include "consensus/raft_library.hpp"

namespace cairnjunction::consensus {

// Copies `count` entries, of which the first one has the index `first`.
std::vector<StoredEntry> toStoredEntries(raft_index first, const raft_entry* entries, std::size_t count);
StoredSnapshot toStoredSnapshot(const raft_snapshot& snapshot);

// Returns a copy in memory from the library's allocator, or null for no entries. The caller passes it to the
// library, which then owns it, or frees it with freeRaftEntries. Throws std::bad_alloc.
raft_entry* toRaftEntries(const std::vector<StoredEntry>& entries);
void freeRaftEntries(raft_entry* entries, std::size_t count);

struct RaftSnapshotDeleter {
  void operator()(raft_snapshot* snapshot) const;
};
// A snapshot in memory from the library's allocator. To pass it to the library, call release().
using RaftSnapshotPtr = std::unique_ptr<raft_snapshot, RaftSnapshotDeleter>;
// Throws std::bad_alloc, and std::invalid_argument if the configuration can't be decoded.
RaftSnapshotPtr toRaftSnapshot(const StoredSnapshot& snapshot);

}  // namespace cairnjunction::consensus

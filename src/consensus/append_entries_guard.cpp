#include "consensus/append_entries_guard.hpp"

#include <algorithm>
#include <cstddef>

namespace cairnjunction::consensus {
namespace {

// Returns the term of an entry; 0 if the entry is not in memory, because it was removed or not received yet.
raft_term termOf(const raft_log& log, raft_index index) {
  if (index == log.snapshot.last_index) return log.snapshot.last_term;
  if (log.size == 0 || index <= log.offset) return 0;
  const std::size_t count = (log.back + log.size - log.front) % log.size;
  if (index - log.offset > count) return 0;
  return log.entries[(log.front + (index - log.offset - 1)) % log.size].term;
}

}  // namespace

void AppendEntriesGuard::beginReceiving(raft_append_entries& message) {
  if (message.term >= voter_.current_term) removeAppliedEntries(message);
  comparedIndex_ = message.prev_log_index + message.n_entries;
}

// The sender is the leader of this term or a later one, so it has all entries that are applied here.
void AppendEntriesGuard::removeAppliedEntries(raft_append_entries& message) const {
  const raft_index applied = voter_.last_applied;
  const raft_term appliedTerm = termOf(voter_.log, applied);
  if (message.prev_log_index >= applied || appliedTerm == 0) return;
  const auto removed =
      static_cast<unsigned>(std::min<raft_index>(applied - message.prev_log_index, message.n_entries));
  message.prev_log_index = applied;
  message.prev_log_term = appliedTerm;
  message.n_entries -= removed;
  if (message.n_entries > 0) {
    std::copy_n(message.entries + removed, message.n_entries, message.entries);
  } else if (removed > 0) {
    raft_free(message.entries[0].batch);
    raft_free(message.entries);
    message.entries = nullptr;
  }
}

void AppendEntriesGuard::limitResult(raft_append_entries_result& result) const {
  if (comparedIndex_ && result.rejected == 0)
    result.last_log_index = std::min(result.last_log_index, *comparedIndex_);
}

}  // namespace cairnjunction::consensus

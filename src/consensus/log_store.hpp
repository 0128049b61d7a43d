// A voter's durable state: its term and vote, the log entries, and the last snapshot. They are in one SQLite
// database. Changes that belong together are written in one transaction, so a crash or a failing disk leaves
// all of them or none. Each row has a checksum, and gaps are detected, so a damaged log is never mistaken for
// a shorter one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "consensus/replicated_log.hpp"
#include "consensus/sqlite.hpp"

namespace cairnjunction::consensus {

struct StoredVote {
  std::uint64_t term = 0;       // 0: a new log
  std::uint64_t candidate = 0;  // number of the voter that got this one's vote in the term; 0: none
  bool operator==(const StoredVote&) const = default;
};

struct StoredEntry {
  std::uint64_t index = 0;  // from 1
  std::uint64_t term = 0;
  std::uint64_t type = 0;  // of the library: RAFT_COMMAND, RAFT_BARRIER or RAFT_CHANGE
  std::string data;
  bool operator==(const StoredEntry&) const = default;
};

struct StoredSnapshot {
  std::uint64_t index = 0;               // of the last entry that the snapshot covers
  std::uint64_t term = 0;                // of that entry
  std::uint64_t configurationIndex = 0;  // of the entry with the configuration
  std::string configuration;             // the voters as of `index`, encoded by the caller
  std::string data;                      // the state machine's state
  bool operator==(const StoredSnapshot&) const = default;
};

struct StoredLog {
  StoredVote vote;
  std::optional<StoredSnapshot> snapshot;
  // Consecutive. They start at index 1 without a snapshot, and otherwise no later than directly after it.
  std::vector<StoredEntry> entries;
  bool isNew() const { return vote.term == 0 && !snapshot && entries.empty(); }
};

// Replaces the stored term and vote.
struct SaveVote {
  StoredVote vote;
};
struct AppendEntries {
  std::vector<StoredEntry> entries;
};
struct RemoveEntries {
  std::uint64_t first = 0;  // index; this entry and all later ones are removed
};
// Replaces the stored snapshot.
struct SaveSnapshot {
  // As `firstKept`: removes all entries. SQLite's largest integer.
  static constexpr std::uint64_t kKeepNone = std::numeric_limits<std::int64_t>::max();
  StoredSnapshot snapshot;
  std::uint64_t firstKept = 0;  // index; entries before it are removed
};
using LogWrite = std::variant<SaveVote, AppendEntries, RemoveEntries, SaveSnapshot>;

struct StoreError {
  std::string text;        // with the file's path
  bool isDamaged = false;  // the database is damaged, so a retry can't succeed
};

// Not thread-safe: calls must not overlap.
class LogStore {
 public:
  // Opens the log in an existing folder, or creates one. `checkpointBytes`: size of the write-ahead log at
  // which it is written back to the database file. Throws LogError, also if the database file is damaged.
  LogStore(const std::string& folder, std::size_t checkpointBytes);

  // Reads the whole log. Throws LogError if it can't be read, or if anything is damaged or missing.
  StoredLog load();
  // Applies all writes in this order, in one transaction. Blocks for the disk. Returns the error, after which
  // none of them is applied.
  std::optional<StoreError> write(const std::vector<const LogWrite*>& writes);
  // Reads the snapshot and verifies its checksum; returns nothing if there is none. Throws LogError.
  std::optional<StoredSnapshot> readSnapshot();

 private:
  void openDatabase();
  void createTables();
  StoredVote readVote();
  std::vector<StoredEntry> readEntries();
  void requireContiguous(const StoredLog& log) const;
  void limitWriteAheadLog();
  [[noreturn]] void throwDamaged(const std::string& what) const;

  void apply(const SaveVote& write);
  void apply(const AppendEntries& write);
  void apply(const RemoveEntries& write);
  void apply(const SaveSnapshot& write);

  const std::string path_;
  const std::size_t checkpointBytes_;
  std::optional<SqliteDatabase> database_;
};

}  // namespace cairnjunction::consensus

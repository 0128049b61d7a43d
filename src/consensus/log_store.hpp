// What a voter keeps on its disk: its term and vote, the entries of the log, and the last snapshot. They are
// in one database, and what belongs together is written in one transaction: a crash, or a disk that fails,
// leaves all of it or nothing. Each row has a checksum, and a log that is damaged is never taken for a
// shorter one.
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
  std::uint64_t candidate = 0;  // voted for in this term; 0: none
  bool operator==(const StoredVote&) const = default;
};

struct StoredEntry {
  std::uint64_t index = 0;  // from 1
  std::uint64_t term = 0;
  std::uint64_t type = 0;  // the consensus library's
  std::string data;
  bool operator==(const StoredEntry&) const = default;
};

struct StoredSnapshot {
  std::uint64_t index = 0;  // of the last entry that it stands for
  std::uint64_t term = 0;   // of that entry
  std::uint64_t configurationIndex = 0;
  std::string configuration;  // the voters as of that entry, encoded by whoever calls
  std::string data;           // the state machine's
  bool operator==(const StoredSnapshot&) const = default;
};

struct StoredLog {
  StoredVote vote;
  std::optional<StoredSnapshot> snapshot;
  std::vector<StoredEntry>
      entries;  // consecutive; without a snapshot from 1, else from one behind it at most
  bool isNew() const { return vote.term == 0 && !snapshot && entries.empty(); }
};

struct SaveVote {
  StoredVote vote;
};
struct AppendEntries {
  std::vector<StoredEntry> entries;
};
struct RemoveEntries {
  std::uint64_t first = 0;  // and all behind it
};
// In place of the former snapshot.
struct SaveSnapshot {
  static constexpr std::uint64_t kKeepNone = std::numeric_limits<std::int64_t>::max();
  StoredSnapshot snapshot;
  std::uint64_t firstKept = 0;  // entries before it are removed
};
using LogWrite = std::variant<SaveVote, AppendEntries, RemoveEntries, SaveSnapshot>;

struct StoreError {
  std::string text;        // with the file's name
  bool isDamaged = false;  // no use in trying again
};

class LogStore {
 public:
  // Opens the log in a folder, or begins one. `checkpointBytes`: of the write-ahead log, before it is written
  // to the database file. Throws LogError, also where the database file is damaged.
  LogStore(const std::string& folder, std::size_t checkpointBytes);

  // Throws LogError where something is damaged or missing.
  StoredLog load();
  // All of them in this order, or none. Blocks for the disk.
  std::optional<StoreError> write(const std::vector<const LogWrite*>& writes);
  // The snapshot, read back and checked. Throws LogError; nothing: there is none.
  std::optional<StoredSnapshot> readSnapshot();

 private:
  void openDatabase();
  void createTables();
  StoredVote readVote();
  std::vector<StoredEntry> readEntries();
  void requireUnbroken(const StoredLog& log) const;
  void limitWriteAheadLog();
  [[noreturn]] void failDamaged(const std::string& what) const;

  void apply(const SaveVote& write);
  void apply(const AppendEntries& write);
  void apply(const RemoveEntries& write);
  void apply(const SaveSnapshot& write);

  const std::string path_;
  const std::size_t checkpointBytes_;
  std::optional<SqliteDatabase> database_;
};

}  // namespace cairnjunction::consensus

#include "consensus/log_store.hpp"

#include <sqlite3.h>

#include <boost/crc.hpp>
#include <initializer_list>
#include <string_view>

namespace cairnjunction::consensus {
namespace {

constexpr const char* kFileName = "/raft.db";
constexpr const char* kFormat = "1";  // stored as user_version; 0 is a new database
// Bound of the write-ahead log while checkpoints fail, as a multiple of `checkpointBytes`.
constexpr std::size_t kMaxWriteAheadFactor = 16;

std::uint64_t checksumOf(std::initializer_list<std::uint64_t> numbers,
                         std::initializer_list<std::string_view> texts) {
  boost::crc_32_type crc;
  for (const std::uint64_t number : numbers)
    for (unsigned shift = 0; shift < 64; shift += 8)
      crc.process_byte(static_cast<unsigned char>(number >> shift));
  for (const std::string_view text : texts) crc.process_bytes(text.data(), text.size());
  return crc.checksum();
}

std::uint64_t checksumOf(const StoredVote& vote) { return checksumOf({vote.term, vote.candidate}, {}); }

std::uint64_t checksumOf(const StoredEntry& entry) {
  return checksumOf({entry.index, entry.term, entry.type}, {entry.data});
}

std::uint64_t checksumOf(const StoredSnapshot& snapshot) {
  return checksumOf(
      {snapshot.index, snapshot.term, snapshot.configurationIndex, snapshot.configuration.size()},
      {snapshot.configuration, snapshot.data});
}

bool isDamage(const SqliteError& error) {
  switch (error.code) {
    case SQLITE_CORRUPT:
    case SQLITE_NOTADB:
    case SQLITE_CONSTRAINT:
    case SQLITE_MISUSE:
    case SQLITE_MISMATCH: return true;
    default: return false;
  }
}

}  // namespace

// --- Opening and reading ----------------------------------------------------------------------------------

LogStore::LogStore(const std::string& folder, std::size_t checkpointBytes)
    : path_(folder + kFileName), checkpointBytes_(checkpointBytes) {
  try {
    openDatabase();
  } catch (const SqliteError& error) {
    throw LogError(path_ + ": " + error.what());
  }
}

void LogStore::openDatabase() {
  database_.emplace(path_);
  const std::string check = database_->queryText("PRAGMA quick_check(1)");
  if (check != "ok") throwDamaged(check);
  const std::string format = database_->queryText("PRAGMA user_version");
  if (format == "0") return createTables();
  if (format != kFormat) throw LogError(path_ + ": format " + format + ", expected " + kFormat);
}

void LogStore::createTables() {
  database_->transact([this] {
    database_->execute(
        "CREATE TABLE vote(id INTEGER PRIMARY KEY CHECK(id=1), term INTEGER, candidate INTEGER, checksum "
        "INTEGER);"
        "CREATE TABLE entry(idx INTEGER PRIMARY KEY, term INTEGER, type INTEGER, data BLOB, checksum "
        "INTEGER);"
        "CREATE TABLE snapshot(id INTEGER PRIMARY KEY CHECK(id=1), idx INTEGER, term INTEGER,"
        " configuration_index INTEGER, configuration BLOB, data BLOB, checksum INTEGER);");
    database_->execute((std::string("PRAGMA user_version=") + kFormat).c_str());
  });
}

void LogStore::throwDamaged(const std::string& what) const { throw LogError(path_ + ": damaged: " + what); }

StoredLog LogStore::load() {
  try {
    StoredLog log{readVote(), readSnapshot(), readEntries()};
    requireContiguous(log);
    return log;
  } catch (const SqliteError& error) {
    throw LogError(path_ + ": " + error.what());
  }
}

StoredVote LogStore::readVote() {
  SqliteStatement row = database_->prepare("SELECT term, candidate, checksum FROM vote");
  if (!row.step()) return {};
  const StoredVote vote{row.integer(0), row.integer(1)};
  if (row.integer(2) != checksumOf(vote)) throwDamaged("checksum of the vote");
  return vote;
}

std::vector<StoredEntry> LogStore::readEntries() {
  std::vector<StoredEntry> entries;
  SqliteStatement rows = database_->prepare("SELECT idx, term, type, data, checksum FROM entry ORDER BY idx");
  while (rows.step()) {
    const StoredEntry& entry =
        entries.emplace_back(StoredEntry{rows.integer(0), rows.integer(1), rows.integer(2), rows.blob(3)});
    if (rows.integer(4) != checksumOf(entry))
      throwDamaged("checksum of entry " + std::to_string(entry.index));
  }
  return entries;
}

std::optional<StoredSnapshot> LogStore::readSnapshot() {
  try {
    SqliteStatement row = database_->prepare(
        "SELECT idx, term, configuration_index, configuration, data, checksum FROM snapshot");
    if (!row.step()) return std::nullopt;
    StoredSnapshot snapshot{row.integer(0), row.integer(1), row.integer(2), row.blob(3), row.blob(4)};
    if (row.integer(5) != checksumOf(snapshot)) throwDamaged("checksum of the snapshot");
    return snapshot;
  } catch (const SqliteError& error) {
    throw LogError(path_ + ": " + error.what());
  }
}

// Throws if an entry between the snapshot and the last entry is missing, or the entries have a gap.
void LogStore::requireContiguous(const StoredLog& log) const {
  const std::uint64_t covered = log.snapshot ? log.snapshot->index : 0;
  if (log.vote.term == 0 && !log.isNew()) throwDamaged("the vote is missing");
  if (log.entries.empty()) return;
  const std::uint64_t first = log.entries.front().index;
  const std::uint64_t last = log.entries.back().index;
  if (first > covered + 1)
    throwDamaged("entries " + std::to_string(covered + 1) + " to " + std::to_string(first - 1) +
                 " are missing");
  if (last < covered) throwDamaged("the entries end at " + std::to_string(last) + ", before the snapshot");
  if (last - first + 1 != log.entries.size()) throwDamaged("entries are missing");
}

// --- Writing ----------------------------------------------------------------------------------------------

std::optional<StoreError> LogStore::write(const std::vector<const LogWrite*>& writes) {
  try {
    limitWriteAheadLog();
    database_->transact([&] {
      for (const LogWrite* write : writes) std::visit([this](const auto& each) { apply(each); }, *write);
    });
    return std::nullopt;
  } catch (const SqliteError& error) {
    return StoreError{path_ + ": " + error.what(), isDamage(error)};
  }
}

// A failed checkpoint is retried before the next write. Until one succeeds, the write-ahead log grows up to
// its bound, at which this throws.
void LogStore::limitWriteAheadLog() {
  if (database_->writeAheadBytes() < checkpointBytes_) return;
  try {
    database_->checkpoint();
  } catch (const SqliteError&) {
    if (database_->writeAheadBytes() >= kMaxWriteAheadFactor * checkpointBytes_) throw;
  }
}

void LogStore::apply(const SaveVote& write) {
  SqliteStatement row =
      database_->prepare("INSERT OR REPLACE INTO vote(id, term, candidate, checksum) VALUES(1, ?, ?, ?)");
  row.bind(1, write.vote.term);
  row.bind(2, write.vote.candidate);
  row.bind(3, checksumOf(write.vote));
  row.run();
}

void LogStore::apply(const AppendEntries& write) {
  SqliteStatement row =
      database_->prepare("INSERT INTO entry(idx, term, type, data, checksum) VALUES(?, ?, ?, ?, ?)");
  for (const StoredEntry& entry : write.entries) {
    row.bind(1, entry.index);
    row.bind(2, entry.term);
    row.bind(3, entry.type);
    row.bind(4, entry.data);
    row.bind(5, checksumOf(entry));
    row.run();
  }
}

void LogStore::apply(const RemoveEntries& write) {
  SqliteStatement rows = database_->prepare("DELETE FROM entry WHERE idx >= ?");
  rows.bind(1, write.first);
  rows.run();
}

void LogStore::apply(const SaveSnapshot& write) {
  SqliteStatement removed = database_->prepare("DELETE FROM entry WHERE idx < ?");
  removed.bind(1, write.firstKept);
  removed.run();
  SqliteStatement row = database_->prepare(
      "INSERT OR REPLACE INTO snapshot(id, idx, term, configuration_index, configuration, data, checksum)"
      " VALUES(1, ?, ?, ?, ?, ?, ?)");
  row.bind(1, write.snapshot.index);
  row.bind(2, write.snapshot.term);
  row.bind(3, write.snapshot.configurationIndex);
  row.bind(4, write.snapshot.configuration);
  row.bind(5, write.snapshot.data);
  row.bind(6, checksumOf(write.snapshot));
  row.run();
}

}  // namespace cairnjunction::consensus

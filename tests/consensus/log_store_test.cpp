// The voter's disk: every write is whole or not there, whichever call of the disk fails, and damage is named.
#include "consensus/log_store.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

#include "consensus/faulty_disk.hpp"
#include "consensus/former_log_files.hpp"

namespace cairnjunction::testing {

namespace files = std::filesystem;
using consensus::AppendEntries;
using consensus::LogError;
using consensus::LogStore;
using consensus::LogWrite;
using consensus::RemoveEntries;
using consensus::SaveSnapshot;
using consensus::SaveVote;
using consensus::StoredEntry;
using consensus::StoredLog;
using consensus::StoredSnapshot;

namespace {

constexpr std::size_t kCheckpointBytes = 16 << 10;  // so that the writes below come to one
constexpr int kCallsLeast = 60;                     // of the disk, that all writes make

bool sameLog(const StoredLog& one, const StoredLog& other) {
  return one.vote == other.vote && one.snapshot == other.snapshot && one.entries == other.entries;
}

StoredEntry entryAt(std::uint64_t index, std::uint64_t term) {
  return {index, term, 1, std::string(700, static_cast<char>('a' + index % 26))};
}

AppendEntries entries(std::uint64_t first, std::uint64_t count, std::uint64_t term) {
  AppendEntries made;
  for (std::uint64_t i = 0; i < count; ++i) made.entries.push_back(entryAt(first + i, term));
  return made;
}

StoredSnapshot snapshotAt(std::uint64_t index, std::uint64_t term) {
  return {index, term, 1, "voters", std::string(3000, 's')};
}

// What the writes are to come to.
struct Model {
  StoredLog log;
  void operator()(const SaveVote& write) { log.vote = write.vote; }
  void operator()(const AppendEntries& write) {
    log.entries.insert(log.entries.end(), write.entries.begin(), write.entries.end());
  }
  void operator()(const RemoveEntries& write) {
    std::erase_if(log.entries, [&](const StoredEntry& entry) { return entry.index >= write.first; });
  }
  void operator()(const SaveSnapshot& write) {
    std::erase_if(log.entries, [&](const StoredEntry& entry) { return entry.index < write.firstKept; });
    log.snapshot = write.snapshot;
  }
};

// A bootstrap, votes, appends, a removal of conflicting entries, an own snapshot, and a leader's.
std::vector<std::vector<LogWrite>> voterWrites() {
  return {{SaveVote{{1, 0}}, entries(1, 1, 1)},
          {SaveVote{{2, 1}}},
          {entries(2, 8, 2), entries(10, 4, 2)},
          {RemoveEntries{11}, entries(11, 2, 3)},
          {SaveSnapshot{snapshotAt(10, 2), 7}},
          {entries(13, 8, 3)},
          {SaveSnapshot{snapshotAt(40, 4), SaveSnapshot::kKeepNone}},
          {entries(41, 8, 4), SaveVote{{5, 2}}}};
}

std::vector<const LogWrite*> pointersTo(const std::vector<LogWrite>& writes) {
  std::vector<const LogWrite*> pointers;
  pointers.reserve(writes.size());
  for (const LogWrite& write : writes) pointers.push_back(&write);
  return pointers;
}

class LogStoreTest : public ::testing::TestWithParam<DiskFault> {
 protected:
  const std::string folder_ = ::testing::TempDir() + "log_store_" + std::to_string(::getpid());

  void SetUp() override { makeFolder(); }
  void TearDown() override {
    healDisk();
    files::remove_all(folder_);
  }
  void makeFolder() const {
    files::remove_all(folder_);
    files::create_directories(folder_);
  }
  std::string databasePath() const { return folder_ + "/raft.db"; }
  StoredLog reloaded() const { return LogStore(folder_, kCheckpointBytes).load(); }
  // All writes, without a fault.
  StoredLog writeAll() const {
    LogStore store(folder_, kCheckpointBytes);
    Model model;
    for (const auto& batch : voterWrites()) {
      EXPECT_FALSE(store.write(pointersTo(batch)));
      for (const LogWrite& write : batch) std::visit(model, write);
    }
    return model.log;
  }
  void playUntilItFails(Model& before, Model& after) const;
  std::optional<LogStore> openInTwoAttempts(int count) const;
  static void writeInThreeAttempts(LogStore& store, const std::vector<LogWrite>& batch, int count);
  void playAndTryAgain(int count, int& failedCalls) const;
};

// Up to the first write that fails: `before` and `after` it.
void LogStoreTest::playUntilItFails(Model& before, Model& after) const {
  try {
    LogStore store(folder_, kCheckpointBytes);
    for (const auto& batch : voterWrites()) {
      before = after;
      for (const LogWrite& write : batch) std::visit(after, write);
      if (store.write(pointersTo(batch))) return;
    }
    before = after;
  } catch (const LogError&) {
    EXPECT_TRUE(after.log.isNew()) << "only its opening throws";
  }
}

std::optional<LogStore> LogStoreTest::openInTwoAttempts(int count) const {
  std::optional<LogStore> store;
  try {
    store.emplace(folder_, kCheckpointBytes);
  } catch (const LogError& error) {
    EXPECT_NE(std::string(error.what()).find(folder_), std::string::npos);
    if (count == kUntilHealed) healDisk();
    store.emplace(folder_, kCheckpointBytes);
  }
  return store;
}

void LogStoreTest::writeInThreeAttempts(LogStore& store, const std::vector<LogWrite>& batch, int count) {
  for (int attempt = 0; const auto error = store.write(pointersTo(batch)); ++attempt) {
    EXPECT_FALSE(error->isDamaged) << error->text;
    ASSERT_LT(attempt, 2) << error->text;
    if (count == kUntilHealed) healDisk();
  }
}

// `count`: calls that fail each time that the disk is broken; it is healed between an attempt and the next.
void LogStoreTest::playAndTryAgain(int count, int& failedCalls) const {
  std::optional<LogStore> store = openInTwoAttempts(count);
  Model model;
  for (const auto& batch : voterWrites()) {
    for (const LogWrite& write : batch) std::visit(model, write);
    writeInThreeAttempts(*store, batch, count);
    EXPECT_TRUE(sameLog(store->load(), model.log));
  }
  store.reset();  // writes to its files as well
  failedCalls = failedDiskCalls();
  healDisk();
  EXPECT_TRUE(sameLog(reloaded(), model.log));
}

// Guards against a voter that ends by a disk that fails for a moment, or loses what it then writes again.
TEST_P(LogStoreTest, AWriteIsTriedAgainAfterAFaultAtEachCall) {
  for (const int count : {1, kUntilHealed}) {
    for (int call = 0;; ++call) {
      makeFolder();
      breakDisk(folder_, GetParam(), call, count);
      int failedCalls = 0;
      playAndTryAgain(count, failedCalls);
      ASSERT_FALSE(HasFailure()) << "call " << call;
      if (call >= kCallsLeast && failedCalls == 0) break;
    }
  }
}

// Guards against entries behind a snapshot that is not there, and against acknowledged ones that are gone,
// where the process ends with its disk.
TEST_P(LogStoreTest, AfterAFaultAtEachCallAndACrashAWriteIsThereWholeOrNot) {
  for (int call = 0;; ++call) {
    makeFolder();
    breakDisk(folder_, GetParam(), call);
    Model before, after;
    playUntilItFails(before, after);
    const int failed = failedDiskCalls();
    healDisk();
    const StoredLog found = reloaded();
    ASSERT_TRUE(sameLog(found, before.log) || sameLog(found, after.log)) << "call " << call;
    if (failed == 0) break;
  }
}

INSTANTIATE_TEST_SUITE_P(EachFault, LogStoreTest,
                         ::testing::Values(DiskFault::noSpace, DiskFault::ioError, DiskFault::shortWrite));

using LogStoreFileTest = LogStoreTest;

// Guards against a voter that votes with a log from which bytes are missing or changed.
TEST_F(LogStoreFileTest, ADamagedFileIsNamedOrReadsAsItWas) {
  const StoredLog whole = writeAll();
  std::ostringstream text;
  text << std::ifstream(databasePath(), std::ios::binary).rdbuf();
  const std::string bytes = text.str();
  int named = 0;
  for (std::size_t at = 0; at < bytes.size(); at += 61) {
    std::string damaged = bytes;
    damaged[at] = static_cast<char>(~damaged[at]);
    std::ofstream(databasePath(), std::ios::binary | std::ios::trunc) << damaged;
    try {
      ASSERT_TRUE(sameLog(reloaded(), whole)) << "byte " << at;
    } catch (const LogError& error) {
      ++named;
      ASSERT_NE(std::string(error.what()).find(databasePath()), std::string::npos) << error.what();
    }
  }
  EXPECT_GT(named, 100);
}

// Guards against a file cut off at its end.
TEST_F(LogStoreFileTest, AFileThatIsCutOffIsNamed) {
  writeAll();
  files::resize_file(databasePath(), files::file_size(databasePath()) / 2);
  EXPECT_THROW(reloaded(), LogError);
}

// Guards against two processes that vote with one log.
TEST_F(LogStoreFileTest, ASecondProcessCannotHaveIt) {
  const LogStore first(folder_, kCheckpointBytes);
  EXPECT_THROW(LogStore(folder_, kCheckpointBytes), LogError);
}

// Guards against a log that grows for as long as it is written.
TEST_F(LogStoreFileTest, FilesStayBoundedOverManySnapshots) {
  LogStore store(folder_, kCheckpointBytes);
  const LogWrite vote = SaveVote{{1, 0}};
  ASSERT_FALSE(store.write({&vote}));
  for (std::uint64_t first = 1; first < 4000; first += 16) {
    const LogWrite appended = entries(first, 16, 1);
    const LogWrite snapshot = SaveSnapshot{snapshotAt(first + 15, 1), first + 8};
    ASSERT_FALSE(store.write({&appended}));
    ASSERT_FALSE(store.write({&snapshot}));
  }
  std::uintmax_t total = 0;
  for (const auto& file : files::directory_iterator(folder_)) total += file.file_size();
  EXPECT_LT(total, 40 * kCheckpointBytes);
}

// Guards against a write-ahead log that grows without a bound where it can't be written to the database file.
TEST_F(LogStoreFileTest, WritesFailOnceTheWriteAheadLogIsAtItsBound) {
  LogStore store(folder_, kCheckpointBytes);
  const LogWrite vote = SaveVote{{1, 0}};
  ASSERT_FALSE(store.write({&vote}));
  breakFile(databasePath(), DiskFault::ioError);
  std::optional<consensus::StoreError> error;
  std::uint64_t written = 0;
  while (!error && written < 10'000) {
    const LogWrite appended = entries(written + 1, 1, 1);
    error = store.write({&appended});
    if (!error) ++written;
  }
  EXPECT_TRUE(error);
  EXPECT_LT(files::file_size(databasePath() + "-wal"), 40 * kCheckpointBytes);
  healDisk();
  const LogWrite appended = entries(written + 1, 1, 1);
  EXPECT_FALSE(store.write({&appended}));
  EXPECT_EQ(store.load().entries.size(), written + 1);
}

// Guards against an import of an earlier version's log that a full disk cut short, and that is then taken for
// the whole.
TEST_P(LogStoreTest, AnImportIsWholeOrNotThere) {
  const StoredLog former = writeAll();
  for (int call = 0;; ++call) {
    makeFolder();
    std::ofstream(folder_ + "/metadata1") << "as it was";
    breakDisk(folder_, GetParam(), call);
    bool imported = false;
    try {
      LogStore store(folder_, kCheckpointBytes);
      imported = !consensus::importFormerLog(store, former);
    } catch (const LogError&) {
      imported = false;
    }
    const int failed = failedDiskCalls();
    healDisk();
    const StoredLog found = reloaded();
    ASSERT_TRUE(sameLog(found, former) || (!imported && found.isNew())) << "call " << call;
    ASSERT_TRUE(consensus::hasFormerLogFiles(folder_));
    if (failed == 0) break;
  }
  consensus::removeFormerLogFiles(folder_);
  EXPECT_FALSE(consensus::hasFormerLogFiles(folder_));
  EXPECT_TRUE(sameLog(reloaded(), former));
}

}  // namespace
}  // namespace cairnjunction::testing

// LogStore: whichever disk call fails, a write is applied as a whole or not at all, and damage is reported.
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

constexpr std::size_t kCheckpointBytes = 16 << 10;  // small, so that the writes below cause a checkpoint
constexpr int kMinDiskCalls = 60;                   // that all writes below make at least

bool sameLog(const StoredLog& one, const StoredLog& other) {
  return one.vote == other.vote && one.snapshot == other.snapshot && one.entries == other.entries;
}

StoredEntry makeEntry(std::uint64_t index, std::uint64_t term) {
  return {index, term, 1, std::string(700, static_cast<char>('a' + index % 26))};
}

AppendEntries entries(std::uint64_t first, std::uint64_t count, std::uint64_t term) {
  AppendEntries made;
  for (std::uint64_t i = 0; i < count; ++i) made.entries.push_back(makeEntry(first + i, term));
  return made;
}

StoredSnapshot makeSnapshot(std::uint64_t index, std::uint64_t term) {
  return {index, term, 1, "voters", std::string(3000, 's')};
}

// The log that is expected after the writes passed to it.
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

// A bootstrap, votes, appends, a removal of conflicting entries, the voter's own snapshot, and a leader's.
// Each inner list is one transaction.
std::vector<std::vector<LogWrite>> voterWrites() {
  return {{SaveVote{{1, 0}}, entries(1, 1, 1)},
          {SaveVote{{2, 1}}},
          {entries(2, 8, 2), entries(10, 4, 2)},
          {RemoveEntries{11}, entries(11, 2, 3)},
          {SaveSnapshot{makeSnapshot(10, 2), 7}},
          {entries(13, 8, 3)},
          {SaveSnapshot{makeSnapshot(40, 4), SaveSnapshot::kKeepNone}},
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
  // Applies all writes without a fault; returns the expected log.
  StoredLog writeAll() const {
    LogStore store(folder_, kCheckpointBytes);
    Model model;
    for (const auto& batch : voterWrites()) {
      EXPECT_FALSE(store.write(pointersTo(batch)));
      for (const LogWrite& write : batch) std::visit(model, write);
    }
    return model.log;
  }
  void writeUntilFailure(Model& before, Model& after) const;
  std::optional<LogStore> openWithRetry(int count) const;
  static void writeWithRetries(LogStore& store, const std::vector<LogWrite>& batch, int count);
  void writeAllWithRetries(int count, int& failedCalls) const;
};

// Applies the writes up to the first one that fails. Sets the expected logs without and with that write.
void LogStoreTest::writeUntilFailure(Model& before, Model& after) const {
  try {
    LogStore store(folder_, kCheckpointBytes);
    for (const auto& batch : voterWrites()) {
      before = after;
      for (const LogWrite& write : batch) std::visit(after, write);
      if (store.write(pointersTo(batch))) return;
    }
    before = after;
  } catch (const LogError&) {
    EXPECT_TRUE(after.log.isNew()) << "only the constructor may throw";
  }
}

std::optional<LogStore> LogStoreTest::openWithRetry(int count) const {
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

void LogStoreTest::writeWithRetries(LogStore& store, const std::vector<LogWrite>& batch, int count) {
  for (int attempt = 0; const auto error = store.write(pointersTo(batch)); ++attempt) {
    EXPECT_FALSE(error->isDamaged) << error->text;
    ASSERT_LT(attempt, 2) << error->text;
    if (count == kUntilHealed) healDisk();
  }
}

// Applies all writes to a disk that is broken, with retries. `count`: number of calls that fail; with
// kUntilHealed, the disk is healed after a failed attempt.
void LogStoreTest::writeAllWithRetries(int count, int& failedCalls) const {
  std::optional<LogStore> store = openWithRetry(count);
  Model model;
  for (const auto& batch : voterWrites()) {
    for (const LogWrite& write : batch) std::visit(model, write);
    writeWithRetries(*store, batch, count);
    EXPECT_TRUE(sameLog(store->load(), model.log));
  }
  store.reset();  // closing the database writes to its files as well
  failedCalls = failedDiskCalls();
  healDisk();
  EXPECT_TRUE(sameLog(reloaded(), model.log));
}

// Guards against a voter that ends when its disk fails briefly, or that loses the writes that it retries.
TEST_P(LogStoreTest, ARetriedWriteSucceedsAfterAFaultAtAnyDiskCall) {
  for (const int count : {1, kUntilHealed}) {
    for (int call = 0;; ++call) {
      makeFolder();
      breakDisk(folder_, GetParam(), call, count);
      int failedCalls = 0;
      writeAllWithRetries(count, failedCalls);
      ASSERT_FALSE(HasFailure()) << "call " << call;
      if (call >= kMinDiskCalls && failedCalls == 0) break;
    }
  }
}

// Guards against entries that follow a missing snapshot, and against the loss of acknowledged entries, if the
// process ends when its disk fails.
TEST_P(LogStoreTest, AfterAFaultAtAnyDiskCallAndACrashAWriteIsCompleteOrAbsent) {
  for (int call = 0;; ++call) {
    makeFolder();
    breakDisk(folder_, GetParam(), call);
    Model before, after;
    writeUntilFailure(before, after);
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

// Guards against a voter that votes with a log in which bytes were changed.
TEST_F(LogStoreFileTest, ADamagedFileIsReportedOrReadUnchanged) {
  const StoredLog whole = writeAll();
  std::ostringstream text;
  text << std::ifstream(databasePath(), std::ios::binary).rdbuf();
  const std::string bytes = text.str();
  int reported = 0;
  for (std::size_t at = 0; at < bytes.size(); at += 61) {
    std::string damaged = bytes;
    damaged[at] = static_cast<char>(~damaged[at]);
    std::ofstream(databasePath(), std::ios::binary | std::ios::trunc) << damaged;
    try {
      ASSERT_TRUE(sameLog(reloaded(), whole)) << "byte " << at;
    } catch (const LogError& error) {
      ++reported;
      ASSERT_NE(std::string(error.what()).find(databasePath()), std::string::npos) << error.what();
    }
  }
  EXPECT_GT(reported, 100);
}

// Guards against a voter that votes with a truncated log.
TEST_F(LogStoreFileTest, ATruncatedFileIsReported) {
  writeAll();
  files::resize_file(databasePath(), files::file_size(databasePath()) / 2);
  EXPECT_THROW(reloaded(), LogError);
}

// Guards against two processes that vote with the same log.
TEST_F(LogStoreFileTest, ASecondOpenOfTheSameLogFails) {
  const LogStore first(folder_, kCheckpointBytes);
  EXPECT_THROW(LogStore(folder_, kCheckpointBytes), LogError);
}

// Guards against files that grow without bound as entries are written.
TEST_F(LogStoreFileTest, FileSizesStayBoundedOverManySnapshots) {
  LogStore store(folder_, kCheckpointBytes);
  const LogWrite vote = SaveVote{{1, 0}};
  ASSERT_FALSE(store.write({&vote}));
  for (std::uint64_t first = 1; first < 4000; first += 16) {
    const LogWrite appended = entries(first, 16, 1);
    const LogWrite snapshot = SaveSnapshot{makeSnapshot(first + 15, 1), first + 8};
    ASSERT_FALSE(store.write({&appended}));
    ASSERT_FALSE(store.write({&snapshot}));
  }
  std::uintmax_t total = 0;
  for (const auto& file : files::directory_iterator(folder_)) total += file.file_size();
  EXPECT_LT(total, 40 * kCheckpointBytes);
}

// Guards against a write-ahead log that grows without bound while it can't be written to the database file.
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

// Guards against a partial import of an earlier version's log, after a full disk, that is later treated as
// complete.
TEST_P(LogStoreTest, AnImportIsCompleteOrAbsent) {
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

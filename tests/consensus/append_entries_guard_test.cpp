// How AppendEntriesGuard changes received append-entries messages and the answers to them, with a raft log
// that the test sets up directly in the library's structures.
#include "consensus/append_entries_guard.hpp"

#include <gtest/gtest.h>

#include <array>
#include <vector>

namespace cairnjunction::testing {
namespace {

using consensus::AppendEntriesGuard;

// A voter in term 5 with entries 7 to 12, of which 7 to 10 have term 3 and the others term 4, in a ring
// buffer that has wrapped around. Its snapshot covers entries 1 to 8, and entries 1 to 10 are applied.
class AppendEntriesGuardTest : public ::testing::Test {
 protected:
  raft voter_{};
  std::array<raft_entry, 8> ring_{};
  raft_append_entries message_{};

  void SetUp() override {
    voter_.current_term = 5;
    voter_.last_applied = 10;
    voter_.log.entries = ring_.data();
    voter_.log.size = ring_.size();
    voter_.log.front = 5;
    voter_.log.back = 3;
    voter_.log.offset = 6;
    voter_.log.snapshot = {8, 3};
    for (std::size_t i = 0; i < 6; ++i) ring_.at((5 + i) % ring_.size()).term = i < 4 ? 3 : 4;
  }
  void TearDown() override { freeEntries(); }
  // Sets up a message with `count` entries after the entry `previous`. The term of each entry is its index,
  // so that a test can tell them apart.
  void setMessage(raft_term term, raft_index previous, unsigned count) {
    freeEntries();
    message_ = {};
    message_.term = term;
    message_.prev_log_index = previous;
    message_.prev_log_term = previous > 0 ? 2 : 0;
    message_.n_entries = count;
    if (count == 0) return;
    message_.entries = static_cast<raft_entry*>(raft_calloc(count, sizeof(raft_entry)));
    void* batch = raft_malloc(8);
    for (unsigned i = 0; i < count; ++i) message_.entries[i] = {previous + i + 1, RAFT_COMMAND, {}, batch};
  }
  void freeEntries() {
    if (message_.entries) raft_free(message_.entries[0].batch);
    raft_free(message_.entries);
    message_.entries = nullptr;
  }
  // Index of the last entry in the answer, after the guard has limited it.
  raft_index limited(raft_index last, raft_index rejected = 0) const {
    raft_append_entries_result result{};
    result.last_log_index = last;
    result.rejected = rejected;
    guard_.limitResult(result);
    return result.last_log_index;
  }
  AppendEntriesGuard guard_{voter_};
};

// Guards against a voter that appends, under wrong indexes, entries that it has removed after a snapshot.
TEST_F(AppendEntriesGuardTest, RemovesAppliedEntriesFromAMessageThatStartsAtTheFirstEntry) {
  setMessage(5, 0, 13);
  guard_.beginReceiving(message_);
  EXPECT_EQ(message_.prev_log_index, 10U);
  EXPECT_EQ(message_.prev_log_term, 3U);
  ASSERT_EQ(message_.n_entries, 3U);
  EXPECT_EQ(message_.entries[0].term, 11U) << "entry 11: its term is its index";
  EXPECT_EQ(message_.entries[2].term, 13U);
}

// All entries of the message are applied already.
TEST_F(AppendEntriesGuardTest, AMessageWithOnlyAppliedEntriesBecomesAHeartbeat) {
  setMessage(6, 0, 9);
  guard_.beginReceiving(message_);
  EXPECT_EQ(message_.prev_log_index, 10U);
  EXPECT_EQ(message_.n_entries, 0U);
  EXPECT_EQ(message_.entries, nullptr);
}

TEST_F(AppendEntriesGuardTest, AMessageAfterTheAppliedEntriesIsUnchanged) {
  for (const raft_index previous : {10U, 11U, 40U}) {
    setMessage(5, previous, 2);
    guard_.beginReceiving(message_);
    EXPECT_EQ(message_.prev_log_index, previous);
    EXPECT_EQ(message_.prev_log_term, 2U);
    EXPECT_EQ(message_.n_entries, 2U);
  }
}

// The entries of a leader of an earlier term may differ from the applied ones. The library rejects its
// message.
TEST_F(AppendEntriesGuardTest, AMessageOfAnEarlierTermIsUnchanged) {
  setMessage(4, 0, 13);
  guard_.beginReceiving(message_);
  EXPECT_EQ(message_.prev_log_index, 0U);
  EXPECT_EQ(message_.n_entries, 13U);
}

TEST_F(AppendEntriesGuardTest, WithoutEntriesInMemoryThePreviousTermIsTheSnapshotsTerm) {
  voter_.last_applied = 8;
  voter_.log.front = voter_.log.back = 0;
  voter_.log.offset = 8;
  setMessage(5, 0, 10);
  guard_.beginReceiving(message_);
  EXPECT_EQ(message_.prev_log_index, 8U);
  EXPECT_EQ(message_.prev_log_term, 3U);
  EXPECT_EQ(message_.n_entries, 2U);
}

// Guards against an entry that is committed although only one voter has it: a heartbeat was answered with the
// index of the last entry, which came from an earlier leader.
TEST_F(AppendEntriesGuardTest, AnAnswerIsLimitedToTheLastComparedEntry) {
  setMessage(5, 10, 0);
  guard_.beginReceiving(message_);
  EXPECT_EQ(limited(12), 10U);
  guard_.endReceiving();
  setMessage(5, 10, 1);
  guard_.beginReceiving(message_);
  EXPECT_EQ(limited(12), 11U);
  EXPECT_EQ(limited(9), 9U) << "not all entries are written yet";
  EXPECT_EQ(limited(12, 11), 12U) << "a rejection reports the end of the log";
  guard_.endReceiving();
  EXPECT_EQ(limited(12), 12U) << "after a write";
}

}  // namespace
}  // namespace cairnjunction::testing

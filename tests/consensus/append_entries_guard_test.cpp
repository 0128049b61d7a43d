// What a follower makes of messages that append entries: the library's log is laid out by hand.
#include "consensus/append_entries_guard.hpp"

#include <gtest/gtest.h>

#include <array>
#include <vector>

namespace cairnjunction::testing {
namespace {

using consensus::AppendEntriesGuard;

// A voter of term 5 with entries 7 to 12, of which 7 to 10 are of term 3, in a ring that has wrapped around;
// its snapshot stands for the first 8, and 10 are applied.
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
  void receive(raft_term term, raft_index previous, unsigned count) {
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
  raft_index limited(raft_index last, raft_index rejected = 0) const {
    raft_append_entries_result result{};
    result.last_log_index = last;
    result.rejected = rejected;
    guard_.limitResult(result);
    return result.last_log_index;
  }
  AppendEntriesGuard guard_{voter_};
};

// Guards against a voter that appends, under wrong numbers, entries that it has dropped behind a snapshot.
TEST_F(AppendEntriesGuardTest, AppliedEntriesAreTakenOffAMessageFromTheFirstOn) {
  receive(5, 0, 13);
  guard_.beginReceiving(message_);
  EXPECT_EQ(message_.prev_log_index, 10U);
  EXPECT_EQ(message_.prev_log_term, 3U);
  ASSERT_EQ(message_.n_entries, 3U);
  EXPECT_EQ(message_.entries[0].term, 11U) << "the eleventh, by its mark";
  EXPECT_EQ(message_.entries[2].term, 13U);
}

// The same where nothing of the message is left.
TEST_F(AppendEntriesGuardTest, AMessageOfAppliedEntriesOnlyBecomesAHeartbeat) {
  receive(6, 0, 9);
  guard_.beginReceiving(message_);
  EXPECT_EQ(message_.prev_log_index, 10U);
  EXPECT_EQ(message_.n_entries, 0U);
  EXPECT_EQ(message_.entries, nullptr);
}

TEST_F(AppendEntriesGuardTest, AMessageBehindTheAppliedEntriesStaysAsItIs) {
  for (const raft_index previous : {10U, 11U, 40U}) {
    receive(5, previous, 2);
    guard_.beginReceiving(message_);
    EXPECT_EQ(message_.prev_log_index, previous);
    EXPECT_EQ(message_.prev_log_term, 2U);
    EXPECT_EQ(message_.n_entries, 2U);
  }
}

// Guards against a leader of an earlier term, whose entries may be others: the library rejects it.
TEST_F(AppendEntriesGuardTest, AMessageOfAnEarlierTermStaysAsItIs) {
  receive(4, 0, 13);
  guard_.beginReceiving(message_);
  EXPECT_EQ(message_.prev_log_index, 0U);
  EXPECT_EQ(message_.n_entries, 13U);
}

TEST_F(AppendEntriesGuardTest, WhereNothingIsInMemoryTheSnapshotsTermIsTaken) {
  voter_.last_applied = 8;
  voter_.log.front = voter_.log.back = 0;
  voter_.log.offset = 8;
  receive(5, 0, 10);
  guard_.beginReceiving(message_);
  EXPECT_EQ(message_.prev_log_index, 8U);
  EXPECT_EQ(message_.prev_log_term, 3U);
  EXPECT_EQ(message_.n_entries, 2U);
}

// Guards against an entry that is committed with one voter alone having it: a heartbeat was answered with the
// last of the entries of an earlier leader.
TEST_F(AppendEntriesGuardTest, AnAnswerEndsWithTheLastEntryThatWasCompared) {
  receive(5, 10, 0);
  guard_.beginReceiving(message_);
  EXPECT_EQ(limited(12), 10U);
  guard_.endReceiving();
  receive(5, 10, 1);
  guard_.beginReceiving(message_);
  EXPECT_EQ(limited(12), 11U);
  EXPECT_EQ(limited(9), 9U) << "not all of them are written yet";
  EXPECT_EQ(limited(12, 11), 12U) << "a rejection tells where its log ends";
  guard_.endReceiving();
  EXPECT_EQ(limited(12), 12U) << "after a write";
}

}  // namespace
}  // namespace cairnjunction::testing

// The lease table: one holder a key, epochs, bounds, and the same state on each coordinator.
#include "lease/lease_table.hpp"

#include <gtest/gtest.h>

#include <array>
#include <initializer_list>
#include <map>
#include <random>
#include <utility>

#include "lease/codec.hpp"
#include "lease/lease_table_invariants.hpp"
#include "lease_log.hpp"

namespace cairnjunction::lease::testing {
namespace {

// One member after another holds a key: by a lease that ends unrenewed, by release, and by leaving.
// Nobody else is granted it before, and each grant has the next epoch.
TEST(LeaseTable, OneHolderUntilItsLeaseEndsAndEachGrantHasAnEpochAndAReason) {
  LeaseLog log;
  log(MemberJoined{kMemberA, ""});
  log(MemberJoined{kMemberB, ""});
  EXPECT_EQ(log(LeaseGranted{kList, kMemberA, kLease}).held.at(0).epoch, 1U);
  EXPECT_EQ(log(LeaseGranted{kList, kMemberB, kLease}).rejection, RejectionReason::heldByAnother);
  log.at += kLease - Duration(1);
  EXPECT_EQ(log(LeasesRenewed{kMemberA, {{kList, 1, 7}}, kLease}).held.size(), 1U);
  log.at += kLease - Duration(1);
  EXPECT_EQ(log(LeaseGranted{kList, kMemberB, kLease}).rejection, RejectionReason::heldByAnother);
  log.at += Duration(1);
  EXPECT_EQ(log(LeasesRenewed{kMemberA, {{kList, 1, 8}}, kLease}).rejection, RejectionReason::notHolder)
      << "its lease has ended";
  EXPECT_EQ(log(LeaseGranted{kList, kMemberB, kLease}).held.at(0).epoch, 2U);
  EXPECT_EQ(log.failureHistory("a", "list").consecutiveFailures, 1U);
  EXPECT_EQ(log(LeaseReleased{kList, 1, kMemberA}).rejection, RejectionReason::notHolder)
      << "an earlier holder releases nothing";
  EXPECT_EQ(log(LeaseReleased{kList, 2, kMemberB}).rejection, RejectionReason::none);
  EXPECT_EQ(log.find(kList)->reason, LeaseChangeReason::released);
  EXPECT_EQ(log(LeaseGranted{kList, kMemberA, kLease}).held.at(0).epoch, 3U) << "at once";
  log(MemberLeft{kMemberA});
  EXPECT_EQ(log.find(kList)->reason, LeaseChangeReason::left);
  EXPECT_EQ(log.find(kList)->epoch, 3U) << "what receivers compare with outlives its holder";
}

// A process is replaced by another one under the same name while it holds a key, and may still run.
// The new one has none of its leases, and is granted none of its keys before they end.
TEST(LeaseTable, AProcessOfTheSameNameHoldsNothingOfTheLastOne) {
  LeaseLog log;
  log(MemberJoined{kMemberA, ""});
  log(LeaseGranted{kList, kMemberA, kLease});
  log(MemberJoined{{"a", 9}, ""});
  EXPECT_EQ(log(LeasesRenewed{kMemberA, {{kList, 1, 0}}, kLease}).rejection, RejectionReason::supplanted);
  EXPECT_EQ(log(LeasesRenewed{{"a", 9}, {{kList, 1, 0}}, kLease}).rejection, RejectionReason::notHolder);
  EXPECT_EQ(log(LeaseGranted{kList, {"a", 9}, kLease}).rejection, RejectionReason::heldByAnother)
      << "the last one may still live";
}

// Members send names, incarnations and durations out of range, and more keys and names than there is room
// for. Each is rejected by its reason, and who holds something is never forgotten.
TEST(LeaseTable, WhatIsInvalidOrPastABoundIsRejected) {
  LeaseLog log;
  log(MemberJoined{kMemberA, ""});
  for (const Change& invalid : std::initializer_list<Change>{
           MemberJoined{{"", 1}, ""}, MemberJoined{{"x", 0}, ""},
           MemberJoined{{std::string(kNameMost + 1, 'x'), 1}, ""}, LeaseGranted{{"", 0}, kMemberA, kLease},
           LeaseGranted{kList, kMemberA, Duration(0)},
           LeaseGranted{kList, kMemberA, kLeaseMost + Duration(1)},
           LeasesRenewed{kMemberA, {}, Duration(-1)}})
    EXPECT_EQ(log(invalid).rejection, RejectionReason::invalid);
  EXPECT_EQ(log(LeaseGranted{kList, kMemberB, kLease}).rejection, RejectionReason::supplanted)
      << "never joined";
}

// A member holds as many keys as there is room for, and more members join than there is room for.
// One more key is rejected; a name that holds nothing makes room for the next, and who holds something is
// never forgotten.
TEST(LeaseTable, WhatIsPastABoundIsRejectedOrForgotten) {
  LeaseLog log;
  log(MemberJoined{kMemberA, ""});
  for (std::uint32_t i = 0; i < kKeysMost; ++i) log(LeaseGranted{{"d", i}, kMemberA, kLease});
  EXPECT_EQ(log(LeaseGranted{kList, kMemberA, kLease}).rejection, RejectionReason::full);
  for (std::size_t i = 0; i < kMembersMost + 10; ++i)
    EXPECT_EQ(log(MemberJoined{{"m" + std::to_string(i), 1}, ""}).rejection, RejectionReason::none);
  EXPECT_EQ(log.incarnationOf("a"), 1U) << "who holds something is not forgotten";
}

// Random entries, and what the table is to make of them.
class RandomEntries {
 public:
  explicit RandomEntries(std::uint64_t seed) : random_(seed) {}

  std::uint64_t draw(std::uint64_t below) { return random_() % below; }

  LogEntry next(const std::map<LeaseKey, Epoch>& epochs) {
    now_ += Duration(draw(400));
    const Member member{"m" + std::to_string(draw(4)), 1 + draw(2)};
    const LeaseKey key{"d", static_cast<std::uint32_t>(draw(3))};
    const auto known = epochs.find(key);
    const Epoch epoch = known == epochs.end() ? draw(3) : known->second - draw(2);
    const std::array<Change, 6> changes{MemberJoined{member, "z"},
                                        LeaseGranted{key, member, kLease},
                                        LeasesRenewed{member, {{key, epoch, draw(9)}}, kLease},
                                        LeaseGranted{key, member, kLease},
                                        LeaseReleased{key, epoch, member, draw(2) == 0},
                                        MemberLeft{member}};
    const Duration late(draw(3) * 50);
    const std::uint64_t kinds = draw(8) > 0 ? 5 : 6;
    return {now_ - late, changes[draw(kinds)]};
  }

 private:
  std::mt19937_64 random_;
  LogTime now_{};
};

// What an observer of the table remembers of a key.
struct Observed {
  Epoch epoch = 0;
  Member holder;
  LogTime expiresAt{};
};

// Two coordinators that apply the same entries, and an observer of the first.
class ReplicatedTables {
 public:
  std::map<LeaseKey, Epoch> epochs() const {
    std::map<LeaseKey, Epoch> epochs;
    for (const auto& [key, last] : observed_) epochs[key] = last.epoch;
    return epochs;
  }

  void apply(const std::string& bytes, bool restart) {
    const LeaseTableState before = table_.state();
    const ApplyResult result = table_.apply(decode(bytes));
    if (restart) replica_.restore(std::string(replica_.snapshot()));
    replica_.apply(decode(bytes));
    ASSERT_EQ(table_, replica_);
    ASSERT_EQ(LeaseTableInvariants::violationsIn(table_.state()), std::vector<std::string>{});
    ASSERT_EQ(LeaseTableInvariants::violationsBetween(before, table_.state()), std::vector<std::string>{});
    ASSERT_TRUE(result.held.size() <= 1);
    for (const auto& [key, record] : table_.holdings()) observe(record, observed_[key]);
  }

 private:
  void observe(const LeaseRecord& record, Observed& last) {
    ASSERT_GE(record.epoch, last.epoch);
    if (record.epoch > last.epoch) ASSERT_TRUE(last.holder.name.empty() || table_.now() >= last.expiresAt);
    else if (!record.holder.name.empty()) ASSERT_EQ(record.holder, last.holder);
    last = {record.epoch, record.holder, record.expiresAt};
  }

  LeaseTable table_;
  LeaseTable replica_;
  std::map<LeaseKey, Observed> observed_;
};

void expectPromises(std::uint64_t seed) {
  RandomEntries entries(seed);
  ReplicatedTables tables;
  for (int i = 0; i < 2000; ++i) {
    const std::string bytes = encode(entries.next(tables.epochs()));
    tables.apply(bytes, entries.draw(50) == 0);
    ASSERT_FALSE(::testing::Test::HasFatalFailure()) << "seed " << seed << ", entry " << i;
  }
}

// Random entries: the promises hold at each step, and any coordinator comes to the same state, by the log or
// by a snapshot and the rest of the log.
TEST(LeaseTable, HoldsItsPromisesUnderRandomEntriesAndSnapshots) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) expectPromises(seed);
}

// A holder keeps a task for ten of its leases, after it had failed at it.
// Its failures are forgotten; a lease less and they are not.
TEST(LeaseTable, AHolderThatKeepsItsLeaseIsForgivenItsFailures) {
  LeaseLog log;
  log(MemberJoined{kMemberA, ""});
  log(LeaseGranted{kList, kMemberA, kLease});
  log(LeaseReleased{kList, 1, kMemberA, true});
  log(LeaseGranted{kList, kMemberA, kLease});
  for (int renewal = 0; renewal < 19; ++renewal) {
    log.at += kLease / 2;
    log(LeasesRenewed{kMemberA, {{kList, 2, 0}}, kLease});
    EXPECT_EQ(log.failureHistory("a", "list").consecutiveFailures, 1U);
  }
  log.at += kLease / 2;
  log(LeasesRenewed{kMemberA, {{kList, 2, 0}}, kLease});
  EXPECT_EQ(log.failureHistory("a", "list"), FailureHistory{});
}

}  // namespace
}  // namespace cairnjunction::lease::testing

// The lease table: one holder for each key, epochs, limits, and equal state on each coordinator.
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

// The leases of successive holders expire, are released, and end when the holder leaves. No other member is
// granted the key before, and each grant has the next epoch.
TEST(LeaseTable, AKeyHasOneHolderAndEachGrantTheNextEpoch) {
  LeaseLog log;
  log(MemberJoined{kMemberA, ""});
  log(MemberJoined{kMemberB, ""});
  EXPECT_EQ(log(LeaseGranted{kList, kMemberA, kLease}).held.at(0).epoch, 1U);
  EXPECT_EQ(log(LeaseGranted{kList, kMemberB, kLease}).rejection, RejectionReason::alreadyHeld);
  log.at += kLease - Duration(1);
  EXPECT_EQ(log(LeasesRenewed{kMemberA, {{kList, 1, 7}}, kLease}).held.size(), 1U);
  log.at += kLease - Duration(1);
  EXPECT_EQ(log(LeaseGranted{kList, kMemberB, kLease}).rejection, RejectionReason::alreadyHeld);
  log.at += Duration(1);
  EXPECT_EQ(log(LeasesRenewed{kMemberA, {{kList, 1, 8}}, kLease}).rejection, RejectionReason::notHolder)
      << "its lease has ended";
  EXPECT_EQ(log(LeaseGranted{kList, kMemberB, kLease}).held.at(0).epoch, 2U);
  EXPECT_EQ(log.failureHistory("a", "list").consecutiveFailures, 1U);
  EXPECT_EQ(log(LeaseReleased{kList, 1, kMemberA}).rejection, RejectionReason::notHolder)
      << "the holder of an earlier epoch releases nothing";
  EXPECT_EQ(log(LeaseReleased{kList, 2, kMemberB}).rejection, RejectionReason::none);
  EXPECT_EQ(log.find(kList)->reason, LeaseChangeReason::released);
  EXPECT_EQ(log(LeaseGranted{kList, kMemberA, kLease}).held.at(0).epoch, 3U) << "at once";
  log(MemberLeft{kMemberA});
  EXPECT_EQ(log.find(kList)->reason, LeaseChangeReason::left);
  EXPECT_EQ(log.find(kList)->epoch, 3U) << "the epoch is kept after the holder left";
}

// While a process holds a key, another process joins under the same name; the first one may still be running.
// The new process does not take over the lease, and is not granted the key before the lease ends.
TEST(LeaseTable, ANewProcessOfAMemberDoesNotTakeOverItsLeases) {
  LeaseLog log;
  log(MemberJoined{kMemberA, ""});
  log(LeaseGranted{kList, kMemberA, kLease});
  log(MemberJoined{{"a", 9}, ""});
  EXPECT_EQ(log(LeasesRenewed{kMemberA, {{kList, 1, 0}}, kLease}).rejection,
            RejectionReason::staleIncarnation);
  EXPECT_EQ(log(LeasesRenewed{{"a", 9}, {{kList, 1, 0}}, kLease}).rejection, RejectionReason::notHolder);
  EXPECT_EQ(log(LeaseGranted{kList, {"a", 9}, kLease}).rejection, RejectionReason::alreadyHeld)
      << "the earlier process may still be running";
}

// Entries with names, incarnations or durations out of range are rejected as invalid, and a grant to a member
// that never joined as staleIncarnation.
TEST(LeaseTable, InvalidEntriesAreRejected) {
  LeaseLog log;
  log(MemberJoined{kMemberA, ""});
  for (const Change& invalid : std::initializer_list<Change>{
           MemberJoined{{"", 1}, ""}, MemberJoined{{"x", 0}, ""},
           MemberJoined{{std::string(kMaxNameBytes + 1, 'x'), 1}, ""},
           LeaseGranted{{"", 0}, kMemberA, kLease}, LeaseGranted{kList, kMemberA, Duration(0)},
           LeaseGranted{kList, kMemberA, kMaxLeaseDuration + Duration(1)},
           LeasesRenewed{kMemberA, {}, Duration(-1)}})
    EXPECT_EQ(log(invalid).rejection, RejectionReason::invalid);
  EXPECT_EQ(log(LeaseGranted{kList, kMemberB, kLease}).rejection, RejectionReason::staleIncarnation)
      << "it never joined";
}

// One member holds kMaxKeys keys, and more than kMaxMembers members join. A further key is rejected; a
// further member evicts one without leases, and a member that holds leases is never evicted.
TEST(LeaseTable, AtItsLimitsItRejectsKeysAndEvictsMembersWithoutLeases) {
  LeaseLog log;
  log(MemberJoined{kMemberA, ""});
  for (std::uint32_t i = 0; i < kMaxKeys; ++i) log(LeaseGranted{{"d", i}, kMemberA, kLease});
  EXPECT_EQ(log(LeaseGranted{kList, kMemberA, kLease}).rejection, RejectionReason::tableFull);
  for (std::size_t i = 0; i < kMaxMembers + 10; ++i)
    EXPECT_EQ(log(MemberJoined{{"m" + std::to_string(i), 1}, ""}).rejection, RejectionReason::none);
  EXPECT_EQ(log.incarnationOf("a"), 1U) << "a member that holds leases is not evicted";
}

// Generates random entries, valid and invalid.
class RandomEntries {
 public:
  explicit RandomEntries(std::uint64_t seed) : random_(seed) {}

  // A random number from 0 to below - 1.
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

// The last state of a key that an observer has seen.
struct Observed {
  Epoch epoch = 0;
  Member holder;
  LogTime expiresAt{};
};

// Two coordinators that apply the same entries, and an observer that checks the first one's records.
class ReplicatedTables {
 public:
  std::map<LeaseKey, Epoch> epochs() const {
    std::map<LeaseKey, Epoch> epochs;
    for (const auto& [key, last] : observed_) epochs[key] = last.epoch;
    return epochs;
  }

  void apply(const std::string& bytes, bool restartReplica) {
    const LeaseTableState before = table_.state();
    const ApplyResult result = table_.apply(decode(bytes));
    if (restartReplica) replica_.restore(std::string(replica_.snapshot()));
    replica_.apply(decode(bytes));
    ASSERT_EQ(table_, replica_);
    ASSERT_EQ(LeaseTableInvariants::violationsIn(table_.state()), std::vector<std::string>{});
    ASSERT_EQ(LeaseTableInvariants::violationsBetween(before, table_.state()), std::vector<std::string>{});
    ASSERT_TRUE(result.held.size() <= 1);
    for (const auto& [key, record] : table_.records()) observe(record, observed_[key]);
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

void expectGuarantees(std::uint64_t seed) {
  RandomEntries entries(seed);
  ReplicatedTables tables;
  for (int i = 0; i < 2000; ++i) {
    const std::string bytes = encode(entries.next(tables.epochs()));
    tables.apply(bytes, entries.draw(50) == 0);
    ASSERT_FALSE(::testing::Test::HasFatalFailure()) << "seed " << seed << ", entry " << i;
  }
}

// After each of many random entries, the guarantees hold and both coordinators have the same state, although
// one of them is restored from a snapshot now and then.
TEST(LeaseTable, KeepsItsGuaranteesUnderRandomEntriesAndSnapshots) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) expectGuarantees(seed);
}

// After a failure at a task, a holder keeps its lease for ten lease durations. Only then are its failures
// cleared.
TEST(LeaseTable, FailuresAreClearedAfterTenLeaseDurations) {
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

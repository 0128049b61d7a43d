// Which commands a receiver admits.
#include "lease/fencing_gate.hpp"

#include <gtest/gtest.h>

#include <tuple>
#include <vector>

#include "lease_log.hpp"

namespace cairnjunction::lease::testing {
namespace {

FencingToken token(Epoch epoch, Sequence sequence, const Member& from) {
  return {kList, epoch, sequence, from};
}

// Commands of two holders come late, twice and out of their order, some before the receiver knows how far the
// fleet is. Only what is newer than all before is admitted.
TEST(FencingGate, AdmitsOnlyWhatIsNewerAndNothingBeforeItHasLearned) {
  FencingGate gate;
  EXPECT_EQ(gate.admit(token(9, 9, kMemberA)), FencingResult::notReady);
  gate.learn({{kList, {3, 5, {}}}});
  const std::vector<std::tuple<Epoch, Sequence, Member, FencingResult>> steps{
      {2, 99, kMemberA, FencingResult::staleEpoch},       {3, 5, kMemberA, FencingResult::staleSequence},
      {3, 6, kMemberA, FencingResult::accepted},          {3, 6, kMemberA, FencingResult::staleSequence},
      {3, 7, kMemberB, FencingResult::conflictingHolder}, {5, 1, kMemberB, FencingResult::accepted},
      {4, 9, kMemberA, FencingResult::staleEpoch},        {5, 3, kMemberB, FencingResult::accepted},
      {5, 2, kMemberB, FencingResult::staleSequence}};
  for (const auto& [epoch, sequence, from, expected] : steps)
    EXPECT_EQ(gate.admit(token(epoch, sequence, from)), expected) << epoch << " " << sequence;
  EXPECT_EQ(gate.rejectedCount(), 7U);
  gate.learn({{kList, {4, 0, {}}}});
  EXPECT_EQ(gate.marks().at(kList).epoch, 5U) << "marks only grow";
}

// Commands of twice as many keys as are kept come in.
// The keys that are kept go on, and of another one nothing is admitted.
TEST(FencingGate, KeepsNoMoreKeysThanItsBound) {
  FencingGate gate;
  gate.learn({{kList, {4, 0, {}}}});
  for (std::uint32_t shard = 0; shard < 2 * FencingGate::kKeysMost; ++shard)
    gate.admit({{"d", shard}, 1, 1, kMemberA});
  EXPECT_EQ(gate.marks().size(), FencingGate::kKeysMost);
  EXPECT_EQ(gate.admit({{"one-more", 0}, 1, 1, kMemberA}), FencingResult::tooManyKeys);
  EXPECT_EQ(gate.admit(token(5, 1, kMemberA)), FencingResult::accepted);
}

// The mark of a command could not be stored, so it had no effect.
// Rolled back, the gate admits the same command again.
TEST(FencingGate, WhatWasRolledBackIsAdmittedAgain) {
  FencingGate gate;
  gate.learn({});
  const auto stored = gate.marks();
  EXPECT_EQ(gate.admit(token(1, 1, kMemberA)), FencingResult::accepted);
  gate.rollBack(stored);
  EXPECT_EQ(gate.admit(token(1, 1, kMemberA)), FencingResult::accepted);
}

}  // namespace
}  // namespace cairnjunction::lease::testing

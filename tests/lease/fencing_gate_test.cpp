// The fencing gate: which commands it admits, its limit on keys, and rolling marks back.
#include "lease/fencing_gate.hpp"

#include <gtest/gtest.h>

#include <tuple>
#include <vector>

#include "lease_log.hpp"

namespace cairnjunction::lease::testing {
namespace {

FencingToken token(Epoch epoch, Sequence sequence, const Member& sender) {
  return {kList, epoch, sequence, sender};
}

// Commands of two holders arrive late, duplicated and reordered, and one before the gate has marks. A command
// is admitted only if it is newer than all admitted ones, and none is before raiseMarks().
TEST(FencingGate, AdmitsOnlyNewerCommandsAndNoneBeforeItHasMarks) {
  FencingGate gate;
  EXPECT_EQ(gate.admit(token(9, 9, kMemberA)), FencingResult::notReady);
  gate.raiseMarks({{kList, {3, 5, {}}}});
  const std::vector<std::tuple<Epoch, Sequence, Member, FencingResult>> steps{
      {2, 99, kMemberA, FencingResult::staleEpoch},       {3, 5, kMemberA, FencingResult::staleSequence},
      {3, 6, kMemberA, FencingResult::accepted},          {3, 6, kMemberA, FencingResult::staleSequence},
      {3, 7, kMemberB, FencingResult::conflictingHolder}, {5, 1, kMemberB, FencingResult::accepted},
      {4, 9, kMemberA, FencingResult::staleEpoch},        {5, 3, kMemberB, FencingResult::accepted},
      {5, 2, kMemberB, FencingResult::staleSequence}};
  for (const auto& [epoch, sequence, sender, expected] : steps)
    EXPECT_EQ(gate.admit(token(epoch, sequence, sender)), expected) << epoch << " " << sequence;
  EXPECT_EQ(gate.rejectedCount(), 7U);
  gate.raiseMarks({{kList, {4, 0, {}}}});
  EXPECT_EQ(gate.marks().at(kList).epoch, 5U) << "a mark never decreases";
}

// Commands of twice as many keys as the limit arrive. Keys that have a mark are still admitted, further keys
// are rejected.
TEST(FencingGate, RejectsFurtherKeysAtItsLimit) {
  FencingGate gate;
  gate.raiseMarks({{kList, {4, 0, {}}}});
  for (std::uint32_t shard = 0; shard < 2 * FencingGate::kMaxKeys; ++shard)
    gate.admit({{"d", shard}, 1, 1, kMemberA});
  EXPECT_EQ(gate.marks().size(), FencingGate::kMaxKeys);
  EXPECT_EQ(gate.admit({{"one-more", 0}, 1, 1, kMemberA}), FencingResult::tooManyKeys);
  EXPECT_EQ(gate.admit(token(5, 1, kMemberA)), FencingResult::accepted);
}

// The mark of a command could not be stored, so the command had no effect and the mark is rolled back. The
// gate must admit the same command again.
TEST(FencingGate, ACommandIsAdmittedAgainAfterRollBack) {
  FencingGate gate;
  gate.raiseMarks({});
  const auto stored = gate.marks();
  EXPECT_EQ(gate.admit(token(1, 1, kMemberA)), FencingResult::accepted);
  gate.rollBack(stored);
  EXPECT_EQ(gate.admit(token(1, 1, kMemberA)), FencingResult::accepted);
}

}  // namespace
}  // namespace cairnjunction::lease::testing

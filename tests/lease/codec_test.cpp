// Entries and snapshots as bytes. That the bytes stay those of earlier versions is tested in tests/fixtures.
#include "lease/codec.hpp"

#include <gtest/gtest.h>

#include <random>
#include <stdexcept>
#include <string>
#include <vector>

#include "lease_log.hpp"

namespace cairnjunction::lease::testing {
namespace {

// Bytes that were changed or cut on their way are read as a snapshot and as an entry.
// Either they are read, or they are rejected and nothing has changed.
TEST(Codec, WhatItDidNotWriteIsRejectedWhole) {
  LeaseLog log;
  log(MemberJoined{kMemberA, "z"});
  log(LeaseGranted{kList, kMemberA, kLease});
  const std::vector<std::string> texts{
      log.snapshot(), encode({logTime(5), LeasesRenewed{kMemberA, {{kList, 1, 2}}, kLease}})};
  const LeaseTable& before = log;
  std::mt19937_64 random(1);
  for (int i = 0; i < 20'000; ++i) {
    std::string text = texts[static_cast<std::size_t>(i % 2)];
    for (std::uint64_t changes = 1 + random() % 3; changes > 0; --changes)
      text[random() % text.size()] = static_cast<char>(random());
    if (random() % 2 == 1) text.resize(random() % text.size());
    LeaseTable table = before;
    try {
      table.restore(text);
    } catch (const std::invalid_argument&) {
      EXPECT_EQ(table, before);
    }
    try {
      decode(text);
    } catch (const std::invalid_argument&) {
      continue;
    }
  }
}

std::string errorOf(const std::string& bytes) {
  try {
    decodeSnapshot(bytes);
  } catch (const std::invalid_argument& error) {
    return error.what();
  }
  return "";
}

// A coordinator is given a snapshot with bytes behind it, of another format, or with more keys than there is
// room for. It says which of these it found.
TEST(Codec, ARejectedSnapshotSaysWhatIsWrongWithIt) {
  LeaseTableState state;
  EXPECT_EQ(errorOf(encodeSnapshot(state)), "");
  EXPECT_EQ(errorOf(encodeSnapshot(state) + "x"), "snapshot: bytes behind its end");
  std::string otherFormat = encodeSnapshot(state);
  otherFormat[1] = 2;  // behind the array's head
  EXPECT_EQ(errorOf(otherFormat), "snapshot: format 2, expected 1");
  for (std::uint32_t shard = 0; shard <= kKeysMost; ++shard) state.records[{"probe", shard}].epoch = 1;
  EXPECT_EQ(errorOf(encodeSnapshot(state)), "snapshot: more than there is room for");
}

}  // namespace
}  // namespace cairnjunction::lease::testing

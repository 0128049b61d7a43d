// Encoding of log entries and snapshots. Compatibility with earlier versions is tested in tests/fixtures.
#include "lease/codec.hpp"

#include <gtest/gtest.h>

#include <random>
#include <stdexcept>
#include <string>
#include <vector>

#include "lease_log.hpp"

namespace cairnjunction::lease::testing {
namespace {

// Corrupted and truncated bytes are decoded as a snapshot and as an entry. Each is either decoded, or
// rejected with std::invalid_argument and without a change to the table.
TEST(Codec, CorruptedBytesAreDecodedOrRejectedWithoutAChange) {
  LeaseLog log;
  log(MemberJoined{kMemberA, "z"});
  log(LeaseGranted{kList, kMemberA, kLease});
  const std::vector<std::string> encodings{
      log.snapshot(), encode({logTime(5), LeasesRenewed{kMemberA, {{kList, 1, 2}}, kLease}})};
  const LeaseTable& before = log;
  std::mt19937_64 random(1);
  for (int i = 0; i < 20'000; ++i) {
    std::string bytes = encodings[static_cast<std::size_t>(i % 2)];
    for (std::uint64_t changes = 1 + random() % 3; changes > 0; --changes)
      bytes[random() % bytes.size()] = static_cast<char>(random());
    if (random() % 2 == 1) bytes.resize(random() % bytes.size());
    LeaseTable table = before;
    try {
      table.restore(bytes);
    } catch (const std::invalid_argument&) {
      EXPECT_EQ(table, before);
    }
    try {
      decode(bytes);
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

// A snapshot with trailing bytes, of another format, or with more keys than the table's limit is rejected
// with an error that names the cause.
TEST(Codec, TheErrorNamesWhyASnapshotIsRejected) {
  LeaseTableState state;
  EXPECT_EQ(errorOf(encodeSnapshot(state)), "");
  EXPECT_EQ(errorOf(encodeSnapshot(state) + "x"), "snapshot: trailing bytes");
  std::string otherFormat = encodeSnapshot(state);
  otherFormat[1] = 2;  // the byte after the array's header
  EXPECT_EQ(errorOf(otherFormat), "snapshot: format 2, expected 1");
  for (std::uint32_t shard = 0; shard <= kMaxKeys; ++shard) state.records[{"probe", shard}].epoch = 1;
  EXPECT_EQ(errorOf(encodeSnapshot(state)), "snapshot: exceeds the limits of the lease table");
}

}  // namespace
}  // namespace cairnjunction::lease::testing

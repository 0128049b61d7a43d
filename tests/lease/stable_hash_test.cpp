// Hashes of names that other processes and versions compute too.
#include "lease/stable_hash.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::lease::testing {
namespace {

// Gateways of two versions look for a host's shard.
// The hash must be the same in both, so the values are fixed here: FNV-1a but for its offset basis.
TEST(StableHash, HasTheSameValuesInEachVersion) {
  EXPECT_EQ(stableHash(""), 1469598103934665603ULL);
  EXPECT_EQ(stableHash("", 1), 1469598103934665602ULL);
  EXPECT_EQ(stableHash("a"), (1469598103934665603ULL ^ 0x61U) * 1099511628211ULL);
  EXPECT_EQ(stableHash("\xff"), (1469598103934665603ULL ^ 0xffU) * 1099511628211ULL) << "bytes have no sign";
}

}  // namespace
}  // namespace cairnjunction::lease::testing

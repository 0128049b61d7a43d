// The stable hash, whose values must be equal in all processes and versions.
#include "lease/stable_hash.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::lease::testing {
namespace {

// Gateways of two versions must compute the same shard for an endpoint, so the values are fixed here: FNV-1a
// with its own offset basis.
TEST(StableHash, ValuesAreTheSameInEachVersion) {
  EXPECT_EQ(stableHash(""), 1469598103934665603ULL);
  EXPECT_EQ(stableHash("", 1), 1469598103934665602ULL);
  EXPECT_EQ(stableHash("a"), (1469598103934665603ULL ^ 0x61U) * 1099511628211ULL);
  EXPECT_EQ(stableHash("\xff"), (1469598103934665603ULL ^ 0xffU) * 1099511628211ULL) << "bytes are unsigned";
}

}  // namespace
}  // namespace cairnjunction::lease::testing

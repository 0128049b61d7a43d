// Tests of the commands that the leader stores for members that join later.
#include "fleet/retained_commands.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::testing {
namespace {

using fleet::RetainedCommands;

lease::FencingToken token(std::uint32_t shard, lease::Epoch epoch, lease::Sequence sequence) {
  return {{"probe", shard}, epoch, sequence, {"n0", 1}};
}
fleet::SharedFrame frame(std::size_t size) { return std::make_shared<std::string>(size, 'x'); }

// Stale commands, of a former lease holder or out of order, arrive after later ones. The latest is kept.
TEST(RetainedCommands, StoresTheLatestCommandOfEachKey) {
  RetainedCommands retained;
  retained.store(token(0, 2, 5), frame(10));
  retained.store(token(0, 2, 4), frame(20));
  retained.store(token(0, 1, 9), frame(20));
  retained.store(token(0, 2, 5), frame(20));
  EXPECT_EQ(retained.bytes(), 10u);
  retained.store(token(0, 3, 1), frame(30));
  retained.store(token(1, 1, 1), frame(5));
  EXPECT_EQ(retained.bytes(), 35u);
  ASSERT_EQ(retained.entries().size(), 2u);
  EXPECT_EQ(retained.entries().at({"probe", 0}).token.epoch, 3u);
  retained.clear();
  EXPECT_EQ(retained.bytes(), 0u);
  EXPECT_TRUE(retained.entries().empty());
}

// Members send more than the leader may store. A command that would exceed a limit is not stored, and stored
// ones are kept.
TEST(RetainedCommands, LimitsBytesAndKeys) {
  RetainedCommands retained;
  retained.store(token(0, 1, 1), frame(RetainedCommands::kMaxBytes));
  retained.store(token(1, 1, 1), frame(1));
  EXPECT_EQ(retained.entries().size(), 1u);
  retained.store(token(0, 1, 2), frame(RetainedCommands::kMaxBytes + 1));
  EXPECT_EQ(retained.entries().at({"probe", 0}).token.sequence, 1u);
  retained.store(token(0, 1, 2), frame(1));
  EXPECT_EQ(retained.bytes(), 1u) << "a smaller command replaces a larger one";
  for (std::uint32_t shard = 1; shard < 2 * RetainedCommands::kMaxKeys; ++shard)
    retained.store(token(shard, 1, 1), frame(1));
  EXPECT_EQ(retained.entries().size(), RetainedCommands::kMaxKeys);
}

}  // namespace
}  // namespace cairnjunction::testing

// Tests of the filter that rejects outdated endpoint lists.
#include "fleet/endpoint_list_filter.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::testing {
namespace {

// Lists arrive late, from other addresses of discovery, after discovery has restarted its numbering, and from
// a discovery that is no longer configured. An older list never replaces a newer one.
TEST(EndpointListFilter, RejectsListsOlderThanTheCurrentOne) {
  fleet::EndpointListFilter filter;
  EXPECT_TRUE(filter.accept({"a", 0, 5}));
  EXPECT_FALSE(filter.accept({"a", 0, 4}));
  EXPECT_FALSE(filter.accept({"b", 0, 4})) << "nor from another address of discovery";
  EXPECT_TRUE(filter.accept({"b", 0, 5}));
  filter.onOwnList("a", 7);
  EXPECT_FALSE(filter.accept({"b", 0, 6}));
  filter.onOwnList("a", 2);  // discovery has restarted its numbering
  EXPECT_EQ(filter.currentVersion()->epoch, 1u);
  EXPECT_FALSE(filter.accept({"b", 0, 900})) << "from the previous epoch";
  EXPECT_TRUE(filter.accept({"b", 1, 3}));
  filter.onSourceChange("a", "c");
  EXPECT_FALSE(filter.accept({"a", 1, 99})) << "from a former source";
  filter.onOwnList("c", 50);
  EXPECT_EQ(filter.currentVersion()->epoch, 2u)
      << "a change of source begins an epoch even if the version is higher";
  EXPECT_FALSE(filter.accept({"b", 1, 60}));
  filter.onSourceChange("c", "a");
  EXPECT_TRUE(filter.accept({"a", 3, 1}));
  for (int i = 0; i < 100; ++i) filter.onSourceChange(std::to_string(i), std::to_string(i + 1));
  EXPECT_TRUE(filter.accept({"3", 9, 1})) << "only the last former sources are remembered";
}

}  // namespace
}  // namespace cairnjunction::testing

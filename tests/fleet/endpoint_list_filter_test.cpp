// Which lists a member acts on.
#include "fleet/endpoint_list_filter.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::testing {
namespace {

// Lists come late, by other addresses of discovery, after discovery has begun to number anew, and from a
// discovery that the member was moved away from. None undoes what a newer one has said.
TEST(EndpointListFilter, NoListUndoesWhatANewerOneSaid) {
  fleet::EndpointListFilter filter;
  EXPECT_TRUE(filter.accept({"a", 0, 5}));
  EXPECT_FALSE(filter.accept({"a", 0, 4}));
  EXPECT_FALSE(filter.accept({"b", 0, 4})) << "nor by another address of discovery";
  EXPECT_TRUE(filter.accept({"b", 0, 5}));
  filter.onOwnList("a", 7);
  EXPECT_FALSE(filter.accept({"b", 0, 6}));
  filter.onOwnList("a", 2);  // discovery numbers anew, by its own answer
  EXPECT_EQ(filter.held()->epoch, 1u);
  EXPECT_FALSE(filter.accept({"b", 0, 900})) << "of the epoch before";
  EXPECT_TRUE(filter.accept({"b", 1, 3}));
  filter.onSourceChange("a", "c");
  EXPECT_FALSE(filter.accept({"a", 1, 99})) << "of the discovery that was left";
  filter.onOwnList("c", 50);
  EXPECT_EQ(filter.held()->epoch, 2u) << "another epoch, though its number is higher";
  EXPECT_FALSE(filter.accept({"b", 1, 60}));
  filter.onSourceChange("c", "a");
  EXPECT_TRUE(filter.accept({"a", 3, 1}));
  for (int i = 0; i < 100; ++i) filter.onSourceChange(std::to_string(i), std::to_string(i + 1));
  EXPECT_TRUE(filter.accept({"3", 9, 1})) << "only the last few are remembered";
}

}  // namespace
}  // namespace cairnjunction::testing

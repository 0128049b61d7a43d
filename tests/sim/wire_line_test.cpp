#include "sim/wire_line.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::sim {
namespace {

TEST(WireLine, PairsAreTakenInOrder) {
  std::string_view rest = "a=1  b=x=y c=";
  const auto first = nextPair(rest);
  EXPECT_EQ(first->name, "a");
  EXPECT_EQ(parseNumber<int>(*first), 1);
  EXPECT_EQ(nextPair(rest)->value, "x=y");
  EXPECT_EQ(nextPair(rest)->value, "");
  EXPECT_FALSE(nextPair(rest));
}

TEST(WireLine, WhatIsNoPairOrNoNumberIsSaidSo) {
  std::string_view rest = "word";
  EXPECT_THROW(nextPair(rest), BadLine);
  EXPECT_THROW(parseNumber<int>({"go", "1x"}), BadLine);
  EXPECT_THROW(parseNumber<std::uint32_t>({"go", "-1"}), BadLine);
  EXPECT_THROW(parseBool({"terminal", "yes"}), BadLine);
  EXPECT_THROW(parseHex({"routeKey", "xyz"}), BadLine);
}

TEST(WireLine, IndexedNamesAreTakenApart) {
  const auto name = indexedName("grades.12.aimNs", "grades");
  ASSERT_TRUE(name);
  EXPECT_EQ(name->index, 12U);
  EXPECT_EQ(name->field, "aimNs");
  EXPECT_FALSE(indexedName("grades.count", "grades"));
  EXPECT_FALSE(indexedName("gradesX.1.a", "grades"));
  EXPECT_FALSE(indexedName("grades.1001.a", "grades")) << "a peer must not make lists grow";
}

TEST(WireLine, NamesAreSplitAtCommas) {
  EXPECT_EQ(parseNames("a,,b"), (std::vector<std::string>{"a", "b"}));
  EXPECT_TRUE(parseNames("").empty());
}

}  // namespace
}  // namespace cairnjunction::sim

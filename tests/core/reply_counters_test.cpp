// Tests the counts of replies by class name and status, also across changes of the classes.
#include "core/reply_counters.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::testing {
namespace {

std::vector<policy::ClassSettings> classesNamed(const std::vector<std::string>& names) {
  std::vector<policy::ClassSettings> classes;
  for (const std::string& name : names) classes.emplace_back().name = name;
  return classes;
}

TEST(ReplyCounters, RepliesAreCountedByClassAndStatus) {
  ReplyCounters counters;
  counters.setClasses(classesNamed({"a", "b"}));
  counters.add(0, ReplyStatus::ok);
  counters.add(1, ReplyStatus::rejected);
  counters.add(1, ReplyStatus::failed);
  counters.add(1, ReplyStatus::failed);
  ASSERT_EQ(counters.counts().size(), 2u);
  EXPECT_EQ(counters.counts()[0].className, "a");
  EXPECT_EQ(counters.counts()[0].ok, 1u);
  EXPECT_EQ(counters.counts()[1].rejected, 1u);
  EXPECT_EQ(counters.counts()[1].failed, 2u);
}

// A reload may give a class another index, but the metrics identify it by its name.
TEST(ReplyCounters, CountsOfANameContinueAcrossNewSettings) {
  ReplyCounters counters;
  counters.setClasses(classesNamed({"a", "b"}));
  counters.add(0, ReplyStatus::ok);
  counters.setClasses(classesNamed({"c", "a"}));
  counters.add(1, ReplyStatus::ok);
  ASSERT_EQ(counters.counts().size(), 3u);
  EXPECT_EQ(counters.counts()[0].ok, 2u);
  EXPECT_EQ(counters.counts()[2].className, "c");
}

TEST(ReplyCounters, IndexesWithTheSameNameShareTheirCounts) {
  ReplyCounters counters;
  counters.setClasses(classesNamed({"a", "a"}));
  counters.add(0, ReplyStatus::ok);
  counters.add(1, ReplyStatus::ok);
  ASSERT_EQ(counters.counts().size(), 1u);
  EXPECT_EQ(counters.counts()[0].ok, 2u);
}

TEST(ReplyCounters, UnknownClassIsNotCounted) {
  ReplyCounters counters;
  counters.add(0, ReplyStatus::ok);
  counters.add(policy::kNone, ReplyStatus::ok);
  EXPECT_TRUE(counters.counts().empty());
}

TEST(ReplyCounters, NumberOfNamesIsLimited) {
  ReplyCounters counters;
  EXPECT_TRUE(counters.hasCapacityFor(4096));
  EXPECT_FALSE(counters.hasCapacityFor(4097));
  counters.setClasses(classesNamed({"a"}));
  EXPECT_TRUE(counters.hasCapacityFor(4095));
  EXPECT_FALSE(counters.hasCapacityFor(4096));
}

}  // namespace
}  // namespace cairnjunction::testing

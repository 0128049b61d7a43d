// Tests the table of classes by index: an index that an open call uses keeps its definition when the settings
// change.
#include "core/class_table.hpp"

#include <gtest/gtest.h>

#include <random>

namespace cairnjunction::testing {
namespace {

using policy::ClassSettings;
using policy::Idempotency;

ClassSettings named(const std::string& name, Idempotency idempotency = Idempotency::unsafe) {
  ClassSettings settings;
  settings.name = name;
  settings.idempotency = idempotency;
  settings.latencyObjective = settings.clientTimeout = std::chrono::seconds(1);
  return settings;
}
// Which indexes open calls use.
bool none(std::uint32_t) { return false; }
bool all(std::uint32_t) { return true; }

TEST(ClassTable, UnchangedClassKeepsItsIndex) {
  const ClassTable table({named("a"), named("b")});
  const auto next = table.withClasses({named("b"), named("a")}, all);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->current().at("a"), 0u);
  EXPECT_EQ(next->current().at("b"), 1u);
  EXPECT_EQ(next->byIndex().size(), 2u);
}

TEST(ClassTable, ChangedClassGetsAnotherIndexWhileACallUsesTheOldOne) {
  const ClassTable table({named("a", Idempotency::safe)});
  const auto next = table.withClasses({named("a", Idempotency::unsafe)}, all);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->current().at("a"), 1u);
  EXPECT_EQ(next->byIndex()[0].idempotency, Idempotency::safe) << "an open call uses it";
  const auto free = table.withClasses({named("a", Idempotency::unsafe)}, none);
  ASSERT_TRUE(free);
  EXPECT_EQ(free->current().at("a"), 0u) << "the index is reused";
}

TEST(ClassTable, RemovedClassIsNoLongerFoundByName) {
  const ClassTable table({named("a"), named("b")});
  const auto next = table.withClasses({named("b")}, all);
  ASSERT_TRUE(next);
  EXPECT_FALSE(next->current().contains("a"));
  EXPECT_EQ(next->byIndex().size(), 2u);
}

TEST(ClassTable, NumberOfClassesIsLimited) {
  ClassTable table({named("a")});
  for (std::size_t i = 0; i + 1 < ClassTable::kMaxClasses; ++i) {
    auto next = table.withClasses({named("a" + std::to_string(i))}, all);
    ASSERT_TRUE(next) << i;
    table = std::move(*next);
  }
  EXPECT_FALSE(table.withClasses({named("one more")}, all));
  EXPECT_TRUE(table.withClasses({named("one more")}, none)) << "no call uses the others";
}

TEST(ClassTable, RandomChangesNeverRedefineAnIndexInUse) {
  std::mt19937 random(20261201);
  for (int run = 0; run < 50; ++run) {
    ClassTable table({named("a"), named("b"), named("c")});
    std::vector<bool> inUse(ClassTable::kMaxClasses, false);
    for (int step = 0; step < 60; ++step) {
      std::vector<ClassSettings> classes;
      for (const char* name : {"a", "b", "c", "d", "e"})
        if (random() % 3 > 0) classes.push_back(named(name, static_cast<Idempotency>(random() % 3)));
      if (classes.empty()) classes.push_back(named("z"));
      for (std::size_t i = 0; i < table.byIndex().size(); ++i) inUse[i] = random() % 2 == 0;
      const auto next = table.withClasses(classes, [&](std::uint32_t i) { return inUse[i]; });
      ASSERT_TRUE(next);
      ASSERT_EQ(next->current().size(), classes.size());
      for (const ClassSettings& settings : classes) {
        const ClassSettings& stored = next->byIndex()[next->current().at(settings.name)];
        ASSERT_EQ(stored.name, settings.name);
        ASSERT_EQ(stored.idempotency, settings.idempotency);
      }
      for (std::size_t i = 0; i < table.byIndex().size(); ++i) {
        if (!inUse[i]) continue;
        ASSERT_EQ(next->byIndex()[i].name, table.byIndex()[i].name);
        ASSERT_EQ(next->byIndex()[i].idempotency, table.byIndex()[i].idempotency);
      }
      table = *next;
    }
  }
}

}  // namespace
}  // namespace cairnjunction::testing

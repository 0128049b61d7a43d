// Classes by index, through changes of the settings.
#include "core/class_table.hpp"

#include <gtest/gtest.h>

#include <random>

namespace cairnjunction::testing {
namespace {

using policy::ClassSettings;
using policy::Idempotency;

ClassSettings named(const std::string& name, Idempotency effect = Idempotency::unsafe) {
  ClassSettings c;
  c.name = name;
  c.idempotency = effect;
  c.latencyObjective = c.clientTimeout = std::chrono::seconds(1);
  return c;
}
bool none(std::uint32_t) { return false; }
bool all(std::uint32_t) { return true; }

TEST(ClassTable, WhatStaysKeepsItsIndex) {
  const ClassTable table({named("a"), named("b")});
  const auto next = table.withClasses({named("b"), named("a")}, all);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->current().at("a"), 0u);
  EXPECT_EQ(next->current().at("b"), 1u);
  EXPECT_EQ(next->byIndex().size(), 2u);
}

TEST(ClassTable, AChangedClassHasAnotherIndexWhileACallHoldsItsOldOne) {
  const ClassTable table({named("a", Idempotency::safe)});
  const auto next = table.withClasses({named("a", Idempotency::unsafe)}, all);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->current().at("a"), 1u);
  EXPECT_EQ(next->byIndex()[0].idempotency, Idempotency::safe) << "a call goes by it";
  const auto free = table.withClasses({named("a", Idempotency::unsafe)}, none);
  ASSERT_TRUE(free);
  EXPECT_EQ(free->current().at("a"), 0u) << "given out again";
}

TEST(ClassTable, WhatIsOverIsNoLongerFoundByName) {
  const ClassTable table({named("a"), named("b")});
  const auto next = table.withClasses({named("b")}, all);
  ASSERT_TRUE(next);
  EXPECT_FALSE(next->current().contains("a"));
  EXPECT_EQ(next->byIndex().size(), 2u);
}

TEST(ClassTable, ItsSizeIsBounded) {
  ClassTable table({named("a")});
  for (std::size_t i = 0; i + 1 < ClassTable::kMaxClasses; ++i) {
    auto next = table.withClasses({named("a" + std::to_string(i))}, all);
    ASSERT_TRUE(next) << i;
    table = std::move(*next);
  }
  EXPECT_FALSE(table.withClasses({named("one more")}, all));
  EXPECT_TRUE(table.withClasses({named("one more")}, none)) << "nothing holds the others";
}

TEST(ClassTable, OverRandomChangesAHeldIndexNeverChangesItsMeaning) {
  std::mt19937 random(20261201);
  for (int run = 0; run < 50; ++run) {
    ClassTable table({named("a"), named("b"), named("c")});
    std::vector<bool> held(ClassTable::kMaxClasses, false);
    for (int step = 0; step < 60; ++step) {
      std::vector<ClassSettings> classes;
      for (const char* name : {"a", "b", "c", "d", "e"})
        if (random() % 3 > 0) classes.push_back(named(name, static_cast<Idempotency>(random() % 3)));
      if (classes.empty()) classes.push_back(named("z"));
      for (std::size_t i = 0; i < table.byIndex().size(); ++i) held[i] = random() % 2 == 0;
      const auto next = table.withClasses(classes, [&](std::uint32_t i) { return held[i]; });
      ASSERT_TRUE(next);
      ASSERT_EQ(next->current().size(), classes.size());
      for (const ClassSettings& c : classes) {
        const ClassSettings& at = next->byIndex()[next->current().at(c.name)];
        ASSERT_EQ(at.name, c.name);
        ASSERT_EQ(at.idempotency, c.idempotency);
      }
      for (std::size_t i = 0; i < table.byIndex().size(); ++i) {
        if (!held[i]) continue;
        ASSERT_EQ(next->byIndex()[i].name, table.byIndex()[i].name);
        ASSERT_EQ(next->byIndex()[i].idempotency, table.byIndex()[i].idempotency);
      }
      table = *next;
    }
  }
}

}  // namespace
}  // namespace cairnjunction::testing

// Plans and budgets of pools, and limits: decisions under a clock of the tests.
#include <gtest/gtest.h>

#include <random>

#include "limits/limiter.hpp"
#include "pools/passive_health_filter.hpp"
#include "pools/shared_quota.hpp"

namespace cairnjunction::pools {
namespace {

using namespace std::chrono_literals;
using policy::Timestamp;
using V = std::vector<bool>;

std::vector<route::PoolServer> servers(std::size_t n) { return std::vector<route::PoolServer>(n); }

TEST(PlanTest, FailuresTakeAServerOutForItsTime) {
  auto two = servers(2);
  two[0].failsMost = 2;
  PassiveHealthFilter plan(two);
  EXPECT_EQ(plan.offered(), (V{true, true}));
  EXPECT_FALSE(plan.onResult(Timestamp(1s), 0, true));
  EXPECT_FALSE(plan.onResult(Timestamp(12s), 0, true));  // the first one is too long ago
  EXPECT_TRUE(plan.onResult(Timestamp(13s), 0, true));
  EXPECT_EQ(plan.offered(), (V{false, true}));
  EXPECT_EQ(plan.next(), Timestamp(23s));
  EXPECT_FALSE(plan.onTime(Timestamp(22s)));
  EXPECT_TRUE(plan.onTime(Timestamp(23s)));
  EXPECT_EQ(plan.offered(), (V{true, true}));
  EXPECT_FALSE(plan.next());
}

TEST(PlanTest, AnAnswerEndsTheCount) {
  auto two = servers(2);
  two[0].failsMost = 2;
  PassiveHealthFilter plan(two);
  plan.onResult(Timestamp(1s), 0, true);
  plan.onResult(Timestamp(2s), 0, false);
  EXPECT_FALSE(plan.onResult(Timestamp(3s), 0, true));
}

TEST(PlanTest, BackupsAreOfferedOnlyWhileNoOtherIsIn) {
  auto all = servers(4);
  all[2].backup = true;
  all[3].down = true;
  PassiveHealthFilter plan(all);
  EXPECT_EQ(plan.offered(), (V{true, true, false, false}));
  plan.onResult(Timestamp(1s), 0, true);
  EXPECT_EQ(plan.offered(), (V{false, true, false, false}));
  plan.onResult(Timestamp(2s), 1, true);
  EXPECT_EQ(plan.offered(), (V{false, false, true, false}));
  plan.onResult(Timestamp(3s), 2, true);
  EXPECT_EQ(plan.offered(), (V{true, true, true, false}));  // any beats none, but what is down stays down
  plan.onTime(Timestamp(11s));
  EXPECT_EQ(plan.offered(), (V{true, false, false, false}));
}

TEST(PlanTest, AllPrimariesDownLeavesTheBackups) {
  auto all = servers(2);
  all[0].down = true;
  all[1].backup = true;
  EXPECT_EQ(PassiveHealthFilter(all).offered(), (V{false, true}));
  all[1].down = true;
  EXPECT_EQ(PassiveHealthFilter(all).offered(), (V{false, false}));  // a pool with no server left
  EXPECT_TRUE(PassiveHealthFilter({}).offered().empty());
}

TEST(PlanTest, ASingleServerAndOneWithNoMostAreNeverOut) {
  PassiveHealthFilter single(servers(1));
  EXPECT_FALSE(single.onResult(Timestamp(1s), 0, true));
  auto two = servers(2);
  two[0].failsMost = 0;
  PassiveHealthFilter plan(two);
  for (int i = 0; i < 10; ++i) EXPECT_FALSE(plan.onResult(Timestamp(policy::Duration(i)), 0, true));
}

TEST(PlanTest, WhatCountsAsAFailure) {
  using policy::FailureReason;
  using policy::Outcome;
  EXPECT_TRUE(failed(Outcome::timeout, FailureReason::unknown));
  EXPECT_TRUE(failed(Outcome::reset, FailureReason::unknown));
  EXPECT_TRUE(failed(Outcome::connectFailed, FailureReason::connectionRefused));
  EXPECT_TRUE(failed(Outcome::connectFailed, FailureReason::connectTimeout));
  EXPECT_FALSE(failed(Outcome::connectFailed, FailureReason::noDescriptor));  // our own lack
  EXPECT_FALSE(failed(Outcome::overloaded, FailureReason::unknown));
  EXPECT_FALSE(failed(Outcome::served, FailureReason::unknown));
  EXPECT_FALSE(failed(Outcome::cancelled, FailureReason::unknown));
}

TEST(BudgetTest, NoPoolTakesAnothersPart) {
  SharedQuota budget(100, 4);  // 12 each for sure, 52 for whoever comes first
  std::uint64_t taken = 0;
  while (budget.take(0, 1)) ++taken;
  EXPECT_EQ(taken, 64u);
  for (std::size_t pool = 1; pool < 4; ++pool) {
    EXPECT_TRUE(budget.take(pool, budget.sure()));
    EXPECT_FALSE(budget.take(pool, 1));
  }
  budget.give(0, 1);
  EXPECT_TRUE(budget.take(3, 1));
  EXPECT_FALSE(budget.take(0, 1));
}

TEST(BudgetTest, TheOnlyPoolHasAll) {
  SharedQuota budget(10, 1);
  EXPECT_TRUE(budget.take(0, 10));
  EXPECT_FALSE(budget.take(0, 1));
  budget.give(0, 10);
  EXPECT_EQ(budget.held(0), 0u);
}

TEST(BudgetTest, WhateverComesTheTotalHoldsAndNothingLeaks) {
  std::mt19937 random(11);
  SharedQuota budget(1000, 7);
  std::vector<std::vector<std::uint64_t>> held(7);
  for (int i = 0; i < 50000; ++i) {
    const std::size_t pool = random() % 7;
    if (random() % 2 && !held[pool].empty()) {
      budget.give(pool, held[pool].back());
      held[pool].pop_back();
    } else {
      const std::uint64_t amount = random() % 60;
      std::uint64_t before = 0, mine = 0;
      for (std::size_t p = 0; p < 7; ++p) before += budget.held(p);
      mine = budget.held(pool);
      if (budget.take(pool, amount)) held[pool].push_back(amount);
      else {
        ASSERT_GT(mine + amount, budget.sure()) << "its own part was refused";
      }
      ASSERT_LE(before, 1000u);
    }
  }
  for (std::size_t pool = 0; pool < 7; ++pool) {
    for (const std::uint64_t amount : held[pool]) budget.give(pool, amount);
    EXPECT_EQ(budget.held(pool), 0u);
  }
  EXPECT_TRUE(budget.take(0, budget.sure() + (1000 - 7 * budget.sure())));
}

route::Routes zones(std::uint64_t perMinute, std::uint64_t bytes) {
  route::Routes routes;
  routes.rateZones = {{"r", "$uri", perMinute, bytes}};
  routes.connectionZones = {{"c", "$uri", 1 << 20}};
  return routes;
}

TEST(LimiterTest, ABucketDrainsAtItsRate) {
  limits::Limiter limiter(zones(60, 1 << 20));  // one a second
  route::Location location;
  location.rateStatus = 429;
  route::Decision d;
  d.location = &location;
  d.rates = {{0, "k", 1}};
  EXPECT_EQ(limiter.admit(0s, d), 0);
  EXPECT_EQ(limiter.admit(0s, d), 0);
  EXPECT_EQ(limiter.admit(0s, d), 429);
  EXPECT_EQ(limiter.admit(900ms, d), 429);  // what is turned down does not count
  EXPECT_EQ(limiter.admit(1s, d), 0);
  EXPECT_EQ(limiter.admit(1s, d), 429);
  EXPECT_EQ(limiter.admit(100s, d), 0);
  d.rates[0].key = "other";
  EXPECT_EQ(limiter.admit(100s, d), 0);
}

TEST(LimiterTest, WhatIsUnderWayIsCountedAndGivenBack) {
  limits::Limiter limiter(zones(60, 1 << 20));
  route::Location location;
  route::Decision d;
  d.location = &location;
  d.connections = {{0, "k", 2}};
  EXPECT_EQ(limiter.admit(0s, d), 0);
  EXPECT_EQ(limiter.admit(0s, d), 0);
  EXPECT_EQ(limiter.admit(0s, d), 503);
  limiter.over(d.connections);
  EXPECT_EQ(limiter.admit(0s, d), 0);
  limiter.over(d.connections);
  limiter.over(d.connections);
  EXPECT_EQ(limiter.keys(), 0u);
}

TEST(LimiterTest, KeysAreBoundedByTheZonesMemory) {
  limits::Limiter limiter(zones(60, 10 * limits::Limiter::kEntryBytes));
  route::Location location;
  route::Decision d;
  d.location = &location;
  for (int i = 0; i < 1000; ++i) {
    d.rates = {{0, std::to_string(i), 0}};
    EXPECT_EQ(limiter.admit(limits::Time(i), d), 0);
    EXPECT_LE(limiter.keys(), 10u);
  }
}

}  // namespace
}  // namespace cairnjunction::pools

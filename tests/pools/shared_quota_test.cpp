// The quota shared by pools.
#include "pools/shared_quota.hpp"

#include <gtest/gtest.h>

#include <cstdint>
#include <random>
#include <vector>

namespace cairnjunction::pools {
namespace {

TEST(SharedQuotaTest, APoolCannotAcquireAnothersGuaranteedPart) {
  SharedQuota quota(100, 4);  // 12 guaranteed to each, 52 to borrow
  std::uint64_t acquired = 0;
  while (quota.acquire(0, 1)) ++acquired;
  EXPECT_EQ(acquired, 64u);
  for (std::size_t pool = 1; pool < 4; ++pool) {
    EXPECT_TRUE(quota.acquire(pool, quota.guaranteed()));
    EXPECT_FALSE(quota.acquire(pool, 1));
  }
  quota.release(0, 1);
  EXPECT_TRUE(quota.acquire(3, 1));
  EXPECT_FALSE(quota.acquire(0, 1));
}

TEST(SharedQuotaTest, AnOnlyPoolCanAcquireTheTotal) {
  SharedQuota quota(10, 1);
  EXPECT_TRUE(quota.acquire(0, 10));
  EXPECT_FALSE(quota.acquire(0, 1));
  quota.release(0, 10);
  EXPECT_EQ(quota.acquiredBy(0), 0u);
}

TEST(SharedQuotaTest, RandomUseStaysWithinTheTotalAndLeaksNothing) {
  std::mt19937 random(11);
  SharedQuota quota(1000, 7);
  std::vector<std::vector<std::uint64_t>> held(7);
  for (int i = 0; i < 50000; ++i) {
    const std::size_t pool = random() % 7;
    if (random() % 2 && !held[pool].empty()) {
      quota.release(pool, held[pool].back());
      held[pool].pop_back();
    } else {
      const std::uint64_t amount = random() % 60;
      std::uint64_t total = 0, own = 0;
      for (std::size_t p = 0; p < 7; ++p) total += quota.acquiredBy(p);
      own = quota.acquiredBy(pool);
      if (quota.acquire(pool, amount)) held[pool].push_back(amount);
      else {
        ASSERT_GT(own + amount, quota.guaranteed()) << "an amount within its guaranteed part was rejected";
      }
      ASSERT_LE(total, 1000u);
    }
  }
  for (std::size_t pool = 0; pool < 7; ++pool) {
    for (const std::uint64_t amount : held[pool]) quota.release(pool, amount);
    EXPECT_EQ(quota.acquiredBy(pool), 0u);
  }
  EXPECT_TRUE(quota.acquire(0, quota.guaranteed() + (1000 - 7 * quota.guaranteed())));
}

}  // namespace
}  // namespace cairnjunction::pools

// Tests the queue of each key, and its cooldown.
#include "policy/key_serializer.hpp"

#include <gtest/gtest.h>

#include <chrono>

namespace cairnjunction::policy::testing {
namespace {

using std::chrono::seconds;

constexpr std::uint64_t kKey = 42;
constexpr Timestamp kStart{seconds(100)};

TEST(KeySerializer, NextHeadReturnsOnlyTheHeadOfAQueue) {
  KeySerializer keys;
  EXPECT_EQ(keys.enqueue(kKey, 1), 0U);
  EXPECT_EQ(keys.enqueue(kKey, 2), 1U);
  EXPECT_EQ(keys.enqueue(kKey + 1, 3), 0U) << "another key";
  keys.markChanged(kKey);
  EXPECT_EQ(keys.nextHead(kStart)->slot, 1U);
  EXPECT_FALSE(keys.nextHead(kStart)) << "returned once for each mark";
  keys.remove(kKey, 1);
  EXPECT_EQ(keys.nextHead(kStart)->slot, 2U);
}

// The caller ends a head that would be too late; the next one must be returned within the same event.
TEST(KeySerializer, NextHeadCoversKeysMarkedBetweenCalls) {
  KeySerializer keys;
  keys.enqueue(kKey, 1);
  keys.enqueue(kKey, 2);
  keys.markChanged(kKey);
  EXPECT_EQ(keys.nextHead(kStart)->slot, 1U);
  keys.remove(kKey, 1);
  EXPECT_EQ(keys.nextHead(kStart)->slot, 2U);
  EXPECT_FALSE(keys.nextHead(kStart));
}

TEST(KeySerializer, CooldownOutlivesAnEmptyQueue) {
  KeySerializer keys;
  keys.enqueue(kKey, 1);
  keys.coolDown(kKey, kStart + seconds(1));
  keys.remove(kKey, 1);
  EXPECT_FALSE(keys.nextHead(kStart));
  keys.update(kStart);
  EXPECT_EQ(keys.keyCount(), 1U);
  keys.enqueue(kKey, 2);
  keys.markChanged(kKey);
  EXPECT_EQ(keys.nextHead(kStart)->notBefore, kStart + seconds(1));
  keys.remove(kKey, 2);
  keys.update(kStart + seconds(1));
  EXPECT_EQ(keys.keyCount(), 0U);
}

}  // namespace
}  // namespace cairnjunction::policy::testing

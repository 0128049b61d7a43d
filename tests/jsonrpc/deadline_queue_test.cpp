#include "jsonrpc/deadline_queue.hpp"

#include <gtest/gtest.h>

#include <map>

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using jsonrpc::DeadlineQueue;
using Time = DeadlineQueue::Time;

const Time kStart = Time() + 1h;

class DeadlineQueueTest : public ::testing::Test {
 protected:
  DeadlineQueue queue;
  std::map<std::uint64_t, Time> current;  // by call

  void set(std::uint64_t call, Time time) {
    current[call] = time;
    queue.add({time, call});
  }
  auto isCurrent() {
    return [this](const DeadlineQueue::Deadline& deadline) {
      const auto known = current.find(deadline.call);
      return known != current.end() && known->second == deadline.time;
    };
  }
};

TEST_F(DeadlineQueueTest, DeadlinesFallDueInTheOrderOfTheirTime) {
  set(1, kStart + 30ms);
  set(2, kStart + 10ms);
  set(3, kStart + 20ms);
  EXPECT_EQ(queue.earliest(isCurrent()), kStart + 10ms);
  EXPECT_EQ(queue.takeDue(kStart + 9ms, isCurrent()), std::nullopt);
  EXPECT_EQ(queue.takeDue(kStart + 20ms, isCurrent()), 2u);
  EXPECT_EQ(queue.takeDue(kStart + 20ms, isCurrent()), 3u);
  EXPECT_EQ(queue.takeDue(kStart + 20ms, isCurrent()), std::nullopt);
  EXPECT_EQ(queue.earliest(isCurrent()), kStart + 30ms);
}

TEST_F(DeadlineQueueTest, FormerDeadlinesArePassedOver) {
  set(1, kStart + 10ms);
  set(1, kStart + 30ms);
  set(2, kStart + 20ms);
  current.erase(2);
  EXPECT_EQ(queue.takeDue(kStart + 29ms, isCurrent()), std::nullopt);
  EXPECT_EQ(queue.earliest(isCurrent()), kStart + 30ms);
  current.clear();
  EXPECT_EQ(queue.earliest(isCurrent()), std::nullopt);
}

// Calls end long before their deadlines. On a busy connection the former ones must not fill the memory.
TEST_F(DeadlineQueueTest, TooManyFormerDeadlinesAreTold) {
  for (std::uint64_t i = 0; i < 66; ++i) set(1, kStart + i * 1ms);
  EXPECT_FALSE(queue.hasTooManyFormer(1));
  set(1, kStart + 66ms);
  EXPECT_TRUE(queue.hasTooManyFormer(1));
  std::vector<DeadlineQueue::Deadline> kept;
  for (const auto& [call, time] : current) kept.push_back({time, call});
  queue.replace(std::move(kept));
  EXPECT_FALSE(queue.hasTooManyFormer(1));
  EXPECT_EQ(queue.takeDue(kStart + 66ms, isCurrent()), 1u);
}

}  // namespace
}  // namespace cairnjunction::testing

// Tests the order and fields of actions, and the limit of log lines.
#include "policy/action_queue.hpp"

#include <gtest/gtest.h>

#include "driver.hpp"

namespace cairnjunction::policy::testing {
namespace {

TEST(ActionQueue, ActionsKeepTheirOrderAndFields) {
  ActionQueue actions;
  actions.send(1, 2, 3, milliseconds(50));
  actions.reject(4, milliseconds(60));
  actions.scheduleWake(Timestamp(seconds(7)));
  const std::vector<Action>& pending = actions.pending();
  ASSERT_EQ(pending.size(), 3U);
  EXPECT_EQ(pending[0].kind, ActionKind::send);
  EXPECT_EQ(pending[0].request, 1U);
  EXPECT_EQ(pending[0].attempt, 2U);
  EXPECT_EQ(pending[0].endpoint, 3U);
  EXPECT_EQ(pending[0].timeLimit, milliseconds(50));
  EXPECT_EQ(pending[1].kind, ActionKind::reject);
  EXPECT_EQ(pending[1].endpoint, kNone);
  EXPECT_EQ(pending[1].retryAfter, milliseconds(60));
  EXPECT_EQ(pending[2].wakeAt, Timestamp(seconds(7)));
}

TEST(ActionQueue, AtMostOneLogLinePerSecond) {
  ActionQueue actions;
  const Timestamp start{seconds(100)};
  EXPECT_TRUE(actions.mayLog(start));
  actions.log(start, "text");
  EXPECT_FALSE(actions.mayLog(start + milliseconds(999)));
  EXPECT_TRUE(actions.mayLog(start + seconds(1)));
}

}  // namespace
}  // namespace cairnjunction::policy::testing

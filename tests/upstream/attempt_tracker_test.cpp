// The attempt tracker: attempts in flight, and reports of their ends.
#include "upstream/attempt_tracker.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace cairnjunction::testing {
namespace {

struct FakeConnection {};

class AttemptTrackerTest : public ::testing::Test {
 protected:
  std::vector<AttemptOutcome> ends;
  AttemptTracker<FakeConnection> tracker{[this](AttemptOutcome end) { ends.push_back(std::move(end)); }};
  const std::shared_ptr<FakeConnection> connection = std::make_shared<FakeConnection>();
};

TEST_F(AttemptTrackerTest, AnAttemptIsFoundUntilItEnds) {
  const AttemptKey key{7, 1};
  EXPECT_EQ(tracker.find(key), nullptr);
  tracker.add(key, connection);
  EXPECT_EQ(tracker.find(key), connection);
  EXPECT_EQ(tracker.find({7, 0}), nullptr);
  tracker.end({key, 3, policy::Outcome::served, {}, {}});
  EXPECT_EQ(tracker.find(key), nullptr);
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].outcome, policy::Outcome::served);
}

TEST_F(AttemptTrackerTest, AnAttemptWithoutAConnectionIsReportedAsNotSent) {
  tracker.endUnconnected({7, 0}, 3, policy::FailureReason::noDescriptor);
  ASSERT_EQ(ends.size(), 1u);
  EXPECT_EQ(ends[0].outcome, policy::Outcome::connectFailed);
  EXPECT_EQ(ends[0].failureReason, policy::FailureReason::noDescriptor);
  EXPECT_EQ(ends[0].connectionUse, policy::ConnectionUse::none);
  EXPECT_EQ(ends[0].endpoint, 3u);
}

// stop() closes connections without reporting the ends of their attempts.
TEST_F(AttemptTrackerTest, TakenAttemptsAreNotReported) {
  tracker.add({7, 0}, connection);
  tracker.add({8, 0}, connection);
  EXPECT_EQ(tracker.takeAll().size(), 2u);
  EXPECT_EQ(tracker.find({7, 0}), nullptr);
  EXPECT_TRUE(ends.empty());
}

TEST_F(AttemptTrackerTest, NothingIsReportedAfterStopReporting) {
  tracker.add({7, 0}, connection);
  tracker.stopReporting();
  tracker.end({{7, 0}, 3, policy::Outcome::reset, {}, {}});
  EXPECT_TRUE(ends.empty());
  EXPECT_EQ(tracker.find({7, 0}), nullptr);
}

TEST_F(AttemptTrackerTest, WrittenAttemptsAreCounted) {
  tracker.countWritten();
  tracker.countWritten();
  EXPECT_EQ(tracker.written(), 2u);
}

}  // namespace
}  // namespace cairnjunction::testing

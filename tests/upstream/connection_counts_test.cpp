// Connection counts: the total, the counts of tracked endpoints, and their reports.
#include "upstream/connection_counts.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace cairnjunction::testing {
namespace {

class ConnectionCountsTest : public ::testing::Test {
 protected:
  ConnectionCounts counts;
  std::vector<EndpointConnections> reported;

  ConnectionCountsTest() {
    counts.setObserver(
        [this](policy::EndpointId, EndpointConnections connections) { reported.push_back(connections); });
  }
  void expect(std::uint32_t open, std::uint32_t established) const {
    EXPECT_EQ(counts.of(1).open, open);
    EXPECT_EQ(counts.of(1).established, established);
    ASSERT_FALSE(reported.empty());
    EXPECT_EQ(reported.back().open, open);
    EXPECT_EQ(reported.back().established, established);
  }
};

TEST_F(ConnectionCountsTest, TrackingAnEndpointReportsZeroConnections) {
  counts.track(1);
  expect(0, 0);
  EXPECT_EQ(reported.size(), 1u);
}

TEST_F(ConnectionCountsTest, AConnectionCountsFromOpeningUntilClosed) {
  counts.track(1);
  counts.onOpening(1);
  expect(1, 0);
  counts.onEstablished(1);
  expect(1, 1);
  counts.onOpening(1);
  expect(2, 1);
  EXPECT_EQ(counts.total(), 2u);
  counts.onClosed(1, false);
  expect(1, 1);
  counts.onClosed(1, true);
  expect(0, 0);
  EXPECT_EQ(counts.total(), 0u);
}

// A connection that only streams a response still uses a descriptor, but its endpoint's id may have been
// reused for another endpoint by the time it is closed.
TEST_F(ConnectionCountsTest, AnExcludedConnectionCountsOnlyInTheTotal) {
  counts.track(1);
  counts.onOpening(1);
  counts.onEstablished(1);
  counts.exclude(1);
  expect(0, 0);
  EXPECT_EQ(counts.total(), 1u);
  counts.include(1);
  expect(1, 1);
  counts.exclude(1);
  counts.onExcludedClosed();
  expect(0, 0);
  EXPECT_EQ(counts.total(), 0u);
}

TEST_F(ConnectionCountsTest, AnUntrackedEndpointIsNotReported) {
  counts.track(1);
  counts.onOpening(1);
  counts.untrack(1);
  const std::size_t before = reported.size();
  counts.onEstablished(1);
  counts.onClosed(1, true);
  EXPECT_EQ(reported.size(), before);
  EXPECT_EQ(counts.of(1).open, 0u);
  EXPECT_EQ(counts.total(), 0u);
}

}  // namespace
}  // namespace cairnjunction::testing

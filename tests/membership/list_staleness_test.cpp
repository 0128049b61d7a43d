// Tests when endpoints contradict the list, and how resync requests are spaced.
#include "membership/list_staleness.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace cairnjunction {
namespace {

using namespace std::chrono_literals;
using policy::Timestamp;

constexpr ListContradictions kNone{10, 0, 0};
constexpr ListContradictions kOneUnreachable{10, 1, 0};

class ListStalenessTest : public ::testing::Test {
 public:
  EndpointHealthSettings settings;
  ListStaleness staleness{settings};  // the default jitter of 0.5 leaves the pauses unchanged
  Timestamp now{24h};

  // Calls takeResyncRequest() every 10 ms for `duration`. Returns when it returned true, from the start on.
  std::vector<policy::Duration> requests(policy::Duration duration,
                                         const ListContradictions& contradictions) {
    std::vector<policy::Duration> requested;
    for (const Timestamp start = now; now - start < duration; now += 10ms)
      if (staleness.takeResyncRequest(now, contradictions)) requested.push_back(now - start);
    return requested;
  }
};

TEST(ListContradictionsTest, OneUnreachableEndpointContradictsTheList) {
  EXPECT_FALSE((ListContradictions{4, 0, 0}.listMayBeStale()));
  EXPECT_TRUE((ListContradictions{4, 1, 0}.listMayBeStale()));
  EXPECT_TRUE((ListContradictions{4, 1, 3}.listMayBeStale()));
}

TEST(ListContradictionsTest, OverloadedEndpointsContradictTheListUnlessMostAreOverloaded) {
  EXPECT_TRUE((ListContradictions{4, 0, 1}.listMayBeStale()));
  EXPECT_TRUE((ListContradictions{4, 0, 2}.listMayBeStale()));
  EXPECT_FALSE((ListContradictions{4, 0, 3}.listMayBeStale()));
  EXPECT_FALSE((ListContradictions{1, 0, 1}.listMayBeStale()));
}

TEST_F(ListStalenessTest, NothingIsRequestedWithoutAContradiction) {
  EXPECT_TRUE(requests(60s, kNone).empty());
}

TEST_F(ListStalenessTest, PauseDoublesUpToEightTimesWhileAContradictionLasts) {
  EXPECT_EQ(requests(50s, kOneUnreachable), (std::vector<policy::Duration>{0s, 2s, 6s, 14s, 30s, 46s}));
}

// A list with changes arrives between the second and the third request. The current pause is unchanged, and
// the next one is the initial pause again.
TEST_F(ListStalenessTest, ChangedListResetsThePauseToTheInitialOne) {
  EXPECT_EQ(requests(3s, kOneUnreachable), (std::vector<policy::Duration>{0s, 2s}));
  staleness.onListChanged();
  EXPECT_EQ(requests(6s, kOneUnreachable), (std::vector<policy::Duration>{3s, 5s}));
}

// A contradiction ends and recurs within the pause: no resync is requested before the pause has ended.
TEST_F(ListStalenessTest, IntermittentContradictionDoesNotShortenThePause) {
  EXPECT_EQ(requests(1s, kOneUnreachable).size(), 1u);
  EXPECT_TRUE(requests(500ms, kNone).empty());
  EXPECT_EQ(requests(1s, kOneUnreachable), std::vector<policy::Duration>{500ms});
}

// A contradiction ends for longer than the pause. The next one counts as new: a resync is requested at once
// and again after 2 s.
TEST_F(ListStalenessTest, ContradictionAfterTheEndOfThePauseIsANewOne) {
  EXPECT_EQ(requests(7s, kOneUnreachable), (std::vector<policy::Duration>{0s, 2s, 6s}));
  requests(20s, kNone);
  EXPECT_EQ(requests(3s, kOneUnreachable), (std::vector<policy::Duration>{0s, 2s}));
}

// No resync is answered: each one is requested again after a second, and the pause does not grow.
TEST_F(ListStalenessTest, FailedResyncIsRequestedAgainSooner) {
  std::vector<policy::Duration> requested;
  for (const Timestamp start = now; now - start < 4500ms; now += 10ms) {
    if (!staleness.takeResyncRequest(now, kOneUnreachable)) continue;
    requested.push_back(now - start);
    staleness.onResyncFailed(now);
  }
  EXPECT_EQ(requested, (std::vector<policy::Duration>{0s, 1s, 2s, 3s, 4s}));
}

TEST_F(ListStalenessTest, JitterScalesStaleAfter) {
  settings.jitter = 0;
  const ListStaleness earliest(settings);
  settings.jitter = 1;
  const ListStaleness latest(settings);
  EXPECT_EQ(earliest.staleAfter(), settings.staleAfter / 2);
  EXPECT_EQ(latest.staleAfter(), settings.staleAfter * 3 / 2);
}

TEST_F(ListStalenessTest, AgeIsTheTimeSinceTheLastAnswer) {
  staleness.onAnswer(now);
  EXPECT_EQ(staleness.age(now + 3s), 3s);
}

}  // namespace
}  // namespace cairnjunction

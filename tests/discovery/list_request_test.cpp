// The targets and timeouts of the requests to discovery.
#include "discovery/list_request.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;

TEST(ListRequestTest, FullListRequestHasNoQueryAndDoesNotWait) {
  const DiscoveryTimeouts timeouts;
  const ListRequest request = fullListRequest(timeouts);
  EXPECT_EQ(request.kind, CallKind::fullList);
  EXPECT_EQ(request.target, "/discovery/hosts");
  EXPECT_EQ(request.timeout, timeouts.response + 1ms);
}

TEST(ListRequestTest, ChangesRequestHasTheVersionAndTheMinimumWait) {
  const DiscoveryTimeouts timeouts;
  const ListRequest request = changesRequest(17, timeouts);
  EXPECT_EQ(request.kind, CallKind::changesNow);
  EXPECT_EQ(request.target, "/discovery/hosts?since=17&timeout_ms=1");
  EXPECT_EQ(request.timeout, timeouts.response + 1ms);
}

TEST(ListRequestTest, LongPollTimesOutAfterItsWaitAndTheLinger) {
  const DiscoveryTimeouts timeouts;
  const ListRequest request = longPollRequest(0, 1500ms, timeouts);
  EXPECT_EQ(request.kind, CallKind::longPoll);
  EXPECT_EQ(request.target, "/discovery/hosts?since=0&timeout_ms=1500");
  EXPECT_EQ(request.timeout, 1500ms + timeouts.staleWatchLinger);
}

TEST(ListRequestTest, OpeningRequestsTheFullListOnlyWithoutAVersion) {
  EXPECT_EQ(openingRequest(std::nullopt, {}).kind, CallKind::fullList);
  EXPECT_EQ(openingRequest(0, {}).kind, CallKind::changesNow);
}

TEST(ListRequestTest, FullListRequestNeedsAFullList) {
  EXPECT_FALSE(isValidAnswer(CallKind::fullList, {1, false, {}}));
  EXPECT_TRUE(isValidAnswer(CallKind::fullList, {1, true, {}}));
  EXPECT_TRUE(isValidAnswer(CallKind::changesNow, {1, false, {}}));
  EXPECT_TRUE(isValidAnswer(CallKind::longPoll, {1, true, {}}));
}

}  // namespace
}  // namespace cairnjunction::testing

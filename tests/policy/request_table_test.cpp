// Tests the lookup of open requests and of their attempts.
#include "policy/request_table.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::policy::testing {
namespace {

TEST(RequestTable, RequestIdCanBeOpenOnlyOnce) {
  RequestTable requests;
  ActiveRequest* request = requests.open(7);
  ASSERT_TRUE(request);
  EXPECT_EQ(requests.find(RequestId{7}), request);
  EXPECT_FALSE(requests.open(7));
  EXPECT_EQ(requests.size(), 1U);
  requests.close(*request);
  EXPECT_FALSE(requests.find(RequestId{7}));
  EXPECT_EQ(requests.size(), 0U);
}

// A timer of an ended request must not act on the request that now uses its slot.
TEST(RequestTable, ReferenceToAClosedRequestFindsNothing) {
  RequestTable requests;
  ActiveRequest* first = requests.open(1);
  const RequestRef ref = first->ref;
  requests.close(*first);
  EXPECT_FALSE(requests.find(ref));
  const ActiveRequest* second = requests.open(2);
  EXPECT_EQ(second->ref.slot, ref.slot);
  EXPECT_FALSE(requests.find(ref));
  EXPECT_EQ(requests.find(second->ref), second);
}

TEST(RequestTable, FindsTheAttemptInFlightToAnEndpoint) {
  RequestTable requests;
  ActiveRequest& request = *requests.open(1);
  request.attemptCount = 2;
  request.attempts[0].endpoint = 5;
  request.attempts[0].mayHaveExecuted = true;
  request.attempts[1].endpoint = 6;
  request.attempts[1].inFlight = true;
  EXPECT_FALSE(requests.attemptInFlight(request.ref, 5));
  EXPECT_EQ(requests.attemptInFlight(request.ref, 6), &request.attempts[1]);
  EXPECT_TRUE(request.wasSentTo(5));
  EXPECT_FALSE(request.wasSentTo(kNone)) << "unused entries do not count";
  EXPECT_TRUE(request.mayHaveExecuted());
}

}  // namespace
}  // namespace cairnjunction::policy::testing

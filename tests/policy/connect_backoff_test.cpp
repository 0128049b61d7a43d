// Tests when new connections may be opened after connection failures.
#include "policy/connect_backoff.hpp"

#include <gtest/gtest.h>

#include "pool.hpp"

namespace cairnjunction::policy::testing {
namespace {

TEST(ConnectBackoff, BackoffDoublesWithEachConsecutiveFailure) {
  Pool pool(1);
  Endpoint& endpoint = pool.endpoints[0];
  for (const int expected : {1, 2, 4, 8, 8}) {
    ConnectBackoff::recordFailure(endpoint, kStart, pool.random);
    EXPECT_GE(endpoint.connections.connectAfter, kStart + milliseconds(500) * expected);
    EXPECT_LE(endpoint.connections.connectAfter, kStart + milliseconds(1500) * expected);
  }
  EXPECT_FALSE(ConnectBackoff::mayConnect(endpoint, kStart));
  ConnectBackoff::recordSuccess(endpoint);
  ConnectBackoff::recordFailure(endpoint, kStart, pool.random);
  EXPECT_LE(endpoint.connections.connectAfter, kStart + milliseconds(1500));
  ConnectBackoff::allowNow(endpoint, kStart);
  EXPECT_TRUE(ConnectBackoff::mayConnect(endpoint, kStart));
}

TEST(ConnectBackoff, NoNewConnectionsFor20MsAfterDescriptorsRunOut) {
  ConnectBackoff backoff;
  EXPECT_TRUE(backoff.hasDescriptors(kStart));
  backoff.recordNoDescriptor(kStart);
  EXPECT_FALSE(backoff.hasDescriptors(kStart));
  EXPECT_TRUE(backoff.hasDescriptors(kStart + milliseconds(20)));
}

}  // namespace
}  // namespace cairnjunction::policy::testing

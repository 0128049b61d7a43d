// The passive health filter: which servers it offers.
#include "pools/passive_health_filter.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace cairnjunction::pools {
namespace {

using namespace std::chrono_literals;
using policy::Timestamp;
using Offered = std::vector<bool>;

std::vector<route::PoolServer> servers(std::size_t count) { return std::vector<route::PoolServer>(count); }

TEST(PassiveHealthFilterTest, RepeatedFailuresMakeAServerUnavailableForFailTimeout) {
  auto two = servers(2);
  two[0].failsMost = 2;
  PassiveHealthFilter filter(two);
  EXPECT_EQ(filter.offered(), (Offered{true, true}));
  EXPECT_FALSE(filter.onResult(Timestamp(1s), 0, true));
  EXPECT_FALSE(filter.onResult(Timestamp(12s), 0, true));  // the first failure is older than failTimeout
  EXPECT_TRUE(filter.onResult(Timestamp(13s), 0, true));
  EXPECT_EQ(filter.offered(), (Offered{false, true}));
  EXPECT_EQ(filter.nextReturnAt(), Timestamp(23s));
  EXPECT_FALSE(filter.onTick(Timestamp(22s)));
  EXPECT_TRUE(filter.onTick(Timestamp(23s)));
  EXPECT_EQ(filter.offered(), (Offered{true, true}));
  EXPECT_FALSE(filter.nextReturnAt());
}

TEST(PassiveHealthFilterTest, ASuccessResetsTheFailureCount) {
  auto two = servers(2);
  two[0].failsMost = 2;
  PassiveHealthFilter filter(two);
  filter.onResult(Timestamp(1s), 0, true);
  filter.onResult(Timestamp(2s), 0, false);
  EXPECT_FALSE(filter.onResult(Timestamp(3s), 0, true));
}

TEST(PassiveHealthFilterTest, BackupsAreOfferedOnlyWhileNoPrimaryIsAvailable) {
  auto all = servers(4);
  all[2].backup = true;
  all[3].down = true;
  PassiveHealthFilter filter(all);
  EXPECT_EQ(filter.offered(), (Offered{true, true, false, false}));
  filter.onResult(Timestamp(1s), 0, true);
  EXPECT_EQ(filter.offered(), (Offered{false, true, false, false}));
  filter.onResult(Timestamp(2s), 1, true);
  EXPECT_EQ(filter.offered(), (Offered{false, false, true, false}));
  filter.onResult(Timestamp(3s), 2, true);
  EXPECT_EQ(filter.offered(),
            (Offered{true, true, true, false}));  // all unavailable, so all but the one marked down
  filter.onTick(Timestamp(11s));
  EXPECT_EQ(filter.offered(), (Offered{true, false, false, false}));
}

TEST(PassiveHealthFilterTest, BackupsAreOfferedIfAllPrimariesAreMarkedDown) {
  auto all = servers(2);
  all[0].down = true;
  all[1].backup = true;
  EXPECT_EQ(PassiveHealthFilter(all).offered(), (Offered{false, true}));
  all[1].down = true;
  EXPECT_EQ(PassiveHealthFilter(all).offered(), (Offered{false, false}));  // a pool with no server left
  EXPECT_TRUE(PassiveHealthFilter({}).offered().empty());
}

TEST(PassiveHealthFilterTest, AnOnlyServerOrOneWithoutAFailureLimitStaysAvailable) {
  PassiveHealthFilter single(servers(1));
  EXPECT_FALSE(single.onResult(Timestamp(1s), 0, true));
  auto two = servers(2);
  two[0].failsMost = 0;
  PassiveHealthFilter filter(two);
  for (int i = 0; i < 10; ++i) EXPECT_FALSE(filter.onResult(Timestamp(policy::Duration(i)), 0, true));
}

TEST(PassiveHealthFilterTest, OutcomesThatCountAsServerFailures) {
  using policy::FailureReason;
  using policy::Outcome;
  EXPECT_TRUE(isServerFailure(Outcome::timeout, FailureReason::unknown));
  EXPECT_TRUE(isServerFailure(Outcome::reset, FailureReason::unknown));
  EXPECT_TRUE(isServerFailure(Outcome::connectFailed, FailureReason::connectionRefused));
  EXPECT_TRUE(isServerFailure(Outcome::connectFailed, FailureReason::connectTimeout));
  EXPECT_FALSE(
      isServerFailure(Outcome::connectFailed, FailureReason::noDescriptor));  // the gateway's own resource
  EXPECT_FALSE(isServerFailure(Outcome::overloaded, FailureReason::unknown));
  EXPECT_FALSE(isServerFailure(Outcome::served, FailureReason::unknown));
  EXPECT_FALSE(isServerFailure(Outcome::cancelled, FailureReason::unknown));
}

}  // namespace
}  // namespace cairnjunction::pools

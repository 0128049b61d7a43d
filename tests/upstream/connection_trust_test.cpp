#include "upstream/connection_trust.hpp"

#include <gtest/gtest.h>

namespace cairnjunction {
namespace {

using namespace std::chrono_literals;
constexpr policy::EndpointId kFaulty = 1, kOther = 2;
constexpr ConnectionHistory kNew{}, kUsed{3, 20ms, 0ms};

class ConnectionTrustTest : public ::testing::Test {
 protected:
  SilenceSettings settings{20ms, 75ms, 300ms, 50ms, 60s};
  ConnectionTrust trust;
  const ConnectionTrust::Time now{1h};

  void SetUp() override { trust.configure(settings); }
};

TEST_F(ConnectionTrustTest, SoundEndpointsNeedTheShortSilence) {
  EXPECT_EQ(trust.requiredSilence(kOther, kNew, now), settings.ofNew);
  EXPECT_EQ(trust.requiredSilence(kOther, kUsed, now), settings.ofUsed);
  EXPECT_FALSE(trust.isSingleUse(kOther, now));
}

TEST_F(ConnectionTrustTest, SecondResponseThatTheSilenceCoversConcernsItsEndpointOnly) {
  EXPECT_EQ(trust.classify({3, 20ms, 50ms}, now), UnsolicitedAfter::response);
  EXPECT_TRUE(trust.onUnsolicitedBytes(kFaulty, UnsolicitedAfter::response, now));
  EXPECT_FALSE(trust.onUnsolicitedBytes(kFaulty, UnsolicitedAfter::response, now)) << "reported once";
  EXPECT_EQ(trust.requiredSilence(kFaulty, kUsed, now), settings.inDoubt);
  EXPECT_EQ(trust.requiredSilence(kOther, kUsed, now), settings.ofUsed);
  EXPECT_FALSE(trust.isSingleUse(kFaulty, now));
}

TEST_F(ConnectionTrustTest, LateSecondResponseMakesConnectionsSingleUseAndConcernsAllEndpoints) {
  EXPECT_EQ(trust.classify({3, 20ms, 51ms}, now), UnsolicitedAfter::responseLate);
  trust.onUnsolicitedBytes(kFaulty, UnsolicitedAfter::responseLate, now);
  EXPECT_TRUE(trust.isSingleUse(kFaulty, now));
  EXPECT_FALSE(trust.isSingleUse(kOther, now));
  EXPECT_EQ(trust.requiredSilence(kOther, kUsed, now), settings.inDoubt);
  EXPECT_EQ(trust.requiredSilence(kOther, kNew, now), settings.ofNew);
}

TEST_F(ConnectionTrustTest, BytesOnANewConnectionPutAllNewConnectionsInDoubt) {
  EXPECT_EQ(trust.classify({0, 0ms, 5ms}, now), UnsolicitedAfter::connecting);
  trust.onUnsolicitedBytes(kFaulty, UnsolicitedAfter::connecting, now);
  EXPECT_TRUE(trust.areNewInDoubt(now));
  EXPECT_EQ(trust.requiredSilence(kOther, kNew, now), settings.inDoubt);
  EXPECT_EQ(trust.requiredSilence(kFaulty, {2, 300ms, 0ms}, now), settings.ofUsed);
  EXPECT_EQ(trust.requiredSilence(kFaulty, {2, 20ms, 0ms}, now), settings.inDoubt)
      << "its first request may have got what came after connecting";
}

TEST_F(ConnectionTrustTest, BytesBehindAnOnlyRequestMayBeItsOwnResponse) {
  EXPECT_EQ(trust.classify({1, 20ms, 51ms}, now), UnsolicitedAfter::connectingOrResponse);
  EXPECT_EQ(trust.classify({1, 300ms, 51ms}, now), UnsolicitedAfter::responseLate);
  EXPECT_EQ(trust.classify({1, 20ms, 50ms}, now), UnsolicitedAfter::response);
  trust.onUnsolicitedBytes(kOther, UnsolicitedAfter::connecting, now);
  EXPECT_EQ(trust.classify({1, 20ms, 50ms}, now), UnsolicitedAfter::connectingOrResponse);
}

TEST_F(ConnectionTrustTest, TrustReturnsAfterTheNamedTime) {
  trust.onUnsolicitedBytes(kFaulty, UnsolicitedAfter::responseLate, now);
  trust.onUnsolicitedBytes(kFaulty, UnsolicitedAfter::connecting, now);
  const auto later = now + settings.distrust;
  EXPECT_FALSE(trust.isSingleUse(kFaulty, later));
  EXPECT_EQ(trust.requiredSilence(kFaulty, kUsed, later), settings.ofUsed);
  EXPECT_EQ(trust.requiredSilence(kFaulty, kNew, later), settings.ofNew);
  EXPECT_TRUE(trust.onUnsolicitedBytes(kFaulty, UnsolicitedAfter::response, later)) << "reported again";
}

}  // namespace
}  // namespace cairnjunction

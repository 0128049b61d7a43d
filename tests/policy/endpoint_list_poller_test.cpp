// Tests when discovery is polled.
#include "policy/endpoint_list_poller.hpp"

#include <gtest/gtest.h>

#include "driver.hpp"

namespace cairnjunction::policy::testing {
namespace {

constexpr Timestamp kStart{seconds(100)};

Settings pollingSettings() {
  Settings settings = makeSettings();
  settings.pollDiscovery = true;
  settings.maxPollInterval = seconds(10);
  return settings;
}

TEST(EndpointListPoller, PollsOnceAndThenWaitsForUpdates) {
  const Settings settings = pollingSettings();
  EndpointListPoller poller(settings);
  EXPECT_TRUE(poller.startPollIfDue(kStart));
  EXPECT_FALSE(poller.startPollIfDue(kStart + seconds(1)));
  poller.onList(EndpointListKind::replace, kStart + seconds(1));
  EXPECT_FALSE(poller.startPollIfDue(kStart + seconds(3600)));
}

TEST(EndpointListPoller, NeverPollsWithoutPollDiscovery) {
  const Settings settings = makeSettings();
  EndpointListPoller poller(settings);
  EXPECT_FALSE(poller.startPollIfDue(kStart));
}

TEST(EndpointListPoller, BacksOffWithJitterUpToAFifthOfMaxPollInterval) {
  const Settings settings = pollingSettings();
  EndpointListPoller poller(settings);
  Random random(1);
  Timestamp now = kStart;
  for (int failure = 0; failure < 20; ++failure) {
    ASSERT_TRUE(poller.startPollIfDue(now));
    poller.onUnavailable(now, random);
    const Timestamp failedAt = now;
    while (!poller.startPollIfDue(now)) now += milliseconds(10);
    EXPECT_GE(now - failedAt, milliseconds(500));
    EXPECT_LE(now - failedAt, milliseconds(3010));
    poller.onUnavailable(now, random);
    now += seconds(4);
  }
}

// With a long interval the pause grew to 9 s, and a change that discovery had after an outage came too late.
TEST(EndpointListPoller, PausesForThreeSecondsAtMostWhateverTheIntervalIs) {
  for (const Duration interval :
       {Duration{}, Duration(seconds(5)), Duration(seconds(30)), Duration(seconds(600))}) {
    Settings settings = pollingSettings();
    settings.maxPollInterval = interval;
    EndpointListPoller poller(settings);
    Random random(1);
    Timestamp now = kStart;
    for (int failure = 0; failure < 1000; ++failure) {
      ASSERT_TRUE(poller.startPollIfDue(now));
      poller.onUnavailable(now, random);
      now += seconds(3);
    }
  }
}

// The answer to a poll was lost. Without another poll this gateway would never get a list.
TEST(EndpointListPoller, UnansweredPollIsRepeated) {
  const Settings settings = pollingSettings();
  EndpointListPoller poller(settings);
  EXPECT_TRUE(poller.startPollIfDue(kStart));
  EXPECT_FALSE(poller.startPollIfDue(kStart + seconds(5)));
  EXPECT_TRUE(poller.startPollIfDue(kStart + seconds(6)));
}

}  // namespace
}  // namespace cairnjunction::policy::testing

// Rules that some deployments add: turns per key, and placement.
#include <set>

#include "driver.hpp"

namespace cairnjunction::policy::testing {
namespace {

Settings inTurnSettings() {
  Settings s = makeSettings();
  s.classes[0].serializedByKey = true;  // retryable
  s.classes[1].serializedByKey = true;  // fragile
  s.keyCooldown = milliseconds(100);
  return s;
}

bool wasSent(const Driver& d, RequestId id) {
  for (const Sent& s : d.sent)
    if (s.request == id) return true;
  return false;
}

// --- Order ---

TEST(Order, OneAtATimeInOrderOverAllClassesOfTheKey) {
  Driver d(inTurnSettings());
  const RequestId a = d.request(0, seconds(1), 5), b = d.request(1, seconds(1), 5),
                  c = d.request(0, seconds(1), 5);
  EXPECT_TRUE(wasSent(d, a));
  EXPECT_FALSE(wasSent(d, b) || wasSent(d, c));
  d.serve(Sent(d.out.front()));
  EXPECT_TRUE(wasSent(d, b));
  EXPECT_FALSE(wasSent(d, c));
  d.serve(Sent(d.out.front()));
  EXPECT_TRUE(wasSent(d, c));
}

TEST(Order, OtherKeysNoKeyAndOtherClassesAreFree) {
  Driver d(inTurnSettings());
  d.request(0, seconds(1), 5);
  EXPECT_TRUE(wasSent(d, d.request(0, seconds(1), 6)));
  EXPECT_TRUE(wasSent(d, d.request(0, seconds(1))));
  EXPECT_TRUE(wasSent(d, d.request(0, seconds(1))));
  EXPECT_TRUE(wasSent(d, d.request(2, seconds(1), 5)));
}

TEST(Order, TheKeyRestsAfterEachUnsureOutcomeOnly) {
  for (Outcome outcome : {Outcome::served, Outcome::error, Outcome::overloaded, Outcome::timeout,
                          Outcome::connectFailed, Outcome::reset, Outcome::cancelled, Outcome::notSent}) {
    Settings s = inTurnSettings();
    s.maxAttempts = 1;
    Driver d(s);
    d.request(1, seconds(1), 5);
    const RequestId next = d.request(1, seconds(1), 5);
    d.settle(Sent(d.out.front()), outcome, outcome == Outcome::served);
    const bool unsure =
        outcome == Outcome::timeout || outcome == Outcome::reset || outcome == Outcome::cancelled;
    EXPECT_EQ(wasSent(d, next), !unsure) << static_cast<int>(outcome);
    d.advance(milliseconds(95));
    EXPECT_EQ(wasSent(d, next), !unsure) << static_cast<int>(outcome);
    d.advance(milliseconds(10));
    EXPECT_TRUE(wasSent(d, next)) << static_cast<int>(outcome);
  }
}

TEST(Order, TheKeyRestsForArrivalsAfterTheQueueHasEmptied) {
  Settings s = inTurnSettings();
  s.maxAttempts = 1;
  Driver d(s);
  d.request(1, seconds(1), 5);
  d.settle(Sent(d.out.front()), Outcome::reset, false);
  const RequestId next = d.request(1, seconds(1), 5);
  d.advance(milliseconds(95));
  EXPECT_FALSE(wasSent(d, next));
  d.advance(milliseconds(10));
  EXPECT_TRUE(wasSent(d, next));
}

TEST(Order, TheOneWithTheTurnTriesAgainWithoutAWait) {
  Driver d(inTurnSettings());
  const RequestId a = d.request(0, seconds(1), 5);
  d.settle(Sent(d.out.front()), Outcome::reset, false);
  EXPECT_EQ(d.lastSent().request, a);
  EXPECT_EQ(d.lastSent().attempt, 1u);
}

TEST(Order, AnEndedRequestKeepsTheTurnUntilItsAttemptSettles) {
  Driver d(inTurnSettings());
  const RequestId a = d.request(0, seconds(1), 5), b = d.request(0, seconds(1), 5);
  d.balancer.onClientDisconnected(d.now, a);
  d.collect();
  d.advance(milliseconds(50));
  EXPECT_FALSE(wasSent(d, b));
  d.settle(Sent(d.out.front()), Outcome::cancelled, true);
  EXPECT_FALSE(wasSent(d, b));
  d.advance(milliseconds(105));
  EXPECT_TRUE(wasSent(d, b));
}

TEST(Order, AWaitingClientThatLeavesGivesUpItsPlace) {
  Driver d(inTurnSettings());
  d.request(0, seconds(1), 5);
  const RequestId b = d.request(0, seconds(1), 5), c = d.request(0, seconds(1), 5);
  d.balancer.onClientDisconnected(d.now, b);
  d.collect();
  d.serve(Sent(d.out.front()));
  EXPECT_FALSE(wasSent(d, b));
  EXPECT_TRUE(wasSent(d, c));
}

TEST(Order, OneThatCanEarnNoMoreIsRefusedWithinItsAim) {
  Driver d(inTurnSettings());
  d.warmUp(0, 20, milliseconds(100));
  d.request(0, seconds(1), 5);
  const RequestId b = d.request(0, seconds(1), 5);
  d.advance(milliseconds(380));  // aim 400, usual time 100: the first is stuck
  EXPECT_TRUE(d.refused(b));
  EXPECT_FALSE(wasSent(d, b));
}

TEST(Order, AQueueTooLongForTheAimIsRefusedAtOnce) {
  Driver d(inTurnSettings());
  d.warmUp(0, 20, milliseconds(100));
  for (int i = 0; i < 3; ++i) EXPECT_FALSE(d.refused(d.request(0, seconds(1), 5)));
  EXPECT_TRUE(d.refused(d.request(0, seconds(1), 5)));
}

TEST(Order, AHeldRequestFindsNoDrainedHost) {
  Driver d(inTurnSettings(), 2);
  d.request(0, seconds(1), 5);
  const RequestId b = d.request(0, seconds(1), 5);
  const Sent first = d.out.front();
  for (int i = 0; i < 2; ++i) {
    EndpointInfo e = makeHost(i, "east", i % 2);
    if (d.balancer.findEndpoint(e.address) == first.host) continue;
    e.state = EndpointState::draining;
    d.balancer.onEndpoints(d.now, EndpointListKind::update, {e});
  }
  d.serve(first);
  EXPECT_TRUE(wasSent(d, b));
  EXPECT_EQ(d.lastSent().host, first.host);
}

// --- Placement ---

Settings boundSettings() {
  Settings s = makeSettings();
  s.classes[0].allowedZones = std::vector<std::string>{"west", "north"};
  s.classes[1].allowedMachineKinds = std::vector<std::string>{"big"};
  return s;
}

void addPlaces(Driver& d) {
  std::vector<EndpointInfo> list = {makeHost(20, "west"), makeHost(21, "north"), makeHost(22, "east")};
  list.back().machineKind = "big";
  d.balancer.onEndpoints(d.now, EndpointListKind::update, list);
  d.collect();
}

TEST(Placement, EveryAttemptStaysWithinTheZones) {
  Driver d(boundSettings());
  addPlaces(d);
  const std::set<EndpointId> open = {d.host(20), d.host(21)};
  for (int i = 0; i < 60; ++i) {
    d.request(0);
    while (!d.out.empty()) {
      EXPECT_TRUE(open.count(d.out.front().host));
      d.settle(Sent(d.out.front()), i % 2 ? Outcome::connectFailed : Outcome::error, false);
    }
    d.advance(milliseconds(20));
  }
  EXPECT_GT(d.sent.size(), 60u);
}

TEST(Placement, KindsBindToo) {
  Driver d(boundSettings());
  addPlaces(d);
  for (int i = 0; i < 20; ++i) d.request(1);
  ASSERT_FALSE(d.sent.empty());
  for (const Sent& s : d.sent) EXPECT_EQ(s.host, d.host(22));
}

TEST(Placement, WithAllItsHostsGoneARequestEndsAndOthersGoOn) {
  Driver d(boundSettings());
  addPlaces(d);
  std::vector<EndpointInfo> gone = {makeHost(20, "west"), makeHost(21, "north")};
  for (EndpointInfo& e : gone) e.state = EndpointState::removed;
  d.balancer.onEndpoints(d.now, EndpointListKind::update, gone);
  const RequestId bound = d.request(0), free = d.request(2);
  EXPECT_TRUE(d.refused(bound));
  EXPECT_FALSE(wasSent(d, bound));
  EXPECT_TRUE(wasSent(d, free));
}

TEST(Placement, AListThatNamesNothingKnownAllowsNothing) {
  for (const std::vector<std::string>& list : {std::vector<std::string>{}, {"nowhere"}}) {
    Settings s = makeSettings();
    s.classes[0].allowedZones = list;
    Driver d(s);
    EXPECT_TRUE(d.refused(d.request(0)));
    EXPECT_TRUE(d.sent.empty());
  }
}

}  // namespace
}  // namespace cairnjunction::policy::testing

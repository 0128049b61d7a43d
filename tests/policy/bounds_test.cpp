// Tests of optional rules of a class: requests serialized by key, with the key cooldown, and placement in
// allowed zones and machine kinds.
#include <set>

#include "driver.hpp"

namespace cairnjunction::policy::testing {
namespace {

Settings serializedSettings() {
  Settings settings = makeSettings();
  settings.classes[0].serializedByKey = true;  // safe
  settings.classes[1].serializedByKey = true;  // unsafe
  settings.keyCooldown = milliseconds(100);
  return settings;
}

bool wasSent(const Driver& driver, RequestId id) {
  for (const SentAttempt& attempt : driver.sentAttempts)
    if (attempt.request == id) return true;
  return false;
}

// --- Serialized by key ---

TEST(SerializedByKey, RequestsOfAKeyRunInOrderOverAllItsClasses) {
  Driver driver(serializedSettings());
  const RequestId first = driver.request(0, seconds(1), 5), second = driver.request(1, seconds(1), 5),
                  third = driver.request(0, seconds(1), 5);
  EXPECT_TRUE(wasSent(driver, first));
  EXPECT_FALSE(wasSent(driver, second) || wasSent(driver, third));
  driver.reportServed(SentAttempt(driver.inFlight.front()));
  EXPECT_TRUE(wasSent(driver, second));
  EXPECT_FALSE(wasSent(driver, third));
  driver.reportServed(SentAttempt(driver.inFlight.front()));
  EXPECT_TRUE(wasSent(driver, third));
}

TEST(SerializedByKey, OtherKeysNoKeyAndOtherClassesDoNotWait) {
  Driver driver(serializedSettings());
  driver.request(0, seconds(1), 5);
  EXPECT_TRUE(wasSent(driver, driver.request(0, seconds(1), 6)));
  EXPECT_TRUE(wasSent(driver, driver.request(0, seconds(1))));
  EXPECT_TRUE(wasSent(driver, driver.request(0, seconds(1))));
  EXPECT_TRUE(wasSent(driver, driver.request(2, seconds(1), 5)));
}

TEST(KeyCooldown, FollowsOnlyOutcomesThatMayStillBeRunning) {
  for (Outcome outcome : {Outcome::served, Outcome::error, Outcome::overloaded, Outcome::timeout,
                          Outcome::connectFailed, Outcome::reset, Outcome::cancelled, Outcome::notSent}) {
    Settings settings = serializedSettings();
    settings.maxAttempts = 1;
    Driver driver(settings);
    driver.request(1, seconds(1), 5);
    const RequestId next = driver.request(1, seconds(1), 5);
    driver.reportResult(SentAttempt(driver.inFlight.front()), outcome, outcome == Outcome::served);
    const bool mayBeRunning =
        outcome == Outcome::timeout || outcome == Outcome::reset || outcome == Outcome::cancelled;
    EXPECT_EQ(wasSent(driver, next), !mayBeRunning) << static_cast<int>(outcome);
    driver.advance(milliseconds(95));
    EXPECT_EQ(wasSent(driver, next), !mayBeRunning) << static_cast<int>(outcome);
    driver.advance(milliseconds(10));
    EXPECT_TRUE(wasSent(driver, next)) << static_cast<int>(outcome);
  }
}

TEST(KeyCooldown, HoldsForRequestsThatArriveAfterTheQueueIsEmpty) {
  Settings settings = serializedSettings();
  settings.maxAttempts = 1;
  Driver driver(settings);
  driver.request(1, seconds(1), 5);
  driver.reportResult(SentAttempt(driver.inFlight.front()), Outcome::reset, false);
  const RequestId next = driver.request(1, seconds(1), 5);
  driver.advance(milliseconds(95));
  EXPECT_FALSE(wasSent(driver, next));
  driver.advance(milliseconds(10));
  EXPECT_TRUE(wasSent(driver, next));
}

TEST(KeyCooldown, DoesNotDelayRetriesOfTheSameRequest) {
  Driver driver(serializedSettings());
  const RequestId first = driver.request(0, seconds(1), 5);
  driver.reportResult(SentAttempt(driver.inFlight.front()), Outcome::reset, false);
  EXPECT_EQ(driver.lastSent().request, first);
  EXPECT_EQ(driver.lastSent().attempt, 1u);
}

TEST(SerializedByKey, DisconnectedRequestBlocksItsKeyUntilItsAttemptEnds) {
  Driver driver(serializedSettings());
  const RequestId first = driver.request(0, seconds(1), 5), second = driver.request(0, seconds(1), 5);
  driver.balancer.onClientDisconnected(driver.now, first);
  driver.collectActions();
  driver.advance(milliseconds(50));
  EXPECT_FALSE(wasSent(driver, second));
  driver.reportResult(SentAttempt(driver.inFlight.front()), Outcome::cancelled, true);
  EXPECT_FALSE(wasSent(driver, second));
  driver.advance(milliseconds(105));
  EXPECT_TRUE(wasSent(driver, second));
}

TEST(SerializedByKey, QueuedRequestOfADisconnectedClientIsSkipped) {
  Driver driver(serializedSettings());
  driver.request(0, seconds(1), 5);
  const RequestId second = driver.request(0, seconds(1), 5), third = driver.request(0, seconds(1), 5);
  driver.balancer.onClientDisconnected(driver.now, second);
  driver.collectActions();
  driver.reportServed(SentAttempt(driver.inFlight.front()));
  EXPECT_FALSE(wasSent(driver, second));
  EXPECT_TRUE(wasSent(driver, third));
}

TEST(SerializedByKey, QueuedRequestIsRejectedWithinItsLatencyObjective) {
  Driver driver(serializedSettings());
  driver.warmUp(0, 20, milliseconds(100));
  driver.request(0, seconds(1), 5);
  const RequestId second = driver.request(0, seconds(1), 5);
  driver.advance(milliseconds(380));  // objective 400 ms, typical latency 100 ms: the first request hangs
  EXPECT_TRUE(driver.isRejected(second));
  EXPECT_FALSE(wasSent(driver, second));
}

TEST(SerializedByKey, RequestIsRejectedAtOnceIfItsQueueIsTooLong) {
  Driver driver(serializedSettings());
  driver.warmUp(0, 20, milliseconds(100));
  for (int i = 0; i < 3; ++i) EXPECT_FALSE(driver.isRejected(driver.request(0, seconds(1), 5)));
  EXPECT_TRUE(driver.isRejected(driver.request(0, seconds(1), 5)));
}

TEST(SerializedByKey, QueuedRequestIsNotSentToADrainingEndpoint) {
  Driver driver(serializedSettings(), 2);
  driver.request(0, seconds(1), 5);
  const RequestId second = driver.request(0, seconds(1), 5);
  const SentAttempt sent = driver.inFlight.front();
  for (int i = 0; i < 2; ++i) {
    EndpointInfo info = makeHost(i, "east", i % 2);
    if (driver.balancer.findEndpoint(info.address) == sent.endpoint) continue;
    info.state = EndpointState::draining;
    driver.balancer.onEndpoints(driver.now, EndpointListKind::update, {info});
  }
  driver.reportServed(sent);
  EXPECT_TRUE(wasSent(driver, second));
  EXPECT_EQ(driver.lastSent().endpoint, sent.endpoint);
}

// --- Placement ---

Settings placementSettings() {
  Settings settings = makeSettings();
  settings.classes[0].allowedZones = std::vector<std::string>{"west", "north"};
  settings.classes[1].allowedMachineKinds = std::vector<std::string>{"big"};
  return settings;
}

// Adds endpoints 20 (zone west), 21 (zone north) and 22 (zone east, machine kind big).
void addPlacedEndpoints(Driver& driver) {
  std::vector<EndpointInfo> list = {makeHost(20, "west"), makeHost(21, "north"), makeHost(22, "east")};
  list.back().machineKind = "big";
  driver.balancer.onEndpoints(driver.now, EndpointListKind::update, list);
  driver.collectActions();
}

TEST(Placement, EveryAttemptStaysWithinTheAllowedZones) {
  Driver driver(placementSettings());
  addPlacedEndpoints(driver);
  const std::set<EndpointId> allowed = {driver.endpoint(20), driver.endpoint(21)};
  for (int i = 0; i < 60; ++i) {
    driver.request(0);
    while (!driver.inFlight.empty()) {
      EXPECT_TRUE(allowed.count(driver.inFlight.front().endpoint));
      driver.reportResult(SentAttempt(driver.inFlight.front()),
                          i % 2 ? Outcome::connectFailed : Outcome::error, false);
    }
    driver.advance(milliseconds(20));
  }
  EXPECT_GT(driver.sentAttempts.size(), 60u);
}

TEST(Placement, AttemptsStayWithinTheAllowedMachineKinds) {
  Driver driver(placementSettings());
  addPlacedEndpoints(driver);
  for (int i = 0; i < 20; ++i) driver.request(1);
  ASSERT_FALSE(driver.sentAttempts.empty());
  for (const SentAttempt& attempt : driver.sentAttempts) EXPECT_EQ(attempt.endpoint, driver.endpoint(22));
}

TEST(Placement, RequestIsRejectedIfAllItsEndpointsAreRemoved) {
  Driver driver(placementSettings());
  addPlacedEndpoints(driver);
  std::vector<EndpointInfo> removed = {makeHost(20, "west"), makeHost(21, "north")};
  for (EndpointInfo& info : removed) info.state = EndpointState::removed;
  driver.balancer.onEndpoints(driver.now, EndpointListKind::update, removed);
  const RequestId placed = driver.request(0), unrestricted = driver.request(2);
  EXPECT_TRUE(driver.isRejected(placed));
  EXPECT_FALSE(wasSent(driver, placed));
  EXPECT_TRUE(wasSent(driver, unrestricted));
}

TEST(Placement, EmptyOrUnknownZonesAllowNoEndpoint) {
  for (const std::vector<std::string>& list : {std::vector<std::string>{}, {"nowhere"}}) {
    Settings settings = makeSettings();
    settings.classes[0].allowedZones = list;
    Driver driver(settings);
    EXPECT_TRUE(driver.isRejected(driver.request(0)));
    EXPECT_TRUE(driver.sentAttempts.empty());
  }
}

}  // namespace
}  // namespace cairnjunction::policy::testing

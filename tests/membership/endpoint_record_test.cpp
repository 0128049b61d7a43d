// Tests the status that is derived from the record of one endpoint, and the names that log lines use for it.
#include "membership/endpoint_record.hpp"

#include <gtest/gtest.h>

#include <functional>
#include <utility>
#include <vector>

namespace cairnjunction {
namespace {

using namespace std::chrono_literals;
using policy::EndpointState;
using policy::Timestamp;

constexpr Timestamp kNow{24h};

EndpointRecord listedRecord() {
  EndpointRecord record;
  record.list = {true, EndpointState::active, {}};
  return record;
}

class EndpointRecordTest : public ::testing::Test {
 public:
  EndpointHealthSettings settings;
  EndpointRecord record = listedRecord();

  EndpointRecordTest() { settings.slowStartDuration = 9s; }
  void expectStatus(EndpointCondition condition, ConditionReason reason) const {
    const EndpointStatus status = record.status(settings, kNow);
    EXPECT_EQ(nameOf(status.condition), nameOf(condition));
    EXPECT_EQ(nameOf(status.reason), nameOf(reason));
  }
};

TEST_F(EndpointRecordTest, ListedEndpointWithoutFailuresIsServing) {
  expectStatus(EndpointCondition::serving, ConditionReason::listed);
}

TEST_F(EndpointRecordTest, EndpointThatNoListHasNamedIsRemoved) {
  record = EndpointRecord{};
  expectStatus(EndpointCondition::removed, ConditionReason::listUpdate);
}

// All findings apply to an endpoint at once and are cleared one by one. The most severe one that is left
// always determines the status.
TEST_F(EndpointRecordTest, MostSevereFindingDeterminesTheStatus) {
  record.list.state = EndpointState::removed;
  record.list.startedAt = kNow - 1s;
  record.connections.atLimit = true;
  record.connections.connectTimeouts = 1;
  record.responses.respondedAt = kNow - 2s;
  record.responses.connectionLostAt = kNow - 1s;
  record.responses.timedOutAt = kNow - 1s;
  record.responses.rejections = settings.overloadedStreak;
  record.responses.rejectingSince = kNow - 1s;
  record.reachability.unreachable = true;
  record.reachability.reason = ConditionReason::connectTimeout;
  expectStatus(EndpointCondition::removed, ConditionReason::listUpdate);
  record.list.state = EndpointState::draining;
  expectStatus(EndpointCondition::draining, ConditionReason::listUpdate);
  record.list.state = EndpointState::active;
  expectStatus(EndpointCondition::unreachable, ConditionReason::connectTimeout);
  record.reachability.unreachable = false;
  expectStatus(EndpointCondition::suspect, ConditionReason::connectionLimit);
  record.connections.atLimit = false;
  expectStatus(EndpointCondition::suspect, ConditionReason::connectTimeout);
  record.connections.connectTimeouts = 0;
  expectStatus(EndpointCondition::suspect, ConditionReason::connectionLost);
  record.responses.connectionLostAt = kNow - 3s;
  expectStatus(EndpointCondition::suspect, ConditionReason::attemptTimeout);
  record.responses.timedOutAt = kNow - 3s;
  expectStatus(EndpointCondition::suspect, ConditionReason::overloaded);
  record.responses.rejections = 0;
  expectStatus(EndpointCondition::slowStart, ConditionReason::justStarted);
  record.list.startedAt = kNow - 9s;
  expectStatus(EndpointCondition::serving, ConditionReason::listed);
}

TEST_F(EndpointRecordTest, ObservedRestartBeginsSlowStart) {
  record.list.startedAt = kNow - 1h;
  record.reachability.startedAfter = kNow - 1s;
  expectStatus(EndpointCondition::slowStart, ConditionReason::justStarted);
}

TEST_F(EndpointRecordTest, OverloadedRequiresEnoughRejectionsOverEnoughTime) {
  ResponseRecord responses;
  for (int i = 0; i < settings.overloadedStreak - 1; ++i) responses.onResponse(kNow - 1s, true);
  EXPECT_FALSE(responses.overloaded(settings, kNow)) << "too few rejections";
  responses.onResponse(kNow - 1s, true);
  EXPECT_FALSE(responses.overloaded(settings, kNow - 1s)) << "a short load peak";
  EXPECT_TRUE(responses.overloaded(settings, kNow));
  responses.onResponse(kNow, false);
  EXPECT_FALSE(responses.overloaded(settings, kNow)) << "the last request was served";
  responses.onResponse(kNow, true);
  EXPECT_EQ(responses.rejectingSince, kNow) << "the count starts again";
}

// The probe of an unreachable endpoint is due; each condition that prevents it is then set on its own.
TEST_F(EndpointRecordTest, ProbeIsDueUnlessAnyConditionPreventsIt) {
  record.reachability.unreachable = true;
  record.reachability.reported = policy::Reachability::unreachable;
  record.reachability.probes.dueAt = kNow;
  EXPECT_TRUE(record.probeDue(kNow));
  EXPECT_FALSE(record.probeDue(kNow - 1ns)) << "the backoff has not ended";
  const EndpointRecord due = record;
  const std::vector<std::pair<const char*, std::function<void()>>> obstacles = {
      {"reachable", [this] { record.reachability.unreachable = false; }},
      {"draining", [this] { record.list.state = EndpointState::draining; }},
      {"offered", [this] { record.reachability.reported = policy::Reachability::probeOnly; }},
      {"pending",
       [this] {
         record.reachability.probes.pending = AttemptId{1, 0};
       }},
      {"delegated", [this] { record.reachability.probes.delegatedUntil = kNow + 1ns; }}};
  for (const auto& [name, setUp] : obstacles) {
    record = due;
    setUp();
    EXPECT_FALSE(record.probeDue(kNow)) << name;
  }
}

// Operators search logs for these names; docs/operators/membership.md documents them.
TEST(EndpointStatusTest, NamesAreThoseOnTheOperatorsPage) {
  const std::vector<std::pair<EndpointCondition, const char*>> conditions = {
      {EndpointCondition::serving, "serving"},   {EndpointCondition::slowStart, "cold"},
      {EndpointCondition::suspect, "suspect"},   {EndpointCondition::unreachable, "unreachable"},
      {EndpointCondition::draining, "draining"}, {EndpointCondition::removed, "gone"}};
  for (const auto& [condition, name] : conditions) EXPECT_EQ(nameOf(condition), name);
  const std::vector<std::pair<ConditionReason, const char*>> reasons = {
      {ConditionReason::listed, "listed"},
      {ConditionReason::justStarted, "started lately"},
      {ConditionReason::connectionRefused, "refuses connections"},
      {ConditionReason::connectionLimit, "refuses more connections"},
      {ConditionReason::connectTimeout, "new connections don't come up"},
      {ConditionReason::connectionLost, "a connection broke"},
      {ConditionReason::attemptTimeout, "an attempt ran out of time"},
      {ConditionReason::overloaded, "turns all away"},
      {ConditionReason::listUpdate, "told by the list"}};
  for (const auto& [reason, name] : reasons) EXPECT_EQ(nameOf(reason), name);
}

}  // namespace
}  // namespace cairnjunction

// The status that follows from what the sources say of one endpoint, and the names that log lines give it.
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

EndpointRecord listed() {
  EndpointRecord record;
  record.list = {true, EndpointState::active, {}};
  return record;
}

class EndpointRecordTest : public ::testing::Test {
 public:
  EndpointHealthSettings settings;
  EndpointRecord record = listed();

  EndpointRecordTest() { settings.slowStartDuration = 9s; }
  void expect(EndpointCondition condition, ConditionReason reason) const {
    const EndpointStatus status = record.status(settings, kNow);
    EXPECT_EQ(nameOf(status.condition), nameOf(condition));
    EXPECT_EQ(nameOf(status.reason), nameOf(reason));
  }
};

TEST_F(EndpointRecordTest, WithNothingAgainstItItServes) {
  expect(EndpointCondition::serving, ConditionReason::listed);
}

TEST_F(EndpointRecordTest, OneThatNoListHasNamedIsRemoved) {
  record = EndpointRecord{};
  expect(EndpointCondition::removed, ConditionReason::listUpdate);
}

// Everything speaks against an endpoint at once. As each source falls silent, the gravest that is left gives
// the status.
TEST_F(EndpointRecordTest, TheGravestSourceGivesTheStatus) {
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
  expect(EndpointCondition::removed, ConditionReason::listUpdate);
  record.list.state = EndpointState::draining;
  expect(EndpointCondition::draining, ConditionReason::listUpdate);
  record.list.state = EndpointState::active;
  expect(EndpointCondition::unreachable, ConditionReason::connectTimeout);
  record.reachability.unreachable = false;
  expect(EndpointCondition::suspect, ConditionReason::connectionLimit);
  record.connections.atLimit = false;
  expect(EndpointCondition::suspect, ConditionReason::connectTimeout);
  record.connections.connectTimeouts = 0;
  expect(EndpointCondition::suspect, ConditionReason::connectionLost);
  record.responses.connectionLostAt = kNow - 3s;
  expect(EndpointCondition::suspect, ConditionReason::attemptTimeout);
  record.responses.timedOutAt = kNow - 3s;
  expect(EndpointCondition::suspect, ConditionReason::overloaded);
  record.responses.rejections = 0;
  expect(EndpointCondition::slowStart, ConditionReason::justStarted);
  record.list.startedAt = kNow - 9s;
  expect(EndpointCondition::serving, ConditionReason::listed);
}

TEST_F(EndpointRecordTest, AStartThatWasSeenBeginsSlowStartToo) {
  record.list.startedAt = kNow - 1h;
  record.reachability.startedAfter = kNow - 1s;
  expect(EndpointCondition::slowStart, ConditionReason::justStarted);
}

TEST_F(EndpointRecordTest, RejectionsOverloadItByNumberAndTime) {
  ResponseRecord responses;
  for (int i = 0; i < settings.overloadedStreak - 1; ++i) responses.onResponse(kNow - 1s, true);
  EXPECT_FALSE(responses.overloaded(settings, kNow)) << "too few";
  responses.onResponse(kNow - 1s, true);
  EXPECT_FALSE(responses.overloaded(settings, kNow - 1s)) << "a peak";
  EXPECT_TRUE(responses.overloaded(settings, kNow));
  responses.onResponse(kNow, false);
  EXPECT_FALSE(responses.overloaded(settings, kNow)) << "it served";
  responses.onResponse(kNow, true);
  EXPECT_EQ(responses.rejectingSince, kNow) << "a new row";
}

// An unreachable endpoint whose probe is due; each condition that forbids it is set in turn.
TEST_F(EndpointRecordTest, ProbeIsDueUnlessOneThingForbidsIt) {
  record.reachability.unreachable = true;
  record.reachability.reported = policy::Reachability::unreachable;
  record.reachability.probes.dueAt = kNow;
  EXPECT_TRUE(record.probeDue(kNow));
  EXPECT_FALSE(record.probeDue(kNow - 1ns)) << "its backoff lasts";
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

// Operators read these words in logs and on docs/operators/membership.md.
TEST(EndpointStatusTest, NamesAreThoseOfTheOperatorsPage) {
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

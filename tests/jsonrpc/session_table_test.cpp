// The table of sessions alone, in a time of its own.
#include "jsonrpc/session_table.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace cairnjunction::jsonrpc {
namespace {

using namespace std::chrono_literals;
using CallStatus = SessionTable::CallStatus;
using OpenResult = SessionTable::OpenResult;
using Time = SessionTable::Time;

SessionTable::Limits limits() {
  SessionTable::Limits l;
  l.ttl = 60s;
  return l;
}

TEST(SessionTable, HoldsAnAnswerForItsTimeAndForgetsIt) {
  SessionTable table(limits());
  SessionTable::Id id = 0;
  ASSERT_EQ(table.open(Time(0s), "yard", false, id), OpenResult::fresh);
  EXPECT_EQ(table.begin(Time(1s), id, "n1", 5, 77).status, CallStatus::first);
  const auto running = table.begin(Time(2s), id, "n1", 5, 78);
  EXPECT_EQ(running.status, CallStatus::running);
  EXPECT_EQ(running.ticket, 77u);
  table.recordResult(Time(3s), id, "n1", {false, "42"});
  const auto answered = table.begin(Time(62s), id, "n1", 5, 79);
  ASSERT_EQ(answered.status, CallStatus::answered);
  EXPECT_EQ(answered.answer->json, "42");
  EXPECT_EQ(table.begin(Time(62s), id, "n1", 6, 79).status, CallStatus::different);
  EXPECT_EQ(table.begin(Time(63s), id, "n1", 5, 80).status, CallStatus::first) << "its time is over";
}

TEST(SessionTable, WhatWasHeldAtADropIsHeldForItsTimeFromTheDropOn) {
  SessionTable table(limits());
  SessionTable::Id id = 0;
  table.open(Time(0s), "yard", false, id);
  table.begin(Time(0s), id, "n1", 5, 1);
  table.recordResult(Time(1s), id, "n1", {false, "1"});
  table.detach(Time(50s), id);
  table.expire(Time(100s));
  EXPECT_EQ(table.entries(), 1u) << "answered 99 s ago, dropped 50 s ago";
  SessionTable::Id again = 0;
  ASSERT_EQ(table.open(Time(105s), "yard", true, again), OpenResult::resumed);
  EXPECT_EQ(again, id);
  EXPECT_EQ(table.begin(Time(160s), id, "n1", 5, 2).status, CallStatus::answered);
}

TEST(SessionTable, ADetachedSessionIsForgottenAndResumingSaysSo) {
  SessionTable table(limits());
  SessionTable::Id id = 0;
  table.open(Time(0s), "yard", false, id);
  table.begin(Time(0s), id, "n1", 5, 1);
  table.recordResult(Time(1s), id, "n1", {false, "1"});
  table.detach(Time(1s), id);
  table.open(Time(30s), "yard", false, id);
  table.detach(Time(40s), id);
  table.expire(Time(99s));
  EXPECT_EQ(table.sessions(), 1u) << "the last drop counts";
  EXPECT_EQ(table.open(Time(100s), "yard", true, id), OpenResult::notHeld);
  EXPECT_EQ(table.sessions(), 0u);
  EXPECT_EQ(table.entries(), 0u);
  EXPECT_EQ(table.bytes(), 0u);
  table.recordResult(Time(101s), id, "n1", {false, "late"});  // of a session that is no more
  EXPECT_EQ(table.bytes(), 0u);
}

// Guards against a stock-out that ran twice (docs/incidents/session-ended-before-its-answers.md): its session
// ended a time to live after the drop, though the answer came later and was to be held for as long from
// there.
TEST(SessionTable, ASessionLastsAsLongAsTheLastAnswerIsHeld) {
  for (const bool resume : {false, true}) {
    SessionTable table(limits());
    SessionTable::Id id = 0, again = 0;
    table.open(Time(0s), "yard", false, id);
    table.begin(Time(0s), id, "n1", 5, 1);
    table.begin(Time(0s), id, "n2", 5, 2);
    table.detach(Time(1s), id);
    table.recordResult(Time(2s), id, "n1", {false, "1"});
    table.recordResult(Time(3s), id, "n2", {false, "2"});
    table.expire(Time(62500ms));
    EXPECT_EQ(table.entries(), 1u) << "the first one's time is over";
    ASSERT_EQ(table.open(Time(62900ms), "yard", resume, again), OpenResult::resumed);
    EXPECT_EQ(again, id);
    EXPECT_EQ(table.begin(Time(62900ms), id, "n2", 5, 3).status, CallStatus::answered);
  }
}

// Guards against the same second run where the first one has not ended: a repeat joins it, however long ago
// the drop was. Once nothing is open or held, the session ends.
TEST(SessionTable, ASessionLastsAsLongAsACallRuns) {
  SessionTable table(limits());
  SessionTable::Id id = 0, again = 0;
  table.open(Time(0s), "yard", false, id);
  table.begin(Time(0s), id, "n1", 5, 77);
  table.detach(Time(1s), id);
  table.expire(Time(500s));
  ASSERT_EQ(table.open(Time(500s), "yard", true, again), OpenResult::resumed);
  const auto joined = table.begin(Time(500s), again, "n1", 5, 78);
  EXPECT_EQ(joined.status, CallStatus::running);
  EXPECT_EQ(joined.ticket, 77u);
  table.detach(Time(501s), id);
  table.recordResult(Time(600s), id, "n1", {false, "1"});
  table.expire(Time(659s));
  EXPECT_EQ(table.sessions(), 1u);
  table.expire(Time(660s));
  EXPECT_EQ(table.sessions(), 0u);
  EXPECT_EQ(table.bytes(), 0u);
}

TEST(SessionTable, ASessionWhoseLastCallIsRefusedLateIsForgotten) {
  SessionTable table(limits());
  SessionTable::Id id = 0;
  table.open(Time(0s), "yard", false, id);
  table.begin(Time(0s), id, "n1", 5, 1);
  table.detach(Time(1s), id);
  table.expire(Time(70s));
  EXPECT_EQ(table.sessions(), 1u);
  table.recordNotRun(id, "n1");
  table.expire(Time(70s));
  EXPECT_EQ(table.sessions(), 0u);
}

TEST(SessionTable, FullItTakesNothingMoreAndDropsNothing) {
  SessionTable::Limits l = limits();
  l.sessions = 2;
  l.entries = 3;
  l.entriesPerSession = 2;
  SessionTable table(l);
  SessionTable::Id a = 0, b = 0, c = 0;
  table.open(Time(0s), "a", false, a);
  table.open(Time(0s), "b", false, b);
  EXPECT_EQ(table.open(Time(0s), "c", false, c), OpenResult::full);
  EXPECT_EQ(table.begin(Time(0s), a, "n1", 1, 1).status, CallStatus::first);
  EXPECT_EQ(table.begin(Time(0s), a, "n2", 1, 2).status, CallStatus::first);
  EXPECT_EQ(table.begin(Time(0s), a, "n3", 1, 3).status, CallStatus::full) << "one client has no more";
  EXPECT_EQ(table.begin(Time(0s), b, "n1", 1, 4).status, CallStatus::first);
  EXPECT_EQ(table.begin(Time(0s), b, "n2", 1, 5).status, CallStatus::full);
  EXPECT_EQ(table.begin(Time(0s), a, "n1", 1, 6).status, CallStatus::running);
  table.recordNotRun(a, "n1");
  EXPECT_EQ(table.begin(Time(0s), b, "n2", 1, 7).status, CallStatus::first);
}

TEST(SessionTable, BytesAreBounded) {
  SessionTable::Limits l = limits();
  l.bytes = 1000;
  SessionTable table(l);
  SessionTable::Id id = 0;
  table.open(Time(0s), "a", false, id);
  EXPECT_EQ(table.begin(Time(0s), id, "n1", 1, 1).status, CallStatus::first);
  table.recordResult(Time(0s), id, "n1", {false, std::string(900, 'x')});
  EXPECT_EQ(table.begin(Time(0s), id, "n2", 1, 2).status, CallStatus::full);
  EXPECT_EQ(table.begin(Time(59s), id, "n1", 1, 3).status, CallStatus::answered);
  EXPECT_EQ(table.begin(Time(61s), id, "n2", 1, 4).status, CallStatus::first);
}

// Against a simple model, with clients that stay away for long: a call that runs, or was answered less than a
// time to live ago, is never first again, and its session is never a fresh one.
TEST(SessionTable, NeverASecondRunWithinTheTimeToLive) {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    std::mt19937_64 random(seed);
    SessionTable::Limits l = limits();
    l.entries = 40;
    SessionTable table(l);
    Time now{};
    std::map<std::string, Time> heldUntil;  // by session and id
    std::map<std::string, bool> running;
    std::map<int, SessionTable::Id> ids;
    std::map<int, Time> awayUntil;  // of clients that are not attached
    for (int who = 0; who < 3; ++who) awayUntil[who] = now;
    const auto isOf = [](int who, const auto& entry) { return entry.first[0] == '0' + who; };
    for (int i = 0; i < 4000; ++i) {
      now += std::chrono::milliseconds(random() % 900);
      const int who = static_cast<int>(random() % 3);
      const std::string key = "n" + std::to_string(random() % 12), mine = std::to_string(who) + key;
      const std::uint64_t step = random() % 4;
      if (step == 1 && running[mine]) {  // calls go on while their client is away
        table.recordResult(now, ids[who], key, {false, "1"});
        running[mine] = false;
        heldUntil[mine] = now + 60s;
        continue;
      }
      if (awayUntil.count(who)) {
        if (awayUntil[who] > now) {
          table.expire(now);
          continue;
        }
        SessionTable::Id id = 0;
        const OpenResult opened = table.open(now, "session" + std::to_string(who), false, id);
        ASSERT_NE(opened, OpenResult::full);
        if (opened == OpenResult::fresh) {
          for (const auto& entry : running) EXPECT_FALSE(isOf(who, entry) && entry.second) << entry.first;
          for (const auto& entry : heldUntil)
            EXPECT_FALSE(isOf(who, entry) && entry.second > now) << entry.first;
        }
        ids[who] = id;
        awayUntil.erase(who);
        continue;
      }
      switch (step) {
        case 0: {
          const auto begun = table.begin(now, ids[who], key, 1, 1).status;
          if (running[mine]) EXPECT_EQ(begun, CallStatus::running);
          else if (heldUntil.count(mine) && heldUntil[mine] > now)
            EXPECT_EQ(begun, CallStatus::answered) << mine;
          if (begun == CallStatus::first) running[mine] = true;
          break;
        }
        case 2:
          if (random() % 8 == 0) {
            table.detach(now, ids[who]);
            awayUntil[who] = now + std::chrono::seconds(random() % 100);
          }
          break;
        case 3: table.expire(now);
      }
      ASSERT_LE(table.entries(), 40u);
    }
  }
}

}  // namespace
}  // namespace cairnjunction::jsonrpc

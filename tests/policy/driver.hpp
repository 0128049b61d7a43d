// Feeds a Balancer by hand and keeps its actions. No model of a server: each test says what happens.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::policy::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline ClassSettings makeClass(const std::string& name, Idempotency effect, double worth,
                               DedupScope group = DedupScope::all) {
  ClassSettings c;
  c.name = name;
  c.latencyObjective = milliseconds(400);
  c.clientTimeout = milliseconds(1000);
  c.dedupWindow = milliseconds(800);
  c.idempotency = effect;
  c.dedupScope = group;
  c.priorityWeight = worth;
  return c;
}

inline Settings makeSettings() {
  Settings s;
  s.seed = 7;
  s.zone = "east";
  s.classes = {makeClass("read", Idempotency::safe, 10), makeClass("write", Idempotency::unsafe, 1),
               makeClass("put", Idempotency::keyed, 1, DedupScope::cell)};
  s.cancelAllowed = true;
  s.maxAttempts = 4;
  s.eventInterval = milliseconds(5);
  s.slowStartInitialFraction = 0.2;
  s.slowStartDuration = seconds(10);
  s.collapseWindow = seconds(2);
  return s;
}

inline EndpointInfo makeHost(int number, const std::string& zone = "east", std::int64_t cell = 0) {
  EndpointInfo e;
  e.address = "host-" + std::to_string(100 + number);
  e.zone = zone;
  e.machineKind = "std";
  e.cell = cell;
  return e;
}

struct Sent {
  RequestId request;
  std::uint32_t attempt;
  EndpointId host;
  Timestamp at;
  Duration limit;
};

class Driver {
 public:
  explicit Driver(const Settings& s, int hosts = 6) : now(seconds(100)), balancer(s, now) {
    std::vector<EndpointInfo> list;
    for (int i = 0; i < hosts; ++i) list.push_back(makeHost(i, "east", i % 2));
    balancer.onEndpoints(now, EndpointListKind::restored, list);
    collect();
  }

  RequestId request(std::uint32_t cls, Duration left = milliseconds(1000), std::uint64_t key = 0) {
    Request q;
    q.id = ++last;
    q.classIndex = cls;
    q.timeRemaining = left;
    q.key = key;
    q.hasKey = key != 0;
    balancer.onRequest(now, q);
    collect();
    return q.id;
  }
  void settle(const Sent& s, Outcome outcome, bool terminal, Duration taken = Duration(-1)) {
    balancer.onResult(
        now, {s.request, s.attempt, s.host, outcome, taken < Duration{} ? now - s.at : taken, terminal});
    for (std::size_t i = 0; i < out.size(); ++i)
      if (out[i].request == s.request && out[i].attempt == s.attempt) {
        out.erase(out.begin() + static_cast<std::ptrdiff_t>(i));
        break;
      }
    collect();
  }
  void serve(const Sent& s) { settle(s, Outcome::served, true); }
  void advance(Duration by, Duration step = milliseconds(5)) {
    for (const Timestamp end = now + by; now < end;) {
      now += step;
      balancer.onWake(now);
      collect();
    }
  }
  // Serves everything that is out, `count` requests of class `cls` one after another.
  void warmUp(std::uint32_t cls, int count, Duration time = milliseconds(50)) {
    for (int i = 0; i < count; ++i) {
      request(cls);
      advance(time, time);
      while (!out.empty()) serve(Sent(out.front()));
    }
  }
  Sent lastSent() const { return sent.back(); }
  bool refused(RequestId id) const { return answers.count(id) && answers.at(id) == ActionKind::reject; }
  bool failed(RequestId id) const { return answers.count(id) && answers.at(id) == ActionKind::fail; }
  EndpointId host(int number) const { return balancer.findEndpoint(makeHost(number).address); }
  std::size_t sentTo(EndpointId id) const {
    std::size_t n = 0;
    for (const Sent& s : sent) n += s.host == id;
    return n;
  }
  std::size_t count(ActionKind kind) const {
    std::size_t n = 0;
    for (const Action& a : all) n += a.kind == kind;
    return n;
  }
  void forget() {
    sent.clear();
    all.clear();
  }

  void collect() {
    for (Action& a : balancer.actions()) {
      if (a.kind == ActionKind::send) {
        sent.push_back({a.request, a.attempt, a.endpoint, now, a.timeLimit});
        out.push_back(sent.back());
      } else if (a.kind == ActionKind::reject || a.kind == ActionKind::fail) {
        EXPECT_EQ(answers.count(a.request), 0u) << "answered twice";
        answers[a.request] = a.kind;
        retryAfter[a.request] = a.retryAfter;
      }
      all.push_back(std::move(a));
    }
    balancer.actions().clear();
  }

  Timestamp now;
  LoadBalancer balancer;
  RequestId last = 0;
  std::vector<Sent> sent, out;
  std::vector<Action> all;
  std::map<RequestId, ActionKind> answers;
  std::map<RequestId, Duration> retryAfter;
};

}  // namespace cairnjunction::policy::testing

// A test driver for the LoadBalancer: tests report events to it, advance its clock and check the resulting
// actions. There is no model of an endpoint: each test reports the result of each attempt.
#pragma once

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::policy::testing {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A class with a latency objective of 400 ms, a client timeout of 1 s and a dedup window of 800 ms.
inline ClassSettings makeClass(const std::string& name, Idempotency idempotency, double priorityWeight,
                               DedupScope dedupScope = DedupScope::all) {
  ClassSettings settings;
  settings.name = name;
  settings.latencyObjective = milliseconds(400);
  settings.clientTimeout = milliseconds(1000);
  settings.dedupWindow = milliseconds(800);
  settings.idempotency = idempotency;
  settings.dedupScope = dedupScope;
  settings.priorityWeight = priorityWeight;
  return settings;
}

// Settings of a single gateway in zone "east". Classes: read (0, safe, of high priority weight), write
// (1, unsafe) and put (2, keyed, with a dedup scope of one cell).
inline Settings makeSettings() {
  Settings settings;
  settings.seed = 7;
  settings.zone = "east";
  settings.classes = {makeClass("read", Idempotency::safe, 10), makeClass("write", Idempotency::unsafe, 1),
                      makeClass("put", Idempotency::keyed, 1, DedupScope::cell)};
  settings.cancelAllowed = true;
  settings.maxAttempts = 4;
  settings.eventInterval = milliseconds(5);
  settings.slowStartInitialFraction = 0.2;
  settings.slowStartDuration = seconds(10);
  settings.collapseWindow = seconds(2);
  return settings;
}

// The entry of an endpoint in an endpoint list. Its address is "host-" and 100 + `number`; recorded.txt
// depends on these addresses, since the load balancer hashes them.
inline EndpointInfo makeHost(int number, const std::string& zone = "east", std::int64_t cell = 0) {
  EndpointInfo info;
  info.address = "host-" + std::to_string(100 + number);
  info.zone = zone;
  info.machineKind = "std";
  info.cell = cell;
  return info;
}

// An attempt, as requested by an ActionKind::send.
struct SentAttempt {
  RequestId request;
  std::uint32_t attempt;  // its number within the request, from 0
  EndpointId endpoint;
  Timestamp sentAt;
  Duration timeLimit;
};

class Driver {
 public:
  // Starts with a restored list of endpoints 0 to `endpointCount` - 1, in zone "east" and two cells.
  explicit Driver(const Settings& settings, int endpointCount = 6)
      : now(seconds(100)), balancer(settings, now) {
    std::vector<EndpointInfo> list;
    for (int i = 0; i < endpointCount; ++i) list.push_back(makeHost(i, "east", i % 2));
    balancer.onEndpoints(now, EndpointListKind::restored, list);
    collectActions();
  }

  // Sends the load balancer a request, whose client waits `timeRemaining` longer. Key 0: it has none.
  RequestId request(std::uint32_t classIndex, Duration timeRemaining = milliseconds(1000),
                    std::uint64_t key = 0) {
    Request request;
    request.id = ++lastRequest;
    request.classIndex = classIndex;
    request.timeRemaining = timeRemaining;
    request.key = key;
    request.hasKey = key != 0;
    balancer.onRequest(now, request);
    collectActions();
    return request.id;
  }
  // Reports the result of an attempt. A negative `elapsed` stands for the time since it was sent.
  void reportResult(const SentAttempt& sent, Outcome outcome, bool endsRequest,
                    Duration elapsed = Duration(-1)) {
    balancer.onResult(now, {sent.request, sent.attempt, sent.endpoint, outcome,
                            elapsed < Duration{} ? now - sent.sentAt : elapsed, endsRequest});
    for (std::size_t i = 0; i < inFlight.size(); ++i)
      if (inFlight[i].request == sent.request && inFlight[i].attempt == sent.attempt) {
        inFlight.erase(inFlight.begin() + static_cast<std::ptrdiff_t>(i));
        break;
      }
    collectActions();
  }
  void reportServed(const SentAttempt& sent) { reportResult(sent, Outcome::served, true); }
  // Moves the clock on by `duration`, and calls onWake() after each `step`.
  void advance(Duration duration, Duration step = milliseconds(5)) {
    for (const Timestamp end = now + duration; now < end;) {
      now += step;
      balancer.onWake(now);
      collectActions();
    }
  }
  // Sends `count` requests one after another, and serves all that is in flight after each `latency`.
  void warmUp(std::uint32_t classIndex, int count, Duration latency = milliseconds(50)) {
    for (int i = 0; i < count; ++i) {
      request(classIndex);
      advance(latency, latency);
      while (!inFlight.empty()) reportServed(SentAttempt(inFlight.front()));
    }
  }
  SentAttempt lastSent() const { return sentAttempts.back(); }
  bool isRejected(RequestId id) const { return answers.count(id) && answers.at(id) == ActionKind::reject; }
  bool isFailed(RequestId id) const { return answers.count(id) && answers.at(id) == ActionKind::fail; }
  // The id of makeHost(number); kNone if the load balancer doesn't know it.
  EndpointId endpoint(int number) const { return balancer.findEndpoint(makeHost(number).address); }
  std::size_t countSentTo(EndpointId id) const {
    std::size_t count = 0;
    for (const SentAttempt& sent : sentAttempts) count += sent.endpoint == id;
    return count;
  }
  std::size_t countActions(ActionKind kind) const {
    std::size_t count = 0;
    for (const Action& action : actions) count += action.kind == kind;
    return count;
  }
  // Empties sentAttempts and actions, so that a test counts from here. Attempts stay in flight.
  void clearHistory() {
    sentAttempts.clear();
    actions.clear();
  }

  // Takes the load balancer's new actions. To be called after each event that a test reports directly.
  void collectActions() {
    for (Action& action : balancer.actions()) {
      if (action.kind == ActionKind::send) {
        sentAttempts.push_back({action.request, action.attempt, action.endpoint, now, action.timeLimit});
        inFlight.push_back(sentAttempts.back());
      } else if (action.kind == ActionKind::reject || action.kind == ActionKind::fail) {
        EXPECT_EQ(answers.count(action.request), 0u) << "answered twice";
        answers[action.request] = action.kind;
        retryAfters[action.request] = action.retryAfter;
      }
      actions.push_back(std::move(action));
    }
    balancer.actions().clear();
  }

  Timestamp now;
  LoadBalancer balancer;
  RequestId lastRequest = 0;
  std::vector<SentAttempt> sentAttempts;    // since clearHistory()
  std::vector<SentAttempt> inFlight;        // their results are not reported yet
  std::vector<Action> actions;              // since clearHistory()
  std::map<RequestId, ActionKind> answers;  // reject or fail
  std::map<RequestId, Duration> retryAfters;
};

}  // namespace cairnjunction::policy::testing

// Test fixture: a pool of endpoints and the objects that the parts of the load balancer share.
#pragma once

#include "driver.hpp"
#include "policy/action_queue.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/outlier_detection.hpp"
#include "policy/random.hpp"
#include "policy/request_table.hpp"
#include "policy/traffic_rates.hpp"

namespace cairnjunction::policy::testing {

constexpr Timestamp kStart{seconds(100)};

// Endpoints "host-100", "host-101" and so on, all healthy, in the order of their ids. Classes: read (0),
// write (1), put (2).
struct Pool {
  explicit Pool(int count, Settings initial = makeSettings()) : settings(std::move(initial)) {
    for (int i = 0; i < count; ++i) add(makeHost(i));
    endpoints.rebuildOrder();
  }
  Pool(const Pool&) = delete;
  Pool& operator=(const Pool&) = delete;

  EndpointId add(const EndpointInfo& info) {
    const EndpointId id = endpoints.upsert(info, classes).id;
    outliers.reset(endpoints[id]);
    return id;
  }
  // Records `count` outcomes of class read at the endpoint.
  void record(EndpointId id, Outcome outcome, int count, Timestamp now = kStart,
              FailureReason reason = FailureReason::unknown) {
    AttemptResult result;
    result.outcome = outcome;
    result.failureReason = reason;
    for (int i = 0; i < count; ++i) outliers.recordOutcome(endpoints[id], 0, result, now);
  }
  // Opens a request with a deadline 1 s and an objective 400 ms after kStart.
  ActiveRequest& open(std::uint32_t classIndex = 0) {
    ActiveRequest& request = *requests.open(nextRequest++);
    request.classIndex = classIndex;
    request.deadline = kStart + seconds(1);
    request.objectiveAt = kStart + milliseconds(400);
    return request;
  }
  // Records an attempt as sent and in flight.
  void send(ActiveRequest& request, EndpointId id, Timestamp at = kStart) {
    Attempt& attempt = request.attempts[request.attemptCount++];
    attempt.endpoint = id;
    attempt.sentAt = at;
    attempt.inFlight = true;
    attempt.mayHaveExecuted = true;
    ++request.attemptsInFlight;
    ++endpoints[id].inFlight;
  }

  Settings settings;
  Random random{1};
  ActionQueue actions;
  TrafficRates rates;
  ClassTable classes{settings.classes};
  EndpointTable endpoints{settings};
  RequestTable requests;
  OutlierDetector outliers{endpoints, classes, random, actions};
  RequestId nextRequest = 1;
};

}  // namespace cairnjunction::policy::testing

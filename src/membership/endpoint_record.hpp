// The health record of one endpoint, grouped by source, and the status that is derived from it.
//
// A zero timestamp (Timestamp{}) means that the event has not happened.
#pragma once

#include <cstdint>
#include <optional>

#include "cairnjunction/load_balancer.hpp"
#include "membership/endpoint_status.hpp"
#include "membership/settings.hpp"

namespace cairnjunction {

// From the endpoint list.
struct ListRecord {
  // Whether a list has named the endpoint since EndpointHealth::forget. Until then only the number of its
  // connections is recorded.
  bool known = false;
  policy::EndpointState state = policy::EndpointState::removed;
  policy::Timestamp startedAt{};  // latest start time in any list; never decreases
};

// From the connections to the endpoint.
struct ConnectionRecord {
  std::uint32_t established = 0;  // connections; those being opened do not count
  int connectTimeouts = 0;        // consecutive, without a response in between
  bool atLimit = false;           // it refused a connection while others were established
  policy::Timestamp refusedAt{};  // last refusal
};

// From the responses of the endpoint, or their absence.
struct ResponseRecord {
  policy::Timestamp respondedAt{};       // last response
  policy::Timestamp connectionLostAt{};  // last time that a connection broke during an attempt
  policy::Timestamp timedOutAt{};        // last time that an attempt timed out without a response during it
  int rejections = 0;                    // consecutive
  policy::Timestamp rejectingSince{};    // first of the consecutive rejections; meaningless if there are none

  // Records a response; `rejected`: it rejects the request because of overload.
  void onResponse(policy::Timestamp now, bool rejected);
  // Whether the endpoint has rejected all requests for longer than a short load peak lasts.
  bool overloaded(const EndpointHealthSettings& settings, policy::Timestamp now) const;
};

// Identifies an attempt by its request and its number within that request.
struct AttemptId {
  policy::RequestId request = 0;
  std::uint32_t attempt = 0;

  bool operator==(const AttemptId&) const = default;
};

// Probes of an unreachable endpoint. Reset each time the endpoint becomes unreachable.
struct ProbeRecord {
  std::optional<AttemptId> pending;  // the probe in flight; at most one at a time
  int failures = 0;                  // failed probes since the endpoint became unreachable; local failures
                                     // of this gateway do not count
  policy::Timestamp dueAt{};         // earliest start of the next probe
  policy::Timestamp lastTriedAt{};   // when this gateway last found the endpoint unreachable or ended a probe
  policy::Timestamp delegatedUntil{};  // other gateways probe the endpoint until this time
};

struct ReachabilityRecord {
  bool unreachable = false;
  ConditionReason reason = ConditionReason::connectionRefused;  // why it is, or last was, unreachable
  policy::Timestamp since{};                                    // when it last became unreachable
  // The endpoint's process started after this time: a connection was refused then and one accepted later.
  policy::Timestamp startedAfter{};
  // As last reported to the load balancer. The load balancer itself changes `probeOnly` to `unreachable` when
  // it sends the probe.
  policy::Reachability reported = policy::Reachability::reachable;
  ProbeRecord probes;  // meaningful only while unreachable
};

struct EndpointRecord {
  ListRecord list;
  ConnectionRecord connections;
  ResponseRecord responses;
  ReachabilityRecord reachability;

  bool active() const { return list.state == policy::EndpointState::active; }
  // The list takes precedence: no other source undoes a drain or a removal. The other findings follow in
  // decreasing order of severity.
  EndpointStatus status(const EndpointHealthSettings& settings, policy::Timestamp now) const;
  // Whether a probe may start: the endpoint is active in the list and unreachable, no probe is offered or
  // pending, and neither the backoff nor the delegation to another gateway is still running.
  bool probeDue(policy::Timestamp now) const;
};

}  // namespace cairnjunction

// What is known of one endpoint, by source, and the status that follows from it.
//
// A time of zero (Timestamp{}) means that the event has not happened.
#pragma once

#include <cstdint>
#include <optional>

#include "cairnjunction/load_balancer.hpp"
#include "membership/endpoint_status.hpp"
#include "membership/settings.hpp"

namespace cairnjunction {

// What the list says.
struct ListRecord {
  bool known = false;  // a list has named it since it was forgotten; without that nothing else is recorded
  policy::EndpointState state = policy::EndpointState::removed;
  policy::Timestamp startedAt{};  // the latest start that any list gave; never goes back
};

// What its connections show.
struct ConnectionRecord {
  std::uint32_t open = 0;         // connections that are established
  int connectTimeouts = 0;        // in a row, without a response meanwhile
  bool atLimit = false;           // it refused a connection while others were open
  policy::Timestamp refusedAt{};  // the last refusal
};

// What its responses show.
struct ResponseRecord {
  policy::Timestamp respondedAt{};       // the last response
  policy::Timestamp connectionLostAt{};  // the last time that a connection broke during an attempt
  policy::Timestamp timedOutAt{};        // the last time that an attempt timed out with no response during it
  int rejections = 0;                    // in a row
  policy::Timestamp rejectingSince{};    // the first of that row; meaningless while there is none

  void onResponse(policy::Timestamp now, bool rejected);
  // Whether it has rejected everything for long enough that it is no short peak.
  bool overloaded(const EndpointHealthSettings& settings, policy::Timestamp now) const;
};

// An attempt, by the request that it belongs to and its number there.
struct AttemptId {
  policy::RequestId request = 0;
  std::uint32_t attempt = 0;

  bool operator==(const AttemptId&) const = default;
};

// Probes of an endpoint that is unreachable. All of it begins anew when it becomes so.
struct ProbeRecord {
  std::optional<AttemptId> pending;    // the probe that is out; there is one at a time
  int failures = 0;                    // in a row; only those that say something of the endpoint
  policy::Timestamp dueAt{};           // no probe before
  policy::Timestamp triedAt{};         // when this gateway last tried it
  policy::Timestamp delegatedUntil{};  // other gateways probe it until then
};

// Whether it can be reached.
struct ReachabilityRecord {
  bool unreachable = false;
  ConditionReason reason = ConditionReason::connectionRefused;  // why it is unreachable, or last was
  policy::Timestamp since{};                                    // when it last became unreachable
  // Its process started after this, since a connection was refused then and accepted later.
  policy::Timestamp startedAfter{};
  // As last reported to the load balancer, which itself changes `probeOnly` to `unreachable` when it sends
  // the probe.
  policy::Reachability reported = policy::Reachability::reachable;
  ProbeRecord probes;  // meaningful while unreachable
};

struct EndpointRecord {
  ListRecord list;
  ConnectionRecord connections;
  ResponseRecord responses;
  ReachabilityRecord reachability;

  bool active() const { return list.state == policy::EndpointState::active; }
  // The list comes first: no other source undoes a drain or a removal. Then what was seen, the gravest first.
  EndpointStatus status(const EndpointHealthSettings& settings, policy::Timestamp now) const;
  // Whether a probe may start: the list has it active, it is unreachable, no probe is offered or pending, and
  // neither its backoff nor the term of another gateway lasts.
  bool probeDue(policy::Timestamp now) const;
};

}  // namespace cairnjunction

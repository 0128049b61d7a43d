// The status of an endpoint: its condition, and the reason for it.
#pragma once

#include <string_view>

namespace cairnjunction {

enum class EndpointCondition {
  serving,
  slowStart,    // serving, but its process started recently and is still in slow start
  suspect,      // shows signs of a failure; still receives requests
  unreachable,  // accepts no connection; receives probes only
  draining,     // draining in the list; receives no new requests
  removed       // removed by the list, or missing from a full list
};
// The name in log lines and metrics.
std::string_view nameOf(EndpointCondition condition);

enum class ConditionReason {
  listed,             // in the list, with no sign of a failure
  justStarted,        // its process started recently, by the list or by a refused connection
  connectionRefused,  // it refused a connection, and none is established
  connectionLimit,    // it refused a connection while others were established: it is at its limit
  connectTimeout,     // a new connection was not established in time, without a response since its start
  connectionLost,     // a connection broke during an attempt, without a response since
  attemptTimeout,     // an attempt timed out, without a response since it was sent
  overloaded,         // it responds, but has rejected all requests for some time
  listUpdate          // drained or removed by the list
};
// The text in log lines and metrics.
std::string_view nameOf(ConditionReason reason);

struct EndpointStatus {
  EndpointCondition condition = EndpointCondition::serving;
  ConditionReason reason = ConditionReason::listed;
};

}  // namespace cairnjunction

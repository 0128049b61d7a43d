// What an endpoint's status can be, and why.
#pragma once

#include <string_view>

namespace cairnjunction {

enum class EndpointCondition {
  serving,
  warmingUp,    // serves, within the slow start of its process
  suspect,      // something speaks against it; it still gets requests
  unreachable,  // no connection to it can be had: it gets probes only
  draining,     // by the list: it gets nothing new
  removed       // by the list, or a full list does not name it
};
// As log lines and figures name it.
std::string_view nameOf(EndpointCondition condition);

enum class ConditionReason {
  listed,             // the list names it and nothing speaks against it
  justStarted,        // its process started lately, by the list or by what was seen
  connectionRefused,  // it refused a connection, and none is open
  connectionLimit,    // it refused a connection while others are open: it holds as many as it wants
  connectTimeout,     // a new connection didn't come up, and there was no response since it was begun
  connectionLost,     // a connection broke during an attempt, and there was no response since
  attemptTimeout,     // an attempt timed out, and there was no response since it was sent
  overloaded,         // it responds, and has for a while rejected all that it was sent
  listUpdate          // by the list
};
// As log lines and figures name it.
std::string_view nameOf(ConditionReason reason);

struct EndpointStatus {
  EndpointCondition condition = EndpointCondition::serving;
  ConditionReason reason = ConditionReason::listed;
};

}  // namespace cairnjunction

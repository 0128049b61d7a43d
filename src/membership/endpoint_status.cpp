#include "membership/endpoint_status.hpp"

namespace cairnjunction {

std::string_view nameOf(EndpointCondition condition) {
  switch (condition) {
    case EndpointCondition::serving: return "serving";
    case EndpointCondition::slowStart: return "cold";
    case EndpointCondition::suspect: return "suspect";
    case EndpointCondition::unreachable: return "unreachable";
    case EndpointCondition::draining: return "draining";
    case EndpointCondition::removed: return "gone";
  }
  return "";
}

std::string_view nameOf(ConditionReason reason) {
  switch (reason) {
    case ConditionReason::listed: return "listed";
    case ConditionReason::justStarted: return "started lately";
    case ConditionReason::connectionRefused: return "refuses connections";
    case ConditionReason::connectionLimit: return "refuses more connections";
    case ConditionReason::connectTimeout: return "new connections don't come up";
    case ConditionReason::connectionLost: return "a connection broke";
    case ConditionReason::attemptTimeout: return "an attempt ran out of time";
    case ConditionReason::overloaded: return "turns all away";
    case ConditionReason::listUpdate: return "told by the list";
  }
  return "";
}

}  // namespace cairnjunction

#include "membership/endpoint_record.hpp"

#include <algorithm>

namespace cairnjunction {

using policy::EndpointState;
using policy::Timestamp;

void ResponseRecord::onResponse(Timestamp now, bool rejected) {
  respondedAt = now;
  if (!rejected) {
    rejections = 0;
    return;
  }
  if (rejections == 0) rejectingSince = now;
  ++rejections;
}

bool ResponseRecord::overloaded(const EndpointHealthSettings& settings, Timestamp now) const {
  return rejections >= settings.overloadedStreak && now - rejectingSince >= settings.overloadedDuration;
}

EndpointStatus EndpointRecord::status(const EndpointHealthSettings& settings, Timestamp now) const {
  if (!list.known || list.state == EndpointState::removed)
    return {EndpointCondition::removed, ConditionReason::listUpdate};
  if (list.state == EndpointState::draining)
    return {EndpointCondition::draining, ConditionReason::listUpdate};
  if (reachability.unreachable) return {EndpointCondition::unreachable, reachability.reason};
  if (connections.atLimit) return {EndpointCondition::suspect, ConditionReason::connectionLimit};
  if (connections.connectTimeouts > 0) return {EndpointCondition::suspect, ConditionReason::connectTimeout};
  if (responses.connectionLostAt > responses.respondedAt)
    return {EndpointCondition::suspect, ConditionReason::connectionLost};
  if (responses.timedOutAt > responses.respondedAt)
    return {EndpointCondition::suspect, ConditionReason::attemptTimeout};
  if (responses.overloaded(settings, now)) return {EndpointCondition::suspect, ConditionReason::overloaded};
  const Timestamp start = std::max(list.startedAt, reachability.startedAfter);
  if (start > Timestamp{} && now - start < settings.slowStartDuration)
    return {EndpointCondition::slowStart, ConditionReason::justStarted};
  return {EndpointCondition::serving, ConditionReason::listed};
}

bool EndpointRecord::probeDue(Timestamp now) const {
  if (!reachability.unreachable || !active()) return false;
  const bool offered = reachability.reported != policy::Reachability::unreachable;
  if (offered || reachability.probes.pending) return false;
  return now >= std::max(reachability.probes.dueAt, reachability.probes.delegatedUntil);
}

}  // namespace cairnjunction

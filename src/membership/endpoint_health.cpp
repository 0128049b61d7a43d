#include "membership/endpoint_health.hpp"

#include <algorithm>
#include <utility>

#include "common/numeric.hpp"

namespace cairnjunction {

using policy::AttemptResult;
using policy::ConnectionUse;
using policy::Duration;
using policy::EndpointId;
using policy::EndpointListKind;
using policy::EndpointState;
using policy::FailureReason;
using policy::Outcome;
using policy::Reachability;
using policy::Timestamp;

EndpointHealth::EndpointHealth(const Settings& settings)
    : settings_(settings), probes_(settings), staleness_(settings) {}

// --- The list ---------------------------------------------------------------------------------------------

void EndpointHealth::onList(Timestamp now, EndpointListKind kind,
                            const std::vector<ListedEndpoint>& endpoints) {
  if (kind == EndpointListKind::unavailable) return;
  if (kind != EndpointListKind::restored) staleness_.onAnswer(now);
  if (!endpoints.empty()) staleness_.onListChanged();
  if (kind != EndpointListKind::update)
    for (EndpointRecord& record : records_) record.list.state = EndpointState::removed;
  for (const ListedEndpoint& entry : endpoints)
    if (entry.endpoint != policy::kNone) applyEntry(now, entry);
}

void EndpointHealth::applyEntry(Timestamp now, const ListedEndpoint& entry) {
  ListRecord& list = recordFor(entry.endpoint).list;
  // A later start time means a new process, about which nothing is known. An earlier start time comes from an
  // outdated list, so it does not override what was observed since.
  const bool restarted = entry.startedAt > list.startedAt;
  const bool undrained = entry.state == EndpointState::active && list.state == EndpointState::draining;
  list.known = true;
  list.state = entry.state;
  list.startedAt = std::max(list.startedAt, entry.startedAt);
  if (restarted || undrained) onAddressChanged(now, entry.endpoint);
}

void EndpointHealth::onAddressChanged(Timestamp now, EndpointId endpoint) {
  EndpointRecord* record = findKnown(endpoint);
  if (!record) return;
  record->connections.atLimit = false;
  record->connections.connectTimeouts = 0;
  record->connections.refusedAt = Timestamp{};
  record->responses.rejections = 0;
  record->responses.connectionLostAt = Timestamp{};
  record->responses.timedOutAt = Timestamp{};
  record->reachability.startedAfter = Timestamp{};
  if (record->reachability.unreachable) setReachable(*record, now);
}

void EndpointHealth::forget(EndpointId endpoint) {
  if (endpoint < records_.size()) records_[endpoint] = EndpointRecord{};
}

// --- Connections and attempts -----------------------------------------------------------------------------

void EndpointHealth::onConnections(Timestamp now, EndpointId endpoint, std::uint32_t established) {
  EndpointRecord& record = recordFor(endpoint);
  record.connections.established = established;
  if (!record.list.known) return;
  // A terminating process may refuse a new connection before this gateway sees the open ones close. Such a
  // refusal looks like a connection limit at first; once no connection is left, the process has ended.
  if (record.connections.atLimit && established == 0)
    setUnreachable(record, now, ConditionReason::connectionRefused);
}

void EndpointHealth::onAttemptStarted(EndpointId endpoint, policy::RequestId request, std::uint32_t attempt) {
  EndpointRecord* record = findKnown(endpoint);
  if (!record || record->reachability.reported != Reachability::probeOnly) return;
  record->reachability.reported = Reachability::unreachable;  // the load balancer changes it too on sending
  record->reachability.probes.pending = AttemptId{request, attempt};
}

void EndpointHealth::onAttemptEnded(Timestamp now, const AttemptResult& result) {
  EndpointRecord* record = findKnown(result.endpoint);
  if (!record) return;
  std::optional<AttemptId>& pending = record->reachability.probes.pending;
  const bool wasProbe = pending == AttemptId{result.request, result.attempt};
  if (wasProbe) pending.reset();
  recordOutcome(*record, now, result);
  if (wasProbe && record->reachability.unreachable) onProbeEnded(*record, now, result);
}

void EndpointHealth::recordOutcome(EndpointRecord& record, Timestamp now, const AttemptResult& result) {
  switch (result.outcome) {
    case Outcome::served:
    case Outcome::overloaded:
    case Outcome::invalidRequest:
    case Outcome::error: onResponse(record, now, result); break;
    case Outcome::connectFailed: onConnectFailed(record, now, result); break;
    case Outcome::reset:
      if (result.failureReason == FailureReason::malformedResponse) onResponse(record, now, result);
      else record.responses.connectionLostAt = now;
      break;
    case Outcome::timeout:
      if (record.responses.respondedAt <= now - result.elapsed) record.responses.timedOutAt = now;
      break;
    case Outcome::cancelled:
    case Outcome::notSent: break;
  }
}

// Any response, also an error or a malformed one, proves that the process accepts connections.
void EndpointHealth::onResponse(EndpointRecord& record, Timestamp now, const AttemptResult& result) {
  record.responses.onResponse(now, result.outcome == Outcome::overloaded);
  record.connections.connectTimeouts = 0;
  if (result.connectionUse == ConnectionUse::opened) record.connections.atLimit = false;
  if (record.reachability.unreachable) setReachable(record, now);
}

void EndpointHealth::onConnectFailed(EndpointRecord& record, Timestamp now, const AttemptResult& result) {
  ConnectionRecord& connections = record.connections;
  if (result.failureReason == FailureReason::connectionRefused) {
    connections.refusedAt = now;
    if (connections.established > 0) connections.atLimit = true;
    else setUnreachable(record, now, ConditionReason::connectionRefused);
  } else if (result.failureReason == FailureReason::connectTimeout) {
    // The endpoint responded meanwhile on another connection, so it may only be too busy to accept a new one.
    if (record.responses.respondedAt > now - result.elapsed) return;
    ++connections.connectTimeouts;
    if (connections.connectTimeouts >= settings_.connectTimeoutLimit)
      setUnreachable(record, now, ConditionReason::connectTimeout);
  }
}

// --- Reachability and probes ------------------------------------------------------------------------------

void EndpointHealth::setUnreachable(EndpointRecord& record, Timestamp now, ConditionReason reason) {
  ReachabilityRecord& reachability = record.reachability;
  reachability.reason = reason;
  if (reachability.unreachable) return;
  reachability.unreachable = true;
  reachability.since = now;
  reachability.probes = ProbeRecord{};
  reachability.probes.lastTriedAt = now;
  record.connections.atLimit = false;
  scheduleProbe(record, now);
  report(record, Reachability::unreachable);
}

// An endpoint that accepts connections after it refused one has a new process. Its slow start counts from the
// refusal, whatever start time the list gives.
void EndpointHealth::setReachable(EndpointRecord& record, Timestamp now) {
  ReachabilityRecord& reachability = record.reachability;
  const bool newProcess = reachability.reason == ConditionReason::connectionRefused;
  reachability.unreachable = false;
  reachability.startedAfter = newProcess ? record.connections.refusedAt : Timestamp{};
  reachability.probes = ProbeRecord{};
  record.responses.respondedAt = now;
  report(record, Reachability::reachable, now - reachability.since);
}

void EndpointHealth::onProbeEnded(EndpointRecord& record, Timestamp now, const AttemptResult& result) {
  ProbeRecord& probes = record.reachability.probes;
  probes.lastTriedAt = now;
  // A probe that never left this gateway gives no information about the endpoint and does not lengthen the
  // backoff.
  const bool endpointFailed = result.outcome == Outcome::reset || result.outcome == Outcome::timeout ||
                              result.failureReason == FailureReason::connectionRefused ||
                              result.failureReason == FailureReason::connectTimeout;
  if (endpointFailed) ++probes.failures;
  scheduleProbe(record, now);
}

void EndpointHealth::scheduleProbe(EndpointRecord& record, Timestamp now) const {
  ReachabilityRecord& reachability = record.reachability;
  reachability.probes.dueAt =
      now + probeBackoff(settings_, reachability.reason, reachability.probes.failures);
}

void EndpointHealth::onTick(Timestamp now) {
  const auto due = probes_.chooseDue(
      now, records_.size(), [this, now](EndpointId endpoint) { return records_[endpoint].probeDue(now); });
  for (const EndpointId endpoint : due) report(records_[endpoint], Reachability::probeOnly);
}

void EndpointHealth::delegateProbing(Timestamp now, EndpointId endpoint, Timestamp until) {
  EndpointRecord* record = findKnown(endpoint);
  if (!record || !record->reachability.unreachable) return;
  ProbeRecord& probes = record->reachability.probes;
  const Duration maxDuration = policy::scaled(settings_.delegationMaxDuration, 0.5 + 0.5 * settings_.jitter);
  probes.delegatedUntil = std::max(now, std::min(until, probes.lastTriedAt + maxDuration));
}

void EndpointHealth::onRemoteProbeResult(Timestamp now, EndpointId endpoint, Duration age) {
  EndpointRecord* record = findKnown(endpoint);
  if (!record || !record->reachability.unreachable) return;
  const ProbeRecord& probes = record->reachability.probes;
  if (!probes.pending && now - age > probes.lastTriedAt) setReachable(*record, now);
}

void EndpointHealth::report(EndpointRecord& record, Reachability reachability, Duration unreachableFor) {
  record.reachability.reported = reachability;
  const bool reachable = reachability == Reachability::reachable;
  changes_.push_back({static_cast<EndpointId>(&record - records_.data()), reachability,
                      reachable ? record.reachability.startedAfter : Timestamp{}, record.reachability.reason,
                      unreachableFor});
}

std::vector<EndpointHealth::ReachabilityChange> EndpointHealth::takeChanges() {
  return std::exchange(changes_, {});
}

// --- Staleness of the list --------------------------------------------------------------------------------

ListContradictions EndpointHealth::contradictions(Timestamp now) const {
  const Duration staleAfter = staleness_.staleAfter();
  ListContradictions found;
  for (const EndpointRecord& record : records_) {
    if (!record.active()) continue;
    ++found.active;
    const ReachabilityRecord& reachability = record.reachability;
    if (!reachability.unreachable && record.responses.overloaded(settings_, now)) ++found.overloaded;
    if (reachability.unreachable && now - reachability.since >= staleAfter) ++found.unreachable;
  }
  return found;
}

bool EndpointHealth::takeResyncRequest(Timestamp now) {
  return staleness_.takeResyncRequest(now, contradictions(now));
}

// --- Queries ----------------------------------------------------------------------------------------------

EndpointStatus EndpointHealth::statusOf(EndpointId endpoint, Timestamp now) const {
  return endpoint < records_.size() ? records_[endpoint].status(settings_, now)
                                    : EndpointRecord{}.status(settings_, now);
}

std::vector<EndpointHealth::ListedEndpoint> EndpointHealth::listedEndpoints() const {
  std::vector<ListedEndpoint> listed;
  for (EndpointId endpoint = 0; endpoint < records_.size(); ++endpoint) {
    const ListRecord& list = records_[endpoint].list;
    if (list.known && list.state != EndpointState::removed)
      listed.push_back({endpoint, list.state, list.startedAt});
  }
  return listed;
}

std::vector<EndpointId> EndpointHealth::unreachableEndpoints() const {
  std::vector<EndpointId> unreachable;
  for (EndpointId endpoint = 0; endpoint < records_.size(); ++endpoint)
    if (records_[endpoint].active() && records_[endpoint].reachability.unreachable)
      unreachable.push_back(endpoint);
  return unreachable;
}

std::size_t EndpointHealth::activeCount() const {
  return static_cast<std::size_t>(std::count_if(
      records_.begin(), records_.end(), [](const EndpointRecord& record) { return record.active(); }));
}

std::size_t EndpointHealth::unreachableCount() const { return unreachableEndpoints().size(); }

EndpointRecord& EndpointHealth::recordFor(EndpointId endpoint) {
  if (records_.size() <= endpoint) records_.resize(endpoint + std::size_t{1});
  return records_[endpoint];
}

EndpointRecord* EndpointHealth::findKnown(EndpointId endpoint) {
  return endpoint < records_.size() && records_[endpoint].list.known ? &records_[endpoint] : nullptr;
}

}  // namespace cairnjunction

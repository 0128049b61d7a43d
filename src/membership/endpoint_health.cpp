// What is believed of each host, and why.
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
using policy::scaled;
using policy::Timestamp;

namespace {

constexpr int kProbeDoublings = 16;  // far beyond any bound of the settings; keeps the shift defined
// Probes that are saved up while nobody is out: a second's worth would be a burst.
constexpr double kProbeSaved = 4;

Duration doubled(Duration first, int times, Duration most) {
  return std::min(first * (std::int64_t{1} << std::min(times, kProbeDoublings)), most);
}

}  // namespace

std::string_view nameOf(EndpointCondition state) {
  switch (state) {
    case EndpointCondition::serving: return "serving";
    case EndpointCondition::warmingUp: return "cold";
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

// --- The list ---------------------------------------------------------------------------------------------

void EndpointHealth::onList(Timestamp now, EndpointListKind kind, const std::vector<ListedEndpoint>& hosts) {
  if (kind == EndpointListKind::unavailable) return;
  if (kind != EndpointListKind::restored) listAt_ = now;
  if (!hosts.empty()) doubts_ = 0;  // it was worth asking, and may soon be so again
  if (kind != EndpointListKind::update)
    for (Host& h : hosts_) h.phase = EndpointState::removed;
  for (const ListedEndpoint& named : hosts) {
    if (named.endpoint == policy::kNone) continue;  // gone, and so unknown to the module
    if (hosts_.size() <= named.endpoint) hosts_.resize(named.endpoint + std::size_t{1});
    Host& h = hosts_[named.endpoint];
    h.known = true;
    // A later start is a new process, of which nothing is known. Danger: a list that comes back in the past
    // names an earlier one; what was seen of the host since is the truer.
    const bool born = named.startedAt > h.upSince;
    const bool back = named.state == EndpointState::active && h.phase == EndpointState::draining;
    h.phase = named.state;
    h.upSince = std::max(h.upSince, named.startedAt);
    if (born || back) onAddressChanged(now, named.endpoint);
  }
}

void EndpointHealth::onAddressChanged(Timestamp now, EndpointId host) {
  Host* h = find(host);
  if (!h) return;
  h->crowded = false;
  h->silentDials = h->turnedAway = 0;
  h->lostAt = h->waitedAt = h->refusedAt = h->startedAfter = Timestamp{};
  if (h->out) bringBack(*h, now);
}

void EndpointHealth::forget(EndpointId host) {
  if (host < hosts_.size()) hosts_[host] = Host{};
}

// --- Connections and answers ------------------------------------------------------------------------------

void EndpointHealth::onConnections(Timestamp now, EndpointId host, std::uint32_t up) {
  if (hosts_.size() <= host) hosts_.resize(host + std::size_t{1});
  Host& h = hosts_[host];
  h.up = up;
  if (!h.known) return;
  // Danger: of a process that dies, a new connection may be refused before the ends of the open ones are
  // seen.
  if (h.crowded && up == 0) takeOut(h, now, ConditionReason::connectionRefused);
}

void EndpointHealth::onAttemptStarted(EndpointId host, policy::RequestId request, std::uint32_t attempt) {
  Host* h = find(host);
  if (!h || h->reach != Reachability::probeOnly) return;
  h->reach = Reachability::unreachable;  // as the module did by itself
  h->probing = true;
  h->probeRequest = request;
  h->probeAttempt = attempt;
}

void EndpointHealth::onAttemptEnded(Timestamp now, const AttemptResult& result) {
  Host* h = find(result.endpoint);
  if (!h) return;
  const bool probe = h->probing && h->probeRequest == result.request && h->probeAttempt == result.attempt;
  if (probe) h->probing = false;
  switch (result.outcome) {
    case Outcome::served:
    case Outcome::overloaded:
    case Outcome::invalidRequest:
    case Outcome::error: heard(*h, now, result); break;
    case Outcome::connectFailed: failedToConnect(*h, now, result); break;
    case Outcome::reset:
      if (result.failureReason == FailureReason::malformedResponse) heard(*h, now, result);
      else h->lostAt = now;
      break;
    case Outcome::timeout:
      if (h->heardAt <= now - result.elapsed) h->waitedAt = now;
      break;
    case Outcome::cancelled:
    case Outcome::notSent: break;
  }
  if (probe && h->out) {
    h->triedAt = now;
    // Only what says something of the host makes the next probe later.
    const bool tells = result.outcome == Outcome::reset || result.outcome == Outcome::timeout ||
                       result.failureReason == FailureReason::connectionRefused ||
                       result.failureReason == FailureReason::connectTimeout;
    if (tells) ++h->probes;
    schedule(*h, now);
  }
}

// Any answer, whatever it says, came from a process that takes connections.
void EndpointHealth::heard(Host& h, Timestamp now, const AttemptResult& result) {
  h.heardAt = now;
  h.silentDials = 0;
  if (result.connectionUse == ConnectionUse::opened) h.crowded = false;
  if (result.outcome != Outcome::overloaded) h.turnedAway = 0;
  else if (h.turnedAway++ == 0) h.turnedAwayAt = now;
  if (h.out) bringBack(h, now);
}

void EndpointHealth::failedToConnect(Host& h, Timestamp now, const AttemptResult& result) {
  if (result.failureReason == FailureReason::connectionRefused) {
    h.refusedAt = now;
    if (h.up > 0) h.crowded = true;
    else takeOut(h, now, ConditionReason::connectionRefused);
  } else if (result.failureReason == FailureReason::connectTimeout) {
    // Danger: a host may be too busy for a new connection and answer on those that it has.
    if (h.heardAt > now - result.elapsed) return;
    if (++h.silentDials >= settings_.connectTimeoutLimit) takeOut(h, now, ConditionReason::connectTimeout);
  }
}

// --- Out and back -----------------------------------------------------------------------------------------

void EndpointHealth::takeOut(Host& h, Timestamp now, ConditionReason why) {
  h.why = why;
  if (h.out) return;
  h.out = true;
  h.crowded = h.probing = false;
  h.probes = 0;
  h.outAt = h.triedAt = now;
  h.othersUntil = Timestamp{};
  schedule(h, now);
  tell(h, Reachability::unreachable);
}

// A process that takes connections where one refused them is a new one: the cold rule holds for it from then,
// whatever the list says of its start.
void EndpointHealth::bringBack(Host& h, Timestamp now) {
  h.out = h.probing = false;
  h.probes = 0;
  h.startedAfter = h.why == ConditionReason::connectionRefused ? h.refusedAt : Timestamp{};
  h.heardAt = now;
  tell(h, Reachability::reachable, now - h.outAt);
}

void EndpointHealth::delegateProbing(Timestamp now, EndpointId host, Timestamp until) {
  Host* h = find(host);
  if (!h || !h->out) return;
  const Timestamp most = h->triedAt + scaled(settings_.delegationMaxDuration, 0.5 + 0.5 * settings_.jitter);
  h->othersUntil = std::max(now, std::min(until, most));
}

// It opens as after an own probe: what answers where one refused is a new process, and cold.
void EndpointHealth::onRemoteProbeResult(Timestamp now, EndpointId host, Duration age) {
  Host* h = find(host);
  if (h && h->out && !h->probing && now - age > h->triedAt) bringBack(*h, now);
}

std::vector<EndpointId> EndpointHealth::unreachableEndpoints() const {
  std::vector<EndpointId> all;
  for (EndpointId id = 0; id < hosts_.size(); ++id)
    if (hosts_[id].out && hosts_[id].phase == EndpointState::active) all.push_back(id);
  return all;
}

void EndpointHealth::schedule(Host& h, Timestamp now) {
  const bool silent = h.why == ConditionReason::connectTimeout;
  h.probeAt =
      now + (silent ? doubled(settings_.silentProbeInitialBackoff, h.probes, settings_.silentProbeMaxBackoff)
                    : doubled(settings_.probeInitialBackoff, h.probes, settings_.probeMaxBackoff));
}

void EndpointHealth::tell(Host& h, Reachability reach, Duration away) {
  h.reach = reach;
  changes_.push_back({static_cast<EndpointId>(&h - hosts_.data()), reach,
                      reach == Reachability::reachable ? h.startedAfter : Timestamp{}, h.why, away});
}

void EndpointHealth::onTick(Timestamp now) {
  if (tokensAt_ > Timestamp{}) {
    const double passed = policy::toSeconds(now - tokensAt_);
    probeTokens_ = std::min(probeTokens_ + passed * settings_.probesPerSecond, kProbeSaved);
  }
  tokensAt_ = now;
  // Begun at another host each time, or with many out the last ones would never have their turn.
  const std::size_t begin = first_;
  for (std::size_t i = 0; i < hosts_.size() && probeTokens_ >= 1; ++i) {
    const std::size_t at = (begin + i) % hosts_.size();
    Host& h = hosts_[at];
    if (!h.out || h.phase != EndpointState::active || h.reach != Reachability::unreachable || h.probing ||
        now < std::max(h.probeAt, h.othersUntil))
      continue;
    probeTokens_ -= 1;
    ++probesOffered_;
    first_ = at + 1;
    tell(h, Reachability::probeOnly);
  }
}

// --- What is believed -------------------------------------------------------------------------------------

bool EndpointHealth::turnsAllAway(const Host& h, Timestamp now) const {
  return h.turnedAway >= settings_.overloadedStreak && now - h.turnedAwayAt >= settings_.overloadedDuration;
}

EndpointStatus EndpointHealth::derive(const Host& h, Timestamp now) const {
  if (!h.known || h.phase == EndpointState::removed)
    return {EndpointCondition::removed, ConditionReason::listUpdate};
  if (h.phase == EndpointState::draining) return {EndpointCondition::draining, ConditionReason::listUpdate};
  if (h.out) return {EndpointCondition::unreachable, h.why};
  if (h.crowded) return {EndpointCondition::suspect, ConditionReason::connectionLimit};
  if (h.silentDials > 0) return {EndpointCondition::suspect, ConditionReason::connectTimeout};
  if (h.lostAt > h.heardAt) return {EndpointCondition::suspect, ConditionReason::connectionLost};
  if (h.waitedAt > h.heardAt) return {EndpointCondition::suspect, ConditionReason::attemptTimeout};
  if (turnsAllAway(h, now)) return {EndpointCondition::suspect, ConditionReason::overloaded};
  const Timestamp start = std::max(h.upSince, h.startedAfter);
  if (start > Timestamp{} && now - start < settings_.slowStartDuration)
    return {EndpointCondition::warmingUp, ConditionReason::justStarted};
  return {EndpointCondition::serving, ConditionReason::listed};
}

EndpointStatus EndpointHealth::statusOf(EndpointId host, Timestamp now) const {
  return host < hosts_.size() ? derive(hosts_[host], now)
                              : EndpointStatus{EndpointCondition::removed, ConditionReason::listUpdate};
}

Duration EndpointHealth::listAge(Timestamp now) const { return now - listAt_; }

std::vector<EndpointHealth::ListedEndpoint> EndpointHealth::listedEndpoints() const {
  std::vector<ListedEndpoint> all;
  for (EndpointId id = 0; id < hosts_.size(); ++id)
    if (hosts_[id].known && hosts_[id].phase != EndpointState::removed)
      all.push_back({id, hosts_[id].phase, hosts_[id].upSince});
  return all;
}

std::size_t EndpointHealth::activeCount() const {
  return static_cast<std::size_t>(std::count_if(
      hosts_.begin(), hosts_.end(), [](const Host& h) { return h.phase == EndpointState::active; }));
}

std::size_t EndpointHealth::unreachableCount() const {
  return static_cast<std::size_t>(std::count_if(
      hosts_.begin(), hosts_.end(), [](const Host& h) { return h.phase == EndpointState::active && h.out; }));
}

// --- Doubt ------------------------------------------------------------------------------------------------

bool EndpointHealth::listDoubtful(Timestamp now) const {
  const Duration after = scaled(settings_.staleAfter, 0.5 + settings_.jitter);
  std::size_t in = 0, out = 0, turning = 0;
  for (const Host& h : hosts_) {
    if (h.phase != EndpointState::active) continue;
    ++in;
    out += h.out && now - h.outAt >= after;
    turning += !h.out && turnsAllAway(h, now);
  }
  // Where most turn requests away there is too much work, and the list may well be true.
  return out > 0 || (turning > 0 && 2 * turning <= in);
}

bool EndpointHealth::takeResyncRequest(Timestamp now) {
  if (!listDoubtful(now)) {
    // The next trouble is another one; but what comes and goes is not to be asked about each time.
    if (now >= doubtAt_) doubts_ = 0;
    return false;
  }
  if (now < doubtAt_) return false;
  const Duration pause =
      settings_.resyncInitialBackoff * (1 << std::min(doubts_, settings_.resyncMaxDoublings));
  doubtAt_ = now + scaled(pause, 0.75 + 0.5 * settings_.jitter);
  ++doubts_;
  return true;
}

void EndpointHealth::onResyncFailed(Timestamp now) {
  doubts_ = std::max(doubts_ - 1, 0);
  doubtAt_ =
      std::min(doubtAt_, now + scaled(settings_.resyncRetryAfterFailure, 0.75 + 0.5 * settings_.jitter));
}

std::vector<EndpointHealth::ReachabilityChange> EndpointHealth::takeChanges() {
  return std::exchange(changes_, {});
}

EndpointHealth::Host* EndpointHealth::find(EndpointId host) {
  return host < hosts_.size() && hosts_[host].known ? &hosts_[host] : nullptr;
}

}  // namespace cairnjunction

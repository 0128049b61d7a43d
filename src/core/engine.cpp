#include "core/engine.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "core/attempt_rules.hpp"

namespace cairnjunction {

using policy::Action;
using policy::ActionKind;
using policy::Duration;
using policy::Outcome;
using policy::Timestamp;
using ResponsePhase = ActiveCall::ResponsePhase;

namespace {

// The duration in seconds with one decimal, truncated.
std::string secondsText(Duration duration) {
  const auto tenths = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count() / 100;
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
}

EndpointHealth::Settings endpointHealthSettings(const policy::Settings& settings) {
  EndpointHealth::Settings health;
  health.slowStartDuration = settings.slowStartDuration;
  // Distinct values spread the polls of gateways that observe the same failure.
  health.jitter = (settings.gatewayIndex + 0.5) / settings.gatewayCount;
  return health;
}

}  // namespace

Engine::Engine(const policy::Settings& settings, Runtime& runtime, Upstream& upstream)
    : runtime_(runtime),
      upstream_(upstream),
      balancer_(settings, runtime.now()),
      endpointHealth_(endpointHealthSettings(settings)),
      classes_(settings.classes),
      endpointLog_([&runtime](const std::string& line) { runtime.log(line); }),
      attemptLog_([&runtime](const std::string& line) { runtime.log(line); }) {
  replyCounters_.setClasses(classes_.byIndex());
}

// --- Events of frontends --------------------------------------------------------------------------------

Engine::AcceptResult Engine::accept(Call call, ReplySink& sink, std::uint64_t frontendToken, CallId* id) {
  const Timestamp now = runtime_.now();
  if (calls_.isExternalIdInUse(now, call.externalId)) return AcceptResult::idInUse;
  const CallId newId = calls_.nextId();
  if (id != nullptr) *id = newId;
  call.attributes.id = newId;
  const Timestamp latestDeadline = now >= replyDeadline_.lastReplyAt() ? now : latestDeadline_;
  if (latestDeadline - now < call.attributes.timeRemaining)
    call.attributes.timeRemaining = std::max(latestDeadline - now, Duration{});
  const Timestamp deadline = now + call.attributes.timeRemaining;
  ActiveCall& added = calls_.add(newId, std::move(call), sink, frontendToken, deadline);
  const policy::ClassSettings* const callClass = classes_.find(added.call.attributes.classIndex);
  added.isSafe = callClass != nullptr && callClass->idempotency == policy::Idempotency::safe;
  reportReachability();
  balancer_.onRequest(now, added.call.attributes);
  executeActions();
  return AcceptResult::accepted;
}

void Engine::clientDisconnected(CallId id) {
  ActiveCall* const call = calls_.find(id);
  if (call == nullptr || call->settled) return;
  const Timestamp now = runtime_.now();
  attemptLog_.onClientLeft(now, call->call.externalId, call->attemptsStarted, call->deadline - now);
  call->settled = true;
  calls_.stopAwaitingReply();
  calls_.markPossiblyFinished(id);
  cancelAttempts(id);
}

void Engine::expectKillAt(Timestamp kill) {
  replyDeadline_.onKillAt(kill);
  scheduleWake(replyDeadline_.lastReplyAt());
}

// No client waits for the call any more: cancels its attempts as far as the settings allow.
void Engine::cancelAttempts(CallId id) {
  balancer_.onClientDisconnected(runtime_.now(), id);
  executeActions();
  // If the settings do not allow cancelling, the load balancer lets the attempt continue. An attempt that
  // still waits for its connection would then be sent to its endpoint uselessly, possibly seconds later.
  const ActiveCall* const call = calls_.find(id);
  if (call == nullptr) return;
  if (call->responsePhase == ResponsePhase::delayed) upstream_.cancel({id, call->latestAttempt});
  else if (call->attemptsInFlight > 0) upstream_.cancelIfUnsent({id, call->latestAttempt});
}

// --- Events of the upstream -----------------------------------------------------------------------------

void Engine::attemptEnded(AttemptOutcome outcome) {
  endedAttempts_.push_back(std::move(outcome));
  executeActions();
}

void Engine::responseStarted(AttemptOutcome outcome) {
  ActiveCall* const call = calls_.find(outcome.key.call);
  const bool wasDelayed = call != nullptr && call->responsePhase == ResponsePhase::delayed;
  if (call == nullptr || call->settled || (call->attemptsInFlight == 0 && !wasDelayed)) {
    if (outcome.response.rest) outcome.response.rest->leave();
    return;
  }
  if (!wasDelayed) --call->attemptsInFlight;
  call->responsePhase = ResponsePhase::streamed;
  const Timestamp now = runtime_.now();
  attemptLog_.onStreamed(now, call->call.externalId, outcome, balancer_.address(outcome.endpoint),
                         call->deadline - now);
  reply(outcome.key.call, *call, {ReplyStatus::ok, std::move(outcome.response), {}});
  // `call` may be dangling by now: its client may have disconnected during the reply.
  if (!wasDelayed) reportToLoadBalancer(outcome, true);
  executeActions();
}

void Engine::responseDelayed(const AttemptOutcome& outcome) {
  ActiveCall* const call = calls_.find(outcome.key.call);
  if (call == nullptr || call->settled || call->attemptsInFlight == 0) return;
  --call->attemptsInFlight;
  call->responsePhase = ResponsePhase::delayed;
  calls_.markDelayed(outcome.key.call);
  scheduleWake(replyDeadline_.latestReply(call->deadline));
  attemptLog_.onDelay(runtime_.now(), call->call.externalId, outcome, balancer_.address(outcome.endpoint));
  reportToLoadBalancer(outcome, true);
  executeActions();
}

void Engine::connectionsChanged(policy::EndpointId endpoint, EndpointConnections connections) {
  balancer_.onConnections(endpoint, connections.open);
  endpointHealth_.onConnections(runtime_.now(), endpoint, connections.established);
}

void Engine::finishAttempt(AttemptOutcome outcome) {
  const CallId id = outcome.key.call;
  ActiveCall* const call = calls_.find(id);
  if (call == nullptr) return;
  switch (std::exchange(call->responsePhase, ResponsePhase::none)) {
    case ResponsePhase::none: break;
    case ResponsePhase::delayed: return finishDelayed(id, *call, std::move(outcome));
    case ResponsePhase::streamed: return finishStreamed(id, *call, outcome);
  }
  if (call->attemptsInFlight == 0) return;
  --call->attemptsInFlight;
  if (outcome.failureReason == policy::FailureReason::unsolicitedBytes)
    endpointLog_.log(runtime_.now(), "attempt-distrusted request=" + call->call.externalId +
                                         " attempt=" + std::to_string(outcome.key.attempt) +
                                         " endpoint=" + balancer_.address(outcome.endpoint) +
                                         " executed=" + (mayHaveExecuted(outcome.outcome) ? "maybe" : "no"));
  if (outcome.outcome != Outcome::served) logFailure(*call, outcome);
  recordExecution(*call, outcome.outcome);
  calls_.markPossiblyFinished(id);
  if (outcome.outcome == Outcome::served && !call->settled)
    reply(id, *call, {ReplyStatus::ok, std::move(outcome.response), {}});
  reportToLoadBalancer(outcome, call->settled);
}

// To be called at the end of the call's latest attempt.
void Engine::recordExecution(ActiveCall& call, Outcome outcome) {
  if (mayHaveExecuted(outcome) && !call.mayHaveExecutedAt)
    call.mayHaveExecutedAt = call.latestAttemptStartedAt;
}

// The load balancer has closed the request, so what becomes of the call is decided here.
void Engine::finishDelayed(CallId id, ActiveCall& call, AttemptOutcome outcome) {
  calls_.markPossiblyFinished(id);
  const bool served = outcome.outcome == Outcome::served;
  if (!served) logFailure(call, outcome);
  recordExecution(call, outcome.outcome);
  if (call.settled) return;
  if (served) return reply(id, call, {ReplyStatus::ok, std::move(outcome.response), {}});
  replyUnserved(id, call, RefusalCause::responseEnded);
}

// Of a call on which the load balancer does not decide: all its attempts count, not only the latest.
void Engine::replyUnserved(CallId id, ActiveCall& call, RefusalCause cause) {
  reply(id, call, {mayBeRejected(call) ? ReplyStatus::rejected : ReplyStatus::failed, {}, {}}, cause);
}

// An upstream may need longer to end an attempt than the client can be kept waiting for its final answer.
void Engine::endOverdueCalls(Timestamp now) {
  if (now >= replyDeadline_.lastReplyAt()) return endCalls(calls_.unsettled(), RefusalCause::shutdown);
  endCalls(calls_.takeDelayedWithDeadlineBefore(now - kLatestReply + Duration(1)),
           RefusalCause::replyOverdue);
  if (const auto next = nextReplyDue()) scheduleWake(*next);
}

void Engine::endCalls(const std::vector<CallId>& ids, RefusalCause cause) {
  for (const CallId id : ids) {
    ActiveCall* const call = calls_.find(id);
    if (call == nullptr || call->settled) continue;  // settled as a consequence of an earlier reply
    replyUnserved(id, *call, cause);
    cancelAttempts(id);
  }
}

// When endOverdueCalls() has to be called next; empty: not before a call is delayed.
std::optional<Timestamp> Engine::nextReplyDue() {
  if (const auto earliest = calls_.earliestDelayedDeadline()) return replyDeadline_.latestReply(*earliest);
  if (replyDeadline_.lastReplyAt() == Timestamp::max()) return std::nullopt;
  return replyDeadline_.lastReplyAt();
}

void Engine::finishStreamed(CallId id, ActiveCall& call, const AttemptOutcome& outcome) {
  calls_.markPossiblyFinished(id);
  call.served = outcome.outcome == Outcome::served;
  if (!call.served) logFailure(call, outcome);
  recordExecution(call, Outcome::served);  // its answer had begun
  countReply(call, call.served ? ReplyStatus::ok : ReplyStatus::failed);
}

void Engine::logFailure(const ActiveCall& call, const AttemptOutcome& outcome) {
  const Timestamp now = runtime_.now();
  attemptLog_.onFailure(now, call.call.externalId, outcome, balancer_.address(outcome.endpoint),
                        call.deadline - now);
}

void Engine::reportToLoadBalancer(const AttemptOutcome& outcome, bool callSettled) {
  policy::AttemptResult result;
  result.request = outcome.key.call;
  result.attempt = outcome.key.attempt;
  result.endpoint = outcome.endpoint;
  result.outcome = outcome.outcome;
  result.elapsed = outcome.elapsed;
  result.failureReason = outcome.failureReason;
  result.connectionUse = outcome.connectionUse;
  result.connectionKept = outcome.connectionKept;
  result.endsRequest = callSettled;
  const Timestamp now = runtime_.now();
  // The endpoint health is updated first, since the load balancer may decide on a retry at once: an endpoint
  // that refused the connection must be unreachable by then.
  endpointHealth_.onAttemptEnded(now, result);
  reportReachability();
  balancer_.onResult(now, result);
}

// --- Events of discovery and of time --------------------------------------------------------------------

void Engine::updateEndpoints(policy::EndpointListKind kind, const std::vector<policy::EndpointInfo>& entries,
                             const std::function<void()>& beforeActions) {
  balancer_.onEndpoints(runtime_.now(), kind, entries);
  std::vector<EndpointHealth::ListedEndpoint> listed;
  listed.reserve(entries.size());
  for (const policy::EndpointInfo& entry : entries)
    listed.push_back({balancer_.findEndpoint(entry.address), entry.state, entry.startedAt});
  endpointHealth_.onList(runtime_.now(), kind, listed);
  if (beforeActions) beforeActions();
  reportReachability();
  executeActions();
}

void Engine::endpointAddressChanged(policy::EndpointId endpoint) {
  endpointHealth_.onAddressChanged(runtime_.now(), endpoint);
}

// The load balancer requests a wake-up at least ten times a second, which is often enough for the endpoint
// health.
void Engine::wake() {
  nextWakeAt_.reset();
  const Timestamp now = runtime_.now();
  endpointHealth_.onTick(now);
  if (endpointHealth_.takeResyncRequest(now)) {
    endpointLog_.log(now, "list doubted: " + std::to_string(endpointHealth_.unreachableCount()) + " of " +
                              std::to_string(endpointHealth_.activeCount()) +
                              " hosts unreachable, last word of discovery " +
                              secondsText(endpointHealth_.listAge(now)) + " s ago");
    runtime_.requestResync();
  }
  reportReachability();
  endOverdueCalls(now);
  balancer_.onWake(now);
  executeActions();
}

void Engine::reportReachability() {
  for (const EndpointHealth::ReachabilityChange& change : endpointHealth_.takeChanges()) {
    const Timestamp now = runtime_.now();
    balancer_.onReachability(now, change.endpoint, change.reachability, change.startedAfter);
    if (change.reachability == policy::Reachability::unreachable)
      endpointLog_.log(now, "host " + balancer_.address(change.endpoint) + " unreachable (" +
                                std::string(nameOf(change.reason)) + ")");
    else if (change.reachability == policy::Reachability::reachable)
      endpointLog_.log(now, "host " + balancer_.address(change.endpoint) + " reachable after " +
                                secondsText(change.unreachableFor) + " s");
  }
}

// --- Settings and counts --------------------------------------------------------------------------------

std::optional<ClassTable> Engine::classTableFor(const policy::Settings& settings) const {
  if (!replyCounters_.hasCapacityFor(settings.classes.size())) return std::nullopt;
  const std::vector<bool> inUse = calls_.classesInUse(classes_.byIndex().size());
  return classes_.withClasses(settings.classes,
                              [&](std::uint32_t index) { return index < inUse.size() && inUse[index]; });
}

bool Engine::configure(policy::Settings settings) {
  std::optional<ClassTable> next = classTableFor(settings);
  if (!next) return false;
  settings.classes = next->byIndex();
  const Duration slowStartDuration = settings.slowStartDuration;
  balancer_.configure(runtime_.now(), std::move(settings));  // throws before anything has changed
  endpointHealth_.setSlowStartDuration(slowStartDuration);
  classes_ = std::move(*next);
  replyCounters_.setClasses(classes_.byIndex());
  executeActions();
  return true;
}

Engine::EndpointCounts Engine::endpointCounts() const {
  EndpointCounts counts;
  for (const EndpointHealth::ListedEndpoint& listed : endpointHealth_.listedEndpoints()) {
    ++counts.listed;
    if (listed.state != policy::EndpointState::active || balancer_.isAvoided(listed.endpoint))
      ++counts.avoided;
  }
  return counts;
}

// --- Actions --------------------------------------------------------------------------------------------

// Executes all actions in their order, including those that result from them. If an action ends an attempt at
// once, the end must not reach the load balancer before all earlier actions are executed.
void Engine::executeActions() {
  if (executing_) return;
  executing_ = true;
  for (;;) {
    actions_.clear();
    actions_.swap(balancer_.actions());
    for (const Action& action : actions_) execute(action);
    if (!balancer_.actions().empty()) continue;
    calls_.removeFinished(runtime_.now());  // only now, when no pending action refers to them
    if (endedAttempts_.empty()) break;
    AttemptOutcome outcome = std::move(endedAttempts_.front());
    endedAttempts_.pop_front();
    finishAttempt(std::move(outcome));
  }
  executing_ = false;
}

void Engine::execute(const Action& action) {
  switch (action.kind) {
    case ActionKind::send: return startAttempt(action);
    case ActionKind::reject:
    case ActionKind::fail: return rejectOrFail(action);
    case ActionKind::cancel: return upstream_.cancel({action.request, action.attempt});
    case ActionKind::closeIdle: return upstream_.closeIdle(action.endpoint);
    case ActionKind::forgetEndpoint:
      endpointHealth_.forget(action.endpoint);
      return upstream_.forget(action.endpoint);
    case ActionKind::scheduleWake: return scheduleWake(action.wakeAt);
    case ActionKind::pollEndpoints: return runtime_.pollEndpoints();
    case ActionKind::log: return runtime_.log(action.text);
  }
}

// Keeps a wake-up that is already requested for an earlier time: at that wake-up the load balancer requests
// the next one, and wake() does no harm when nothing is due.
void Engine::scheduleWake(Timestamp at) {
  if (nextWakeAt_ && *nextWakeAt_ <= at) return;
  nextWakeAt_ = at;
  runtime_.wakeAt(at);
}

void Engine::startAttempt(const Action& action) {
  ActiveCall* const call = calls_.find(action.request);
  if (call == nullptr) return;
  const AttemptKey key{action.request, action.attempt};
  // Also for an attempt that is denied below: it may be the probe that the endpoint health has offered.
  endpointHealth_.onAttemptStarted(action.endpoint, key.call, key.attempt);
  const Timestamp now = runtime_.now();
  const AttemptDecision decision = decideAttempt(*call, classes_.find(call->call.attributes.classIndex), now);
  ++call->attemptsInFlight;
  if (decision.permission != AttemptPermission::allowed) {
    if (isViolation(decision.permission)) ++violations_;
    endedAttempts_.push_back({key, action.endpoint, Outcome::notSent, {}, {}});
    return;
  }
  if (key.attempt > 0)
    attemptLog_.onRetry(now, call->call.externalId, key.attempt, balancer_.address(action.endpoint));
  ++call->attemptsStarted;
  call->latestAttempt = key.attempt;
  call->latestAttemptStartedAt = now;
  const Duration clientWaits = call->deadline - now;
  upstream_.start(key, action.endpoint, call->call,
                  {std::min(action.timeLimit, clientWaits), decision.writeWithin, clientWaits});
}

void Engine::rejectOrFail(const Action& action) {
  ActiveCall* const call = calls_.find(action.request);
  if (call == nullptr || call->settled) return;
  // The load balancer would also reject a keyed call whose repeat any endpoint drops; but the client may
  // repeat it when the dedup window is over.
  if (action.kind == ActionKind::reject && mayBeRejected(*call))
    reply(action.request, *call, {ReplyStatus::rejected, {}, action.retryAfter});
  else reply(action.request, *call, {ReplyStatus::failed, {}, {}});
}

void Engine::reply(CallId id, ActiveCall& call, Reply reply, RefusalCause cause) {
  const Timestamp now = runtime_.now();
  if (reply.status != ReplyStatus::ok)
    attemptLog_.onRefusal(now, call.call.externalId, reply.status, call.attemptsStarted, call.deadline - now,
                          cause);
  call.settled = true;
  const bool streamed = call.responsePhase == ResponsePhase::streamed;
  call.served = reply.status == ReplyStatus::ok && !streamed;
  if (!streamed) countReply(call, reply.status);
  calls_.markPossiblyFinished(id);
  call.sink->onReply(call.frontendToken, std::move(reply));
}

void Engine::countReply(const ActiveCall& call, ReplyStatus status) {
  calls_.stopAwaitingReply();
  replyCounters_.add(call.call.attributes.classIndex, status);
}

}  // namespace cairnjunction

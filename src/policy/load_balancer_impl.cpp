#include "policy/load_balancer_impl.hpp"

#include <algorithm>
#include <utility>

#include "common/numeric.hpp"

namespace cairnjunction::policy {

LoadBalancer::Impl::Impl(Settings settings, Timestamp now)
    : settings_(std::move(settings)),
      now_(now),
      nextUpdate_(now + kUpdateInterval),
      random_(settings_.seed),
      classes_(settings_.classes),
      endpoints_(settings_),
      quota_(settings_, now),
      admission_(settings_, rates_, classes_, endpoints_, actions_, now),
      retryPolicy_(settings_, classes_, endpoints_),
      hedging_(settings_),
      poller_(settings_),
      outliers_(endpoints_, classes_, random_, actions_),
      slowStart_(settings_, rates_),
      connections_(settings_),
      picker_({.settings = settings_,
               .endpoints = endpoints_,
               .rates = rates_,
               .latency = latency_,
               .outliers = outliers_,
               .slowStart = slowStart_,
               .retryPolicy = retryPolicy_,
               .connections = connections_,
               .connectBackoff = connectBackoff_,
               .random = random_}) {}

// --- Every event

void LoadBalancer::Impl::finishEvent() {
  dispatchReadyKeys();
  if (poller_.startPollIfDue(now_)) actions_.pollEndpoints();
  scheduleWake();
}

void LoadBalancer::Impl::dispatchReadyKeys() {
  while (const auto head = keys_.nextHead(now_)) {
    ActiveRequest& request = requests_.at(head->slot);
    if (request.ended || request.attemptCount > 0) continue;
    if (now_ < head->notBefore) timers_.schedule(head->notBefore, request.ref, TimerKind::keyDispatch);
    else dispatch(request);
  }
}

void LoadBalancer::Impl::scheduleWake() {
  const auto nextTimer = timers_.nextAt([&](RequestRef ref) {
    const ActiveRequest* request = requests_.find(ref);
    return request == nullptr || request->ended;
  });
  const Timestamp next = nextTimer ? std::min(nextUpdate_, *nextTimer) : nextUpdate_;
  const Timestamp at = std::max(next, now_ + Duration(1));
  if (wakeAt_ > now_ && wakeAt_ <= at) return;
  wakeAt_ = at;
  actions_.scheduleWake(at);
}

// --- Settings and endpoints

void LoadBalancer::Impl::configure(Timestamp now, Settings settings) {
  now_ = now;
  // The identity of this gateway and the properties of its connections are fixed at construction.
  settings.seed = settings_.seed;
  settings.zone = settings_.zone;
  settings.gatewayIndex = settings_.gatewayIndex;
  settings.gatewayCount = settings_.gatewayCount;
  settings.pollDiscovery = settings_.pollDiscovery;
  settings.streamsPerConnection = settings_.streamsPerConnection;
  settings.eventInterval = settings_.eventInterval;
  settings_ = std::move(settings);
  const std::uint32_t unknownBefore = classes_.unknownIndex();
  const std::vector<std::size_t> origins = classes_.reconfigure(settings_.classes);
  endpoints_.reconfigure(classes_, origins);
  requests_.forEach([&](ActiveRequest& request) {
    if (request.classIndex == unknownBefore) request.classIndex = classes_.unknownIndex();
  });
  quota_.resize(settings_.tenants.size());
  finishEvent();
}

void LoadBalancer::Impl::onEndpoints(Timestamp now, EndpointListKind kind,
                                     const std::vector<EndpointInfo>& entries) {
  now_ = now;
  if (kind == EndpointListKind::unavailable) {
    poller_.onUnavailable(now_, random_);
    return finishEvent();
  }
  poller_.onList(kind, now_);
  if (kind != EndpointListKind::update) endpoints_.markAllRemoved();
  for (const EndpointInfo& entry : entries) {
    const EndpointTable::UpsertResult result = endpoints_.upsert(entry, classes_);
    Endpoint& endpoint = endpoints_[result.id];
    if (settings_.loadReports && kind != EndpointListKind::restored)
      loadReports_.record(endpoints_, endpoint);
    if (result.restarted) resetStatistics(endpoint);
  }
  endpoints_.rebuildOrder();
  for (EndpointId id = 0; id < endpoints_.size(); ++id) forgetIfUnused(id);
  finishEvent();
}

void LoadBalancer::Impl::onReachability(Timestamp now, EndpointId id, Reachability reachability,
                                        Timestamp startedAfter) {
  now_ = now;
  if (endpoints_.isKnown(id)) {
    Endpoint& endpoint = endpoints_[id];
    if (reachability == Reachability::reachable) {
      if (startedAfter > endpoint.startedAfter) {
        endpoint.startedAfter = startedAfter;
        resetStatistics(endpoint);
      }
      ConnectBackoff::allowNow(endpoint, now_);
    }
    endpoints_.setReachability(id, reachability);
  }
  finishEvent();
}

void LoadBalancer::Impl::onConnections(EndpointId id, std::uint32_t open) {
  if (endpoints_.isKnown(id)) ConnectionAgeTracker::recordReported(endpoints_[id], open);
}

void LoadBalancer::Impl::resetStatistics(Endpoint& endpoint) {
  outliers_.reset(endpoint);
  ResponsivenessMonitor::reset(endpoint);
  ConnectBackoff::reset(endpoint);
  ConnectionAgeTracker::reset(endpoint);
  LoadReports::reset(endpoint);
  LatencyTracker::reset(endpoints_, endpoint, slowStart_.capacityFraction(endpoint, now_));
  SlowStart::reset(endpoint, now_, random_);
}

void LoadBalancer::Impl::forgetIfUnused(EndpointId id) {
  if (endpoints_.forgetIfUnused(id)) actions_.forgetEndpoint(id);
}

// --- Requests, from arrival to end

void LoadBalancer::Impl::onRequest(Timestamp now, const Request& arrival) {
  now_ = now;
  if (ActiveRequest* request = requests_.open(arrival.id)) {
    initialize(*request, arrival);
    rates_.recordRequest();
    retryBudget_.recordRequest(rates_.requestRate());
    request->score = scorer_.score(priorityWeight(*request, arrival.tenantIndex), random_);
    admission_.recordArrival(now_);
    if (request->score < admission_.cutoff()) {
      reject(*request);
      end(*request);
    } else if (isSerialized(*request)) {
      enqueueByKey(*request);
    } else {
      timers_.schedule(request->deadline - settings_.eventInterval, request->ref, TimerKind::answerDeadline);
      dispatch(*request);
    }
  }
  finishEvent();
}

void LoadBalancer::Impl::initialize(ActiveRequest& request, const Request& arrival) {
  request.classIndex = classes_.indexOf(arrival.classIndex);
  if (arrival.hasKey) request.key = arrival.key;
  request.maxAttempts = arrival.maxAttempts;
  request.deadline = now_ + arrival.timeRemaining;
  ClassState& requestClass = classes_[request.classIndex];
  request.costRatio = requestClass.recordCost(arrival.expectedCost);
  const Duration waited = requestClass.recordTimeRemaining(arrival.timeRemaining);
  const ClassSettings& settings = requestClass.settings();
  request.objectiveAt =
      now_ - waited + settings.latencyObjective + scaled(arrival.expectedCost, settings.objectiveCostFactor);
  classes_.recordArrival(request.classIndex, request.costRatio);
}

// The class's priority weight, reduced if the request is already late or its tenant is over quota. Charges
// the request to the tenant's quota, so it must be called exactly once per request.
double LoadBalancer::Impl::priorityWeight(const ActiveRequest& request, std::uint32_t tenantIndex) {
  const ClassSettings& settings = classes_[request.classIndex].settings();
  double weight = settings.priorityWeight;
  if (now_ >= request.objectiveAt) weight *= settings.lateValueFraction;
  if (!quota_.tryCharge(tenantIndex, now_)) weight *= settings_.overQuotaWeightFactor;
  return weight;
}

bool LoadBalancer::Impl::isSerialized(const ActiveRequest& request) const {
  return request.key && classes_[request.classIndex].settings().serializedByKey;
}

// Queues the request behind others of its key, or rejects it if it would typically be too late: it would
// delay the key and fail in the end.
void LoadBalancer::Impl::enqueueByKey(ActiveRequest& request) {
  const std::size_t ahead = keys_.enqueue(*request.key, request.ref.slot);
  if (ahead > 0 && retryPolicy_.cannotFinishInTime(request, ahead, now_)) return rejectOrFail(request);
  const Duration typical = classes_[request.classIndex].typicalDuration(request.costRatio);
  timers_.schedule(request.deadline - settings_.eventInterval, request.ref, TimerKind::answerDeadline);
  timers_.schedule(retryPolicy_.attemptDeadline(request) - typical, request.ref, TimerKind::keyDispatch);
  keys_.markChanged(*request.key);
}

// Sends the first attempt and schedules the hedge timer; if no attempt can be sent, rejects or fails the
// request.
void LoadBalancer::Impl::dispatch(ActiveRequest& request) {
  if (!trySend(request)) return rejectOrFail(request);
  if (const auto delay = hedging_.delay(request, classes_[request.classIndex]))
    timers_.schedule(now_ + *delay, request.ref, TimerKind::hedge);
}

// Sends an attempt if its answer can still have value and an endpoint may receive it; returns whether it did.
bool LoadBalancer::Impl::trySend(ActiveRequest& request) {
  const Timestamp deadline = retryPolicy_.attemptDeadline(request);
  if (deadline <= now_ || retryPolicy_.isExhausted(request)) return false;
  // During an overload, an attempt with less time than an answer typically takes is unlikely to succeed,
  // displaces others and adds to the overload. With spare capacity it may be sent.
  if (!admission_.hasSpareCapacity() && retryPolicy_.cannotFinishInTime(request, 0, now_)) return false;
  const auto picked = picker_.pick(request, now_);
  if (!picked) return false;
  const EndpointId id = *picked;
  Endpoint& endpoint = endpoints_[id];
  slowStart_.recordSend(endpoint, now_);
  const ConnectionAgeTracker::SendEffect effect = connections_.recordSend(endpoint, now_);
  if (effect.closeStaleFirst) actions_.closeIdle(id);
  ResponsivenessMonitor::recordSend(endpoint, request.ref);
  // A probe is a single attempt: no other is sent until the reachability is reported again.
  if (endpoint.reachability == Reachability::probeOnly) endpoint.reachability = Reachability::unreachable;
  ++endpoint.inFlight;
  ++endpoint.references;
  const std::uint32_t number = request.attemptCount++;
  request.attempts[number] = {.endpoint = id,
                              .sentAt = now_,
                              .inFlight = true,
                              .mayHaveExecuted = true,
                              .cancelled = false,
                              .newConnection = effect.newConnection,
                              .idleStep = effect.idleStep};
  ++request.attemptsInFlight;
  actions_.send(request.id, number, id, deadline - now_);
  return true;
}

void LoadBalancer::Impl::onResult(Timestamp now, const AttemptResult& result) {
  now_ = now;
  ActiveRequest* request = requests_.find(result.request);
  if (request && result.attempt < request->attemptCount && request->attempts[result.attempt].inFlight)
    finishAttempt(*request, result);
  finishEvent();
}

void LoadBalancer::Impl::finishAttempt(ActiveRequest& request, const AttemptResult& result) {
  Attempt& attempt = request.attempts[result.attempt];
  Endpoint& endpoint = endpoints_[attempt.endpoint];
  attempt.inFlight = false;
  --request.attemptsInFlight;
  --endpoint.inFlight;
  if (result.outcome == Outcome::overloaded || result.outcome == Outcome::connectFailed ||
      result.outcome == Outcome::notSent)
    attempt.mayHaveExecuted = false;
  recordOutcome(endpoint, request, result);
  recordConnectionUse(endpoint, attempt, result);
  const bool mayStillRun = result.outcome == Outcome::timeout || result.outcome == Outcome::reset ||
                           result.outcome == Outcome::cancelled;
  if (mayStillRun && isSerialized(request)) keys_.coolDown(*request.key, now_ + settings_.keyCooldown);
  if (result.endsRequest && !request.ended) {
    request.ended = true;
    cancelAttempts(request);
  }
  if (request.ended) return closeIfFinished(request);
  if (request.responseStarted || request.attemptsInFlight > 0) return;
  retryOrEnd(request, result);
}

void LoadBalancer::Impl::retryOrEnd(ActiveRequest& request, const AttemptResult& result) {
  if (result.outcome == Outcome::invalidRequest) {
    actions_.fail(request.id);
    return end(request);
  }
  // An attempt that never reached an endpoint put no load on the pool: its retry is not charged to the
  // budget.
  const bool neverReachedEndpoint =
      result.outcome == Outcome::connectFailed && result.failureReason != FailureReason::unknown;
  const bool mayRetry =
      result.outcome != Outcome::notSent && (neverReachedEndpoint || retryBudget_.allowsRetry());
  if (!mayRetry || !trySend(request)) return rejectOrFail(request);
  if (!neverReachedEndpoint) retryBudget_.spend();
}

void LoadBalancer::Impl::onResponseStarted(Timestamp now, RequestId id, std::uint32_t attempt) {
  now_ = now;
  ActiveRequest* request = requests_.find(id);
  if (request && !request->ended && attempt < request->attemptCount) {
    request->responseStarted = true;
    cancelAttempts(*request, attempt);
  }
  finishEvent();
}

void LoadBalancer::Impl::onClientDisconnected(Timestamp now, RequestId id) {
  now_ = now;
  ActiveRequest* request = requests_.find(id);
  if (request && !request->ended) end(*request);
  finishEvent();
}

void LoadBalancer::Impl::reject(const ActiveRequest& request) {
  actions_.reject(request.id, retryPolicy_.retryAfter(request, random_));
}

void LoadBalancer::Impl::rejectOrFail(ActiveRequest& request) {
  if (retryPolicy_.isSafeToReject(request)) reject(request);
  else actions_.fail(request.id);
  end(request);
}

void LoadBalancer::Impl::end(ActiveRequest& request) {
  request.ended = true;
  cancelAttempts(request);
  closeIfFinished(request);
}

void LoadBalancer::Impl::cancelAttempts(ActiveRequest& request, std::uint32_t except) {
  if (!settings_.cancelAllowed) return;
  for (std::uint32_t i = 0; i < request.attemptCount; ++i) {
    Attempt& attempt = request.attempts[i];
    if (!attempt.inFlight || attempt.cancelled || i == except) continue;
    attempt.cancelled = true;
    actions_.cancel(request.id, i);
  }
}

void LoadBalancer::Impl::closeIfFinished(ActiveRequest& request) {
  if (!request.ended || request.attemptsInFlight > 0) return;
  if (isSerialized(request)) keys_.remove(*request.key, request.ref.slot);
  requests_.close(request);
  for (std::uint32_t i = 0; i < request.attemptCount; ++i) {
    const EndpointId id = request.attempts[i].endpoint;
    --endpoints_[id].references;
    forgetIfUnused(id);
  }
}

// --- Statistics of outcomes

void LoadBalancer::Impl::recordOutcome(Endpoint& endpoint, const ActiveRequest& request,
                                       const AttemptResult& result) {
  if (recordExcludedFailure(endpoint, result)) return;
  ClassState& requestClass = classes_[request.classIndex];
  const double seconds =
      std::max(toSeconds(result.elapsed), 1e-6);  // zero would make the latency ratios meaningless
  switch (result.outcome) {
    case Outcome::served: {
      ResponsivenessMonitor::recordResponse(endpoint, now_);
      LatencyTracker::recordAnswer(endpoints_, endpoint, requestClass, request.costRatio, seconds);
      // Answers are weighted by their work. Counted equally, a gateway that admits only a class of heavy
      // requests would see a low rate of answers and consider the pool slow, while other gateways use its
      // capacity.
      const double value = now_ <= request.objectiveAt ? 1 : requestClass.settings().lateValueFraction;
      rates_.recordAnswer(classes_.relativeWork(request.classIndex, request.costRatio) * value);
      break;
    }
    case Outcome::overloaded:
      ResponsivenessMonitor::recordResponse(endpoint, now_);
      if (!OutlierDetector::isPersistentlyOverloaded(endpoint))
        admission_.recordOverload(outliers_.classSuccessWeight(endpoint, request.classIndex));
      break;
    case Outcome::timeout:
      LatencyTracker::recordTimeout(endpoint, requestClass, request.costRatio, seconds);
      break;
    case Outcome::error: ResponsivenessMonitor::recordResponse(endpoint, now_); break;
    case Outcome::connectFailed:
      ConnectBackoff::recordFailure(endpoint, now_, random_);
      ConnectionAgeTracker::recordClosed(endpoint);
      break;
    case Outcome::reset: ConnectionAgeTracker::recordClosed(endpoint); break;
    case Outcome::invalidRequest: ResponsivenessMonitor::recordResponse(endpoint, now_); return;
    case Outcome::cancelled:
    case Outcome::notSent: return;
  }
  admission_.recordOutcome();
  outliers_.recordOutcome(endpoint, request.classIndex, result, now_);
}

// Returns whether the attempt was not executed for a known reason that is no evidence about the endpoint's
// health. It then counts neither in the endpoint's statistics nor in the error rate: only the connect backoff
// is updated.
bool LoadBalancer::Impl::recordExcludedFailure(Endpoint& endpoint, const AttemptResult& result) {
  if (result.outcome != Outcome::connectFailed || result.failureReason == FailureReason::unknown ||
      result.failureReason == FailureReason::connectTimeout)
    return false;
  // Matters while other connections are open; otherwise the endpoint is reported as unreachable.
  if (result.failureReason == FailureReason::connectionRefused)
    ConnectBackoff::recordFailure(endpoint, now_, random_);
  if (result.failureReason == FailureReason::noDescriptor) connectBackoff_.recordNoDescriptor(now_);
  return true;
}

void LoadBalancer::Impl::recordConnectionUse(Endpoint& endpoint, Attempt& attempt,
                                             const AttemptResult& result) {
  endpoint.connections.lastUsedAt = now_;
  if (attempt.newConnection && result.outcome == Outcome::served) ConnectBackoff::recordSuccess(endpoint);
  if (result.connectionUse == ConnectionUse::opened) attempt.idleStep = 0;
  connections_.recordOutcome(attempt.idleStep, result.outcome);
}

// --- Timers

void LoadBalancer::Impl::onWake(Timestamp now) {
  now_ = now;
  while (const auto timer = timers_.popDue(now_)) onTimer(*timer);
  if (now_ >= nextUpdate_) updateStatistics();
  finishEvent();
}

void LoadBalancer::Impl::onTimer(const Timer& timer) {
  ActiveRequest* request = requests_.find(timer.request);
  if (!request || request->ended || request->responseStarted) return;
  switch (timer.kind) {
    case TimerKind::answerDeadline:  // no result arrived in time, and the client must be answered
      rejectOrFail(*request);
      break;
    case TimerKind::hedge:
      if (request->attemptsInFlight == 1 && admission_.hasSpareCapacity() && retryBudget_.allowsRetry() &&
          trySend(*request))
        retryBudget_.spend();
      break;
    case TimerKind::keyDispatch:
      if (!isSerialized(*request) || request->attemptCount > 0) break;
      keys_.markChanged(*request->key);
      if (retryPolicy_.cannotFinishInTime(*request, 0, now_)) rejectOrFail(*request);
      break;
  }
}

void LoadBalancer::Impl::updateStatistics() {
  nextUpdate_ = now_ + kUpdateInterval;
  endpointsWithUnusedConnections_.clear();
  connections_.update(endpoints_, now_, endpointsWithUnusedConnections_);
  for (const EndpointId id : endpointsWithUnusedConnections_) actions_.closeIdle(id);
  latency_.update(endpoints_, rates_);
  ResponsivenessMonitor::update(endpoints_, requests_, classes_.meanTypicalLatency(), now_);
  loadReports_.update(endpoints_);
  outliers_.update(rates_, now_);
  slowStart_.update(endpoints_, now_);
  scorer_.update();
  keys_.update(now_);
  rates_.update();
  classes_.update();
  admission_.update(now_);
}

}  // namespace cairnjunction::policy

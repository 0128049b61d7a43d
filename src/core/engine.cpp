// Open calls, their attempts and the one final answer.
#include "core/engine.hpp"

#include <algorithm>
#include <utility>

namespace cairnjunction {

using policy::Action;
using policy::ActionKind;
using policy::Duration;
using policy::Outcome;
using policy::Timestamp;

namespace {

// Lines on what is believed of hosts: so many in a second.
constexpr int kLinesMost = 10;
constexpr Duration kLinesEvery = std::chrono::seconds(1);
// A repeat has to be at its host within the window: for its last way there.
constexpr Duration kRepeatMargin = std::chrono::milliseconds(5);
// Names of classes since the start, whose counts are kept: a program that makes up names would fill the
// memory.
constexpr std::size_t kNamesMost = 4096;

std::string secondsText(Duration d) {
  const auto tenths = std::chrono::duration_cast<std::chrono::milliseconds>(d).count() / 100;
  return std::to_string(tenths / 10) + "." + std::to_string(tenths % 10);
}

EndpointHealth::Settings beliefsFor(const policy::Settings& settings) {
  EndpointHealth::Settings beliefs;
  beliefs.slowStartDuration = settings.slowStartDuration;
  // Gateways that see one failure ask discovery one after the other.
  beliefs.jitter = (settings.gatewayIndex + 0.5) / settings.gatewayCount;
  return beliefs;
}

}  // namespace

Engine::Engine(const policy::Settings& settings, Runtime& runtime, Upstream& upstream)
    : runtime_(runtime),
      upstream_(upstream),
      balancer_(settings, runtime.now()),
      membership_(beliefsFor(settings)),
      classes_(settings.classes) {
  renewTallies();
}

// --- Events -------------------------------------------------------------------------------------------

Engine::AcceptResult Engine::accept(Call call, ReplySink& sink, std::uint64_t ticket, CallId* id) {
  if (names_.contains(call.externalId)) return AcceptResult::idInUse;
  const Timestamp now = runtime_.now();
  const CallId mine = ++lastCall_;
  if (id) *id = mine;
  call.attributes.id = mine;
  if (answerBy_ - now < call.attributes.timeRemaining)
    call.attributes.timeRemaining = std::max(answerBy_ - now, Duration{});
  Open& open = calls_[mine];
  open.call = std::move(call);
  open.sink = &sink;
  open.ticket = ticket;
  open.deadline = now + open.call.attributes.timeRemaining;
  names_.insert(open.call.externalId);
  ++unanswered_;
  applyBeliefs();
  balancer_.onRequest(now, open.call.attributes);
  run();
  return AcceptResult::accepted;
}

void Engine::clientDisconnected(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || it->second.ended) return;
  it->second.ended = true;
  --unanswered_;
  over_.push_back(id);
  letGo(id);
}

// Nobody waits for it any more.
void Engine::letGo(CallId id) {
  balancer_.onClientDisconnected(runtime_.now(), id);
  run();
  // Danger: where the settings rule cancelling out, an attempt that is still dialling would be written to its
  // host for nobody, perhaps seconds later.
  const auto left = calls_.find(id);
  if (left != calls_.end() && left->second.out > 0) upstream_.cancelIfUnsent({id, left->second.latest});
}

void Engine::failCallsPast(Timestamp kill) {
  std::vector<CallId> beyond;
  for (const auto& [id, open] : calls_)
    if (!open.ended && open.deadline > kill) beyond.push_back(id);
  for (const CallId id : beyond) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second.ended) continue;
    const bool neverRan = it->second.out == 0 && !it->second.mayHaveRunAt;
    reply(id, it->second, {neverRan ? ReplyStatus::rejected : ReplyStatus::failed, {}, {}});
    letGo(id);
  }
}

void Engine::attemptEnded(AttemptOutcome end) {
  ends_.push_back(std::move(end));
  run();
}

void Engine::responseStarted(AttemptOutcome end) {
  const auto it = calls_.find(end.key.call);
  if (it == calls_.end() || it->second.ended || it->second.out == 0) {
    if (end.response.rest) end.response.rest->leave();
    return;
  }
  Open& open = it->second;
  --open.out;
  open.passing = true;
  reply(end.key.call, open, {ReplyStatus::ok, std::move(end.response), {}});
  judge(end, open);
  run();
}

void Engine::updateEndpoints(policy::EndpointListKind kind, const std::vector<policy::EndpointInfo>& entries,
                             const std::function<void()>& before) {
  balancer_.onEndpoints(runtime_.now(), kind, entries);
  std::vector<EndpointHealth::ListedEndpoint> named;
  named.reserve(entries.size());
  for (const policy::EndpointInfo& e : entries)
    named.push_back({balancer_.findEndpoint(e.address), e.state, e.startedAt});
  membership_.onList(runtime_.now(), kind, named);
  if (before) before();
  applyBeliefs();
  run();
}

// No event of its own: it may come while the upstream goes through its hosts. What follows from it is applied
// before the next decision.
void Engine::connectionsChanged(policy::EndpointId host, EndpointConnections connections) {
  balancer_.onConnections(host, connections.open);
  membership_.onConnections(runtime_.now(), host, connections.established);
}

void Engine::endpointAddressChanged(policy::EndpointId host) {
  membership_.onAddressChanged(runtime_.now(), host);
}

// The module wakes at least ten times a second, which is as often as probes and doubts need.
void Engine::wake() {
  wakeAt_ = Timestamp{};
  const Timestamp now = runtime_.now();
  membership_.onTick(now);
  if (membership_.takeResyncRequest(now)) {
    logLimited("list doubted: " + std::to_string(membership_.unreachableCount()) + " of " +
               std::to_string(membership_.activeCount()) + " hosts unreachable, last word of discovery " +
               secondsText(membership_.listAge(now)) + " s ago");
    runtime_.requestResync();
  }
  applyBeliefs();
  balancer_.onWake(now);
  run();
}

// Nothing, if there are more than there is room for.
std::optional<ClassTable> Engine::nextClasses(const policy::Settings& settings) const {
  if (tallies_.size() + settings.classes.size() > kNamesMost) return std::nullopt;
  std::vector<bool> held(classes_.byIndex().size(), false);
  for (const auto& [id, open] : calls_)
    if (open.call.attributes.classIndex < held.size()) held[open.call.attributes.classIndex] = true;
  return classes_.with(settings.classes,
                       [&](std::uint32_t index) { return index < held.size() && held[index]; });
}

bool Engine::configure(policy::Settings settings) {
  auto next = nextClasses(settings);
  if (!next) return false;
  settings.classes = next->byIndex();
  const policy::Duration coldTime = settings.slowStartDuration;
  balancer_.configure(runtime_.now(), std::move(settings));
  membership_.setSlowStartDuration(coldTime);
  classes_ = std::move(*next);
  renewTallies();
  run();
  return true;
}

void Engine::renewTallies() {
  tallyOf_.clear();
  for (const policy::ClassSettings& c : classes_.byIndex()) {
    const auto known = std::find_if(tallies_.begin(), tallies_.end(),
                                    [&](const ReplyCounts& tally) { return tally.className == c.name; });
    tallyOf_.push_back(static_cast<std::size_t>(known - tallies_.begin()));
    if (known == tallies_.end()) tallies_.push_back({c.name});
  }
}

Engine::EndpointCounts Engine::endpointCounts() const {
  EndpointCounts targets;
  for (const EndpointHealth::ListedEndpoint& host : membership_.listedEndpoints()) {
    ++targets.listed;
    targets.avoided += host.state != policy::EndpointState::active || balancer_.isAvoided(host.endpoint);
  }
  return targets;
}

void Engine::settle(AttemptOutcome end) {
  const auto it = calls_.find(end.key.call);
  if (it == calls_.end()) return;
  Open& open = it->second;
  if (std::exchange(open.passing, false)) {
    over_.push_back(end.key.call);
    return count(open, end.outcome == Outcome::served ? ReplyStatus::ok : ReplyStatus::failed);
  }
  if (open.out == 0) return;
  --open.out;
  const bool neverRan = end.outcome == Outcome::overloaded || end.outcome == Outcome::connectFailed ||
                        end.outcome == Outcome::notSent;
  if (!neverRan && !open.mayHaveRunAt) open.mayHaveRunAt = open.sentAt;
  over_.push_back(end.key.call);
  if (end.outcome == Outcome::served && !open.ended)
    reply(end.key.call, open, {ReplyStatus::ok, std::move(end.response), {}});
  judge(end, open);
}

// Tells the module of an attempt's end.
void Engine::judge(const AttemptOutcome& end, const Open& open) {
  policy::AttemptResult result;
  result.request = end.key.call;
  result.attempt = end.key.attempt;
  result.endpoint = end.endpoint;
  result.outcome = end.outcome;
  result.elapsed = end.elapsed;
  result.failureReason = end.failureReason;
  result.connectionUse = end.connectionUse;
  result.connectionKept = end.connectionKept;
  result.endsRequest = open.ended;
  const Timestamp now = runtime_.now();
  // Before the module hears of the end, and may decide on another try: a host that refused is out by then.
  membership_.onAttemptEnded(now, result);
  applyBeliefs();
  balancer_.onResult(now, result);
}

void Engine::applyBeliefs() {
  for (const EndpointHealth::ReachabilityChange& change : membership_.takeChanges()) {
    balancer_.onReachability(runtime_.now(), change.endpoint, change.reachability, change.startedAfter);
    if (change.reachability == policy::Reachability::unreachable)
      logLimited("host " + balancer_.address(change.endpoint) + " unreachable (" +
                 std::string(nameOf(change.reason)) + ")");
    else if (change.reachability == policy::Reachability::reachable)
      logLimited("host " + balancer_.address(change.endpoint) + " reachable after " +
                 secondsText(change.unreachableFor) + " s");
  }
}

// A fleet that goes away at once would fill the log.
void Engine::logLimited(const std::string& line) {
  const Timestamp now = runtime_.now();
  if (now - linesAt_ >= kLinesEvery) linesAt_ = now, lines_ = 0;
  if (++lines_ > kLinesMost) {
    ++linesLeftOut_;
    return;
  }
  const std::size_t out = std::exchange(linesLeftOut_, 0);
  runtime_.log(out > 0 ? line + " (and " + std::to_string(out) + " lines more)" : line);
}

// --- Actions ------------------------------------------------------------------------------------------

// Carries out all actions in their order, with those that their own results raise. An action that ends an
// attempt at once must not feed the module while its earlier actions are still to be done.
void Engine::run() {
  if (carrying_) return;
  carrying_ = true;
  for (;;) {
    actions_.clear();
    actions_.swap(balancer_.actions());
    for (const Action& action : actions_) carryOut(action);
    if (!balancer_.actions().empty()) continue;
    dropOver();
    if (ends_.empty()) break;
    AttemptOutcome end = std::move(ends_.front());
    ends_.pop_front();
    settle(std::move(end));
  }
  carrying_ = false;
}

// Only after all actions that name them are done.
void Engine::dropOver() {
  for (const CallId id : over_) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || !it->second.ended || it->second.out > 0 || it->second.passing) continue;
    names_.erase(it->second.call.externalId);
    calls_.erase(it);
  }
  over_.clear();
}

void Engine::carryOut(const Action& action) {
  switch (action.kind) {
    case ActionKind::send: return send(action);
    case ActionKind::reject:
    case ActionKind::fail: return giveUp(action);
    case ActionKind::cancel: return upstream_.cancel({action.request, action.attempt});
    case ActionKind::closeIdle: return upstream_.closeIdle(action.endpoint);
    case ActionKind::forgetEndpoint:
      membership_.forget(action.endpoint);
      return upstream_.forget(action.endpoint);
    case ActionKind::scheduleWake:
      // Only the earliest wake counts: the module asks anew at each event for the next.
      if (wakeAt_ > Timestamp{} && wakeAt_ <= action.wakeAt) return;
      wakeAt_ = action.wakeAt;
      return runtime_.wakeAt(action.wakeAt);
    case ActionKind::pollEndpoints: return runtime_.pollEndpoints();
    case ActionKind::log: return runtime_.log(action.text);
  }
}

void Engine::send(const Action& action) {
  const auto it = calls_.find(action.request);
  if (it == calls_.end()) return;
  // Also of one that is not carried out, since it may be the probe that its host was offered.
  membership_.onAttemptStarted(action.endpoint, action.request, action.attempt);
  Open& open = it->second;
  const Timestamp now = runtime_.now();
  const Duration left = open.deadline - now;
  const Timestamp until = writableUntil(open);
  if (open.ended || open.out > 0 || left <= Duration{} || until <= now) {
    // Danger: carried out, it would run a call beside itself, for nobody or twice. Told as not sent, it is
    // settled.
    const bool windowOver =
        until <= now && until > Timestamp::min();  // the module goes by its own clock's step
    violations_ += !windowOver;
    ++open.out;
    ends_.push_back({{action.request, action.attempt}, action.endpoint, Outcome::notSent, {}, {}});
    return;
  }
  ++open.out;
  open.latest = action.attempt;
  open.sentAt = now;
  const Duration written = until == Timestamp::max() ? Duration::max() : until - now;
  upstream_.start({action.request, action.attempt}, action.endpoint, open.call,
                  {std::min(action.timeLimit, left), written});
}

Timestamp Engine::writableUntil(const Open& open) const {
  if (!open.mayHaveRunAt) return Timestamp::max();
  const auto& classes = classes_.byIndex();
  const std::uint32_t index = open.call.attributes.classIndex;
  // What nobody described is never repeated.
  const policy::Idempotency effect =
      index < classes.size() ? classes[index].idempotency : policy::Idempotency::unsafe;
  switch (effect) {
    case policy::Idempotency::safe: return Timestamp::max();
    case policy::Idempotency::keyed: return *open.mayHaveRunAt + classes[index].dedupWindow - kRepeatMargin;
    case policy::Idempotency::unsafe: break;
  }
  return Timestamp::min();
}

void Engine::giveUp(const Action& action) {
  const auto it = calls_.find(action.request);
  if (it == calls_.end() || it->second.ended) return;
  const bool refused = action.kind == ActionKind::reject;
  reply(
      action.request, it->second,
      {refused ? ReplyStatus::rejected : ReplyStatus::failed, {}, refused ? action.retryAfter : Duration{}});
}

void Engine::reply(CallId id, Open& open, Reply reply) {
  open.ended = true;
  if (!open.passing) count(open, reply.status);
  over_.push_back(id);
  open.sink->onReply(open.ticket, std::move(reply));
}

void Engine::count(const Open& open, ReplyStatus verdict) {
  --unanswered_;
  if (open.call.attributes.classIndex < tallyOf_.size()) {
    ReplyCounts& tally = tallies_[tallyOf_[open.call.attributes.classIndex]];
    ++(verdict == ReplyStatus::ok         ? tally.ok
       : verdict == ReplyStatus::rejected ? tally.rejected
                                          : tally.failed);
  }
}

}  // namespace cairnjunction

// Open calls, their attempts and the one final answer.
#include "core/engine.hpp"

#include <algorithm>
#include <utility>

namespace cairnjunction {

using ochrehill::Action;
using ochrehill::ActionKind;
using ochrehill::Duration;
using ochrehill::Outcome;
using ochrehill::Time;

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

Membership::Settings beliefsFor(const ochrehill::Settings& settings) {
  Membership::Settings beliefs;
  beliefs.coldTime = settings.coldTime;
  // Gateways that see one failure ask discovery one after the other.
  beliefs.spread = (settings.number + 0.5) / settings.groupSize;
  return beliefs;
}

}  // namespace

Engine::Engine(const ochrehill::Settings& settings, Runtime& runtime, Upstream& upstream)
    : runtime_(runtime),
      upstream_(upstream),
      balancer_(settings, runtime.now()),
      membership_(beliefsFor(settings)),
      classes_(settings.classes) {
  renewTallies();
}

// --- Events -------------------------------------------------------------------------------------------

Engine::Taken Engine::take(Call call, ReplySink& sink, std::uint64_t ticket, CallId* id) {
  if (names_.contains(call.name)) return Taken::nameInUse;
  const Time now = runtime_.now();
  const CallId mine = ++lastCall_;
  if (id) *id = mine;
  call.facts.id = mine;
  if (answerBy_ - now < call.facts.left) call.facts.left = std::max(answerBy_ - now, Duration{});
  Open& open = calls_[mine];
  open.call = std::move(call);
  open.sink = &sink;
  open.ticket = ticket;
  open.deadline = now + open.call.facts.left;
  names_.insert(open.call.name);
  ++unanswered_;
  applyBeliefs();
  balancer_.onRequest(now, open.call.facts);
  run();
  return Taken::yes;
}

void Engine::abandon(CallId id) {
  const auto it = calls_.find(id);
  if (it == calls_.end() || it->second.ended) return;
  it->second.ended = true;
  --unanswered_;
  over_.push_back(id);
  letGo(id);
}

// Nobody waits for it any more.
void Engine::letGo(CallId id) {
  balancer_.onClientGone(runtime_.now(), id);
  run();
  // Danger: where the settings rule cancelling out, an attempt that is still dialling would be written to its
  // host for nobody, perhaps seconds later.
  const auto left = calls_.find(id);
  if (left != calls_.end() && left->second.out > 0) upstream_.withdraw({id, left->second.latest});
}

void Engine::endCallsBeyond(Time kill) {
  std::vector<CallId> beyond;
  for (const auto& [id, open] : calls_)
    if (!open.ended && open.deadline > kill) beyond.push_back(id);
  for (const CallId id : beyond) {
    const auto it = calls_.find(id);
    if (it == calls_.end() || it->second.ended) continue;
    const bool neverRan = it->second.out == 0 && !it->second.mayHaveRunAt;
    reply(id, it->second, {neverRan ? Verdict::refused : Verdict::failed, {}, {}});
    letGo(id);
  }
}

void Engine::attemptEnded(AttemptEnd end) {
  ends_.push_back(std::move(end));
  run();
}

void Engine::answerStarted(AttemptEnd end) {
  const auto it = calls_.find(end.key.call);
  if (it == calls_.end() || it->second.ended || it->second.out == 0) {
    if (end.answer.rest) end.answer.rest->leave();
    return;
  }
  Open& open = it->second;
  --open.out;
  open.passing = true;
  reply(end.key.call, open, {Verdict::served, std::move(end.answer), {}});
  judge(end, open);
  run();
}

void Engine::tellHosts(ochrehill::ListKind kind, const std::vector<ochrehill::HostEntry>& entries,
                       const std::function<void()>& before) {
  balancer_.onHosts(runtime_.now(), kind, entries);
  std::vector<Membership::Named> named;
  named.reserve(entries.size());
  for (const ochrehill::HostEntry& e : entries)
    named.push_back({balancer_.findHost(e.address), e.phase, e.upSince});
  membership_.onList(runtime_.now(), kind, named);
  if (before) before();
  applyBeliefs();
  run();
}

// No event of its own: it may come while the upstream goes through its hosts. What follows from it is applied
// before the next decision.
void Engine::connectionsChanged(ochrehill::HostId host, HostConnections connections) {
  balancer_.onConnections(host, connections.open);
  membership_.onConnections(runtime_.now(), host, connections.up);
}

void Engine::hostMoved(ochrehill::HostId host) { membership_.onMoved(runtime_.now(), host); }

// The module wakes at least ten times a second, which is as often as probes and doubts need.
void Engine::wake() {
  wakeAt_ = Time{};
  const Time now = runtime_.now();
  membership_.onTime(now);
  if (membership_.takeDoubt(now)) {
    logLimited("list doubted: " + std::to_string(membership_.unreachable()) + " of " +
               std::to_string(membership_.listed()) + " hosts unreachable, last word of discovery " +
               secondsText(membership_.listAge(now)) + " s ago");
    runtime_.doubtList();
  }
  applyBeliefs();
  balancer_.onWake(now);
  run();
}

// Nothing, if there are more than there is room for.
std::optional<ClassTable> Engine::nextClasses(const ochrehill::Settings& settings) const {
  if (tallies_.size() + settings.classes.size() > kNamesMost) return std::nullopt;
  std::vector<bool> held(classes_.byIndex().size(), false);
  for (const auto& [id, open] : calls_)
    if (open.call.facts.classIndex < held.size()) held[open.call.facts.classIndex] = true;
  return classes_.with(settings.classes,
                       [&](std::uint32_t index) { return index < held.size() && held[index]; });
}

bool Engine::configure(ochrehill::Settings settings) {
  auto next = nextClasses(settings);
  if (!next) return false;
  settings.classes = next->byIndex();
  const ochrehill::Duration coldTime = settings.coldTime;
  balancer_.configure(runtime_.now(), std::move(settings));
  membership_.setColdTime(coldTime);
  classes_ = std::move(*next);
  renewTallies();
  run();
  return true;
}

void Engine::renewTallies() {
  tallyOf_.clear();
  for (const ochrehill::ClassSettings& c : classes_.byIndex()) {
    const auto known = std::find_if(tallies_.begin(), tallies_.end(),
                                    [&](const Tally& tally) { return tally.name == c.name; });
    tallyOf_.push_back(static_cast<std::size_t>(known - tallies_.begin()));
    if (known == tallies_.end()) tallies_.push_back({c.name});
  }
}

Engine::Targets Engine::targets() const {
  Targets targets;
  for (const Membership::Named& host : membership_.named()) {
    ++targets.listed;
    targets.avoided += host.phase != ochrehill::Phase::in || balancer_.avoids(host.host);
  }
  return targets;
}

void Engine::settle(AttemptEnd end) {
  const auto it = calls_.find(end.key.call);
  if (it == calls_.end()) return;
  Open& open = it->second;
  if (std::exchange(open.passing, false)) {
    over_.push_back(end.key.call);
    return count(open, end.outcome == Outcome::served ? Verdict::served : Verdict::failed);
  }
  if (open.out == 0) return;
  --open.out;
  const bool neverRan =
      end.outcome == Outcome::full || end.outcome == Outcome::connectFailed || end.outcome == Outcome::moot;
  if (!neverRan && !open.mayHaveRunAt) open.mayHaveRunAt = open.sentAt;
  over_.push_back(end.key.call);
  if (end.outcome == Outcome::served && !open.ended)
    reply(end.key.call, open, {Verdict::served, std::move(end.answer), {}});
  judge(end, open);
}

// Tells the module of an attempt's end.
void Engine::judge(const AttemptEnd& end, const Open& open) {
  ochrehill::AttemptResult result;
  result.request = end.key.call;
  result.attempt = end.key.attempt;
  result.host = end.host;
  result.outcome = end.outcome;
  result.taken = end.taken;
  result.fault = end.fault;
  result.carrier = end.carrier;
  result.kept = end.kept;
  result.terminal = open.ended;
  const Time now = runtime_.now();
  // Before the module hears of the end, and may decide on another try: a host that refused is out by then.
  membership_.onAttempt(now, result);
  applyBeliefs();
  balancer_.onResult(now, result);
}

void Engine::applyBeliefs() {
  for (const Membership::Change& change : membership_.takeChanges()) {
    balancer_.onReach(runtime_.now(), change.host, change.reach, change.startedAfter);
    if (change.reach == ochrehill::Reach::closed)
      logLimited("host " + balancer_.address(change.host) + " unreachable (" +
                 std::string(nameOf(change.why)) + ")");
    else if (change.reach == ochrehill::Reach::open)
      logLimited("host " + balancer_.address(change.host) + " reachable after " + secondsText(change.away) +
                 " s");
  }
}

// A fleet that goes away at once would fill the log.
void Engine::logLimited(const std::string& line) {
  const Time now = runtime_.now();
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
    AttemptEnd end = std::move(ends_.front());
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
    names_.erase(it->second.call.name);
    calls_.erase(it);
  }
  over_.clear();
}

void Engine::carryOut(const Action& action) {
  switch (action.kind) {
    case ActionKind::send: return send(action);
    case ActionKind::refuse:
    case ActionKind::fail: return giveUp(action);
    case ActionKind::cancel: return upstream_.cancel({action.request, action.attempt});
    case ActionKind::close: return upstream_.closeIdle(action.host);
    case ActionKind::forget: membership_.forget(action.host); return upstream_.forget(action.host);
    case ActionKind::wake:
      // Only the earliest wake counts: the module asks anew at each event for the next.
      if (wakeAt_ > Time{} && wakeAt_ <= action.span) return;
      wakeAt_ = action.span;
      return runtime_.wakeAt(action.span);
    case ActionKind::subscribe: return runtime_.subscribe();
    case ActionKind::log: return runtime_.log(action.text);
  }
}

void Engine::send(const Action& action) {
  const auto it = calls_.find(action.request);
  if (it == calls_.end()) return;
  // Also of one that is not carried out, since it may be the probe that its host was offered.
  membership_.onSent(action.host, action.request, action.attempt);
  Open& open = it->second;
  const Time now = runtime_.now();
  const Duration left = open.deadline - now;
  const Time until = writableUntil(open);
  if (open.ended || open.out > 0 || left <= Duration{} || until <= now) {
    // Danger: carried out, it would run a call beside itself, for nobody or twice. Told as not sent, it is
    // settled.
    const bool windowOver = until <= now && until > Time::min();  // the module goes by its own clock's step
    violations_ += !windowOver;
    ++open.out;
    ends_.push_back({{action.request, action.attempt}, action.host, Outcome::moot, {}, {}});
    return;
  }
  ++open.out;
  open.latest = action.attempt;
  open.sentAt = now;
  const Duration written = until == Time::max() ? Duration::max() : until - now;
  upstream_.start({action.request, action.attempt}, action.host, open.call,
                  {std::min(action.span, left), written});
}

Time Engine::writableUntil(const Open& open) const {
  if (!open.mayHaveRunAt) return Time::max();
  const auto& classes = classes_.byIndex();
  const std::uint32_t index = open.call.facts.classIndex;
  // What nobody described is never repeated.
  const ochrehill::Effect effect =
      index < classes.size() ? classes[index].effect : ochrehill::Effect::fragile;
  switch (effect) {
    case ochrehill::Effect::retryable: return Time::max();
    case ochrehill::Effect::dedup: return *open.mayHaveRunAt + classes[index].window - kRepeatMargin;
    case ochrehill::Effect::fragile: break;
  }
  return Time::min();
}

void Engine::giveUp(const Action& action) {
  const auto it = calls_.find(action.request);
  if (it == calls_.end() || it->second.ended) return;
  const bool refused = action.kind == ActionKind::refuse;
  reply(action.request, it->second,
        {refused ? Verdict::refused : Verdict::failed, {}, refused ? action.span : Duration{}});
}

void Engine::reply(CallId id, Open& open, Reply reply) {
  open.ended = true;
  if (!open.passing) count(open, reply.verdict);
  over_.push_back(id);
  open.sink->onReply(open.ticket, std::move(reply));
}

void Engine::count(const Open& open, Verdict verdict) {
  --unanswered_;
  if (open.call.facts.classIndex < tallyOf_.size()) {
    Tally& tally = tallies_[tallyOf_[open.call.facts.classIndex]];
    ++(verdict == Verdict::served    ? tally.served
       : verdict == Verdict::refused ? tally.refused
                                     : tally.failed);
  }
}

}  // namespace cairnjunction

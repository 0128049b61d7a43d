// What is believed of each host, and why.
#include "membership/membership.hpp"

#include <algorithm>
#include <utility>

#include "numbers.hpp"

namespace cairnjunction {

using ochrehill::AttemptResult;
using ochrehill::Carrier;
using ochrehill::Duration;
using ochrehill::Fault;
using ochrehill::HostId;
using ochrehill::ListKind;
using ochrehill::Outcome;
using ochrehill::Phase;
using ochrehill::Reach;
using ochrehill::scaled;
using ochrehill::Time;

namespace {

constexpr int kProbeDoublings = 16;  // far beyond any bound of the settings; keeps the shift defined
// Probes that are saved up while nobody is out: a second's worth would be a burst.
constexpr double kProbeSaved = 4;

Duration doubled(Duration first, int times, Duration most) {
  return std::min(first * (std::int64_t{1} << std::min(times, kProbeDoublings)), most);
}

}  // namespace

std::string_view nameOf(Standing state) {
  switch (state) {
    case Standing::serving: return "serving";
    case Standing::cold: return "cold";
    case Standing::suspect: return "suspect";
    case Standing::unreachable: return "unreachable";
    case Standing::draining: return "draining";
    case Standing::gone: return "gone";
  }
  return "";
}

std::string_view nameOf(Reason reason) {
  switch (reason) {
    case Reason::listed: return "listed";
    case Reason::started: return "started lately";
    case Reason::refused: return "refuses connections";
    case Reason::crowded: return "refuses more connections";
    case Reason::dialSilent: return "new connections don't come up";
    case Reason::lost: return "a connection broke";
    case Reason::waiting: return "an attempt ran out of time";
    case Reason::turnedAway: return "turns all away";
    case Reason::told: return "told by the list";
  }
  return "";
}

// --- The list ---------------------------------------------------------------------------------------------

void Membership::onList(Time now, ListKind kind, const std::vector<Named>& hosts) {
  if (kind == ListKind::unavailable) return;
  if (kind != ListKind::restored) listAt_ = now;
  if (!hosts.empty()) doubts_ = 0;  // it was worth asking, and may soon be so again
  if (kind != ListKind::update)
    for (Host& h : hosts_) h.phase = Phase::out;
  for (const Named& named : hosts) {
    if (named.host == ochrehill::kNone) continue;  // gone, and so unknown to the module
    if (hosts_.size() <= named.host) hosts_.resize(named.host + std::size_t{1});
    Host& h = hosts_[named.host];
    h.known = true;
    // A later start is a new process, of which nothing is known. Danger: a list that comes back in the past
    // names an earlier one; what was seen of the host since is the truer.
    const bool born = named.upSince > h.upSince;
    const bool back = named.phase == Phase::in && h.phase == Phase::draining;
    h.phase = named.phase;
    h.upSince = std::max(h.upSince, named.upSince);
    if (born || back) onMoved(now, named.host);
  }
}

void Membership::onMoved(Time now, HostId host) {
  Host* h = find(host);
  if (!h) return;
  h->crowded = false;
  h->silentDials = h->turnedAway = 0;
  h->lostAt = h->waitedAt = h->refusedAt = h->startedAfter = Time{};
  if (h->out) bringBack(*h, now);
}

void Membership::forget(HostId host) {
  if (host < hosts_.size()) hosts_[host] = Host{};
}

// --- Connections and answers ------------------------------------------------------------------------------

void Membership::onConnections(Time now, HostId host, std::uint32_t up) {
  if (hosts_.size() <= host) hosts_.resize(host + std::size_t{1});
  Host& h = hosts_[host];
  h.up = up;
  if (!h.known) return;
  // Danger: of a process that dies, a new connection may be refused before the ends of the open ones are
  // seen.
  if (h.crowded && up == 0) takeOut(h, now, Reason::refused);
}

void Membership::onSent(HostId host, ochrehill::RequestId request, std::uint32_t attempt) {
  Host* h = find(host);
  if (!h || h->reach != Reach::probe) return;
  h->reach = Reach::closed;  // as the module did by itself
  h->probing = true;
  h->probeRequest = request;
  h->probeAttempt = attempt;
}

void Membership::onAttempt(Time now, const AttemptResult& result) {
  Host* h = find(result.host);
  if (!h) return;
  const bool probe = h->probing && h->probeRequest == result.request && h->probeAttempt == result.attempt;
  if (probe) h->probing = false;
  switch (result.outcome) {
    case Outcome::served:
    case Outcome::full:
    case Outcome::rejected:
    case Outcome::error: heard(*h, now, result); break;
    case Outcome::connectFailed: failedToConnect(*h, now, result); break;
    case Outcome::reset:
      if (result.fault == Fault::spoilt) heard(*h, now, result);
      else h->lostAt = now;
      break;
    case Outcome::timeout:
      if (h->heardAt <= now - result.taken) h->waitedAt = now;
      break;
    case Outcome::cancelled:
    case Outcome::moot: break;
  }
  if (probe && h->out) {
    h->triedAt = now;
    // Only what says something of the host makes the next probe later.
    const bool tells = result.outcome == Outcome::reset || result.outcome == Outcome::timeout ||
                       result.fault == Fault::refused || result.fault == Fault::dialSilent;
    if (tells) ++h->probes;
    schedule(*h, now);
  }
}

// Any answer, whatever it says, came from a process that takes connections.
void Membership::heard(Host& h, Time now, const AttemptResult& result) {
  h.heardAt = now;
  h.silentDials = 0;
  if (result.carrier == Carrier::fresh) h.crowded = false;
  if (result.outcome != Outcome::full) h.turnedAway = 0;
  else if (h.turnedAway++ == 0) h.turnedAwayAt = now;
  if (h.out) bringBack(h, now);
}

void Membership::failedToConnect(Host& h, Time now, const AttemptResult& result) {
  if (result.fault == Fault::refused) {
    h.refusedAt = now;
    if (h.up > 0) h.crowded = true;
    else takeOut(h, now, Reason::refused);
  } else if (result.fault == Fault::dialSilent) {
    // Danger: a host may be too busy for a new connection and answer on those that it has.
    if (h.heardAt > now - result.taken) return;
    if (++h.silentDials >= settings_.silentDials) takeOut(h, now, Reason::dialSilent);
  }
}

// --- Out and back -----------------------------------------------------------------------------------------

void Membership::takeOut(Host& h, Time now, Reason why) {
  h.why = why;
  if (h.out) return;
  h.out = true;
  h.crowded = h.probing = false;
  h.probes = 0;
  h.outAt = h.triedAt = now;
  h.othersUntil = Time{};
  schedule(h, now);
  tell(h, Reach::closed);
}

// A process that takes connections where one refused them is a new one: the cold rule holds for it from then,
// whatever the list says of its start.
void Membership::bringBack(Host& h, Time now) {
  h.out = h.probing = false;
  h.probes = 0;
  h.startedAfter = h.why == Reason::refused ? h.refusedAt : Time{};
  h.heardAt = now;
  tell(h, Reach::open, now - h.outAt);
}

void Membership::leaveToOthers(Time now, HostId host, Time until) {
  Host* h = find(host);
  if (!h || !h->out) return;
  const Time most = h->triedAt + scaled(settings_.othersMost, 0.5 + 0.5 * settings_.spread);
  h->othersUntil = std::max(now, std::min(until, most));
}

// It opens as after an own probe: what answers where one refused is a new process, and cold.
void Membership::foundByOthers(Time now, HostId host, Duration age) {
  Host* h = find(host);
  if (h && h->out && !h->probing && now - age > h->triedAt) bringBack(*h, now);
}

std::vector<HostId> Membership::outHosts() const {
  std::vector<HostId> all;
  for (HostId id = 0; id < hosts_.size(); ++id)
    if (hosts_[id].out && hosts_[id].phase == Phase::in) all.push_back(id);
  return all;
}

void Membership::schedule(Host& h, Time now) {
  const bool silent = h.why == Reason::dialSilent;
  h.probeAt = now + (silent ? doubled(settings_.silentFirst, h.probes, settings_.silentMost)
                            : doubled(settings_.probeFirst, h.probes, settings_.probeMost));
}

void Membership::tell(Host& h, Reach reach, Duration away) {
  h.reach = reach;
  changes_.push_back({static_cast<HostId>(&h - hosts_.data()), reach,
                      reach == Reach::open ? h.startedAfter : Time{}, h.why, away});
}

void Membership::onTime(Time now) {
  if (tokensAt_ > Time{}) {
    const double passed = ochrehill::toSeconds(now - tokensAt_);
    probeTokens_ = std::min(probeTokens_ + passed * settings_.probesPerSecond, kProbeSaved);
  }
  tokensAt_ = now;
  // Begun at another host each time, or with many out the last ones would never have their turn.
  const std::size_t begin = first_;
  for (std::size_t i = 0; i < hosts_.size() && probeTokens_ >= 1; ++i) {
    const std::size_t at = (begin + i) % hosts_.size();
    Host& h = hosts_[at];
    if (!h.out || h.phase != Phase::in || h.reach != Reach::closed || h.probing ||
        now < std::max(h.probeAt, h.othersUntil))
      continue;
    probeTokens_ -= 1;
    ++probesOffered_;
    first_ = at + 1;
    tell(h, Reach::probe);
  }
}

// --- What is believed -------------------------------------------------------------------------------------

bool Membership::turnsAllAway(const Host& h, Time now) const {
  return h.turnedAway >= settings_.turnedAwayRow && now - h.turnedAwayAt >= settings_.turnedAwayFor;
}

Belief Membership::derive(const Host& h, Time now) const {
  if (!h.known || h.phase == Phase::out) return {Standing::gone, Reason::told};
  if (h.phase == Phase::draining) return {Standing::draining, Reason::told};
  if (h.out) return {Standing::unreachable, h.why};
  if (h.crowded) return {Standing::suspect, Reason::crowded};
  if (h.silentDials > 0) return {Standing::suspect, Reason::dialSilent};
  if (h.lostAt > h.heardAt) return {Standing::suspect, Reason::lost};
  if (h.waitedAt > h.heardAt) return {Standing::suspect, Reason::waiting};
  if (turnsAllAway(h, now)) return {Standing::suspect, Reason::turnedAway};
  const Time start = std::max(h.upSince, h.startedAfter);
  if (start > Time{} && now - start < settings_.coldTime) return {Standing::cold, Reason::started};
  return {Standing::serving, Reason::listed};
}

Belief Membership::of(HostId host, Time now) const {
  return host < hosts_.size() ? derive(hosts_[host], now) : Belief{Standing::gone, Reason::told};
}

Duration Membership::listAge(Time now) const { return now - listAt_; }

std::vector<Membership::Named> Membership::named() const {
  std::vector<Named> all;
  for (HostId id = 0; id < hosts_.size(); ++id)
    if (hosts_[id].known && hosts_[id].phase != Phase::out)
      all.push_back({id, hosts_[id].phase, hosts_[id].upSince});
  return all;
}

std::size_t Membership::listed() const {
  return static_cast<std::size_t>(
      std::count_if(hosts_.begin(), hosts_.end(), [](const Host& h) { return h.phase == Phase::in; }));
}

std::size_t Membership::unreachable() const {
  return static_cast<std::size_t>(std::count_if(hosts_.begin(), hosts_.end(),
                                                [](const Host& h) { return h.phase == Phase::in && h.out; }));
}

// --- Doubt ------------------------------------------------------------------------------------------------

bool Membership::listDoubtful(Time now) const {
  const Duration after = scaled(settings_.doubtAfter, 0.5 + settings_.spread);
  std::size_t in = 0, out = 0, turning = 0;
  for (const Host& h : hosts_) {
    if (h.phase != Phase::in) continue;
    ++in;
    out += h.out && now - h.outAt >= after;
    turning += !h.out && turnsAllAway(h, now);
  }
  // Where most turn requests away there is too much work, and the list may well be true.
  return out > 0 || (turning > 0 && 2 * turning <= in);
}

bool Membership::takeDoubt(Time now) {
  if (!listDoubtful(now)) {
    // The next trouble is another one; but what comes and goes is not to be asked about each time.
    if (now >= doubtAt_) doubts_ = 0;
    return false;
  }
  if (now < doubtAt_) return false;
  const Duration pause = settings_.doubtFirst * (1 << std::min(doubts_, settings_.doubtDoublings));
  doubtAt_ = now + scaled(pause, 0.75 + 0.5 * settings_.spread);
  ++doubts_;
  return true;
}

void Membership::onDoubtFailed(Time now) {
  doubts_ = std::max(doubts_ - 1, 0);
  doubtAt_ = std::min(doubtAt_, now + scaled(settings_.doubtRetry, 0.75 + 0.5 * settings_.spread));
}

std::vector<Membership::Change> Membership::takeChanges() { return std::exchange(changes_, {}); }

Membership::Host* Membership::find(HostId host) {
  return host < hosts_.size() && hosts_[host].known ? &hosts_[host] : nullptr;
}

}  // namespace cairnjunction

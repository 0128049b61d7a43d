// Attempts: from a request to its one final answer; whether to try again, and how it is turned away.
#include <algorithm>
#include <cmath>

#include "policy/module.hpp"

namespace cairnjunction::policy {
namespace {

constexpr double kCopyNorms = 2.5;   // a second copy after so many usual times
constexpr double kLeftApart = 0.02;  // of the client's total wait: times closer than this are the same
constexpr double kAfterLeast =
    0.1;  // of the longest retry-after: also the highest score stays away for a bit
constexpr double kRetryShare = 0.3;  // resends per new request

}  // namespace

void Module::onRequest(const Request& q) {
  if (slotOf.count(q.id)) return;
  std::uint32_t slot;
  if (freeSlots.empty()) {
    slot = static_cast<std::uint32_t>(slots.size());
    slots.emplace_back();
  } else {
    slot = freeSlots.back();
    freeSlots.pop_back();
  }
  Open& r = slots[slot];
  const std::uint32_t generation = r.generation + 1;
  r = Open{};
  r.id = q.id;
  r.generation = generation;
  r.live = true;
  r.cls = q.classIndex < set.classes.size() ? q.classIndex : static_cast<std::uint32_t>(set.classes.size());
  slotOf.emplace(q.id, slot);
  ClassState& c = classes[r.cls];
  const double cost = toSeconds(q.expectedCost);
  if (cost > 0) c.meanCost = c.meanCost > 0 ? c.meanCost + kNormGain * (cost - c.meanCost) : cost;
  r.cost = cost > 0 ? std::clamp(cost / c.meanCost, 0.2, 5.0) : 1.0;
  r.key = q.key;
  r.hasKey = q.hasKey;
  r.most = q.maxAttempts;
  r.deadline = now + q.timeRemaining;
  // Clients give single tries the same time, and a later one what is left of their total wait. A try whose
  // time is not the usual one tells how much was spent before; that no longer earns. Danger: by a median,
  // once later tries are the more, first ones look unusual, are refused as late and asked again, and the
  // jam keeps itself up. But the times of first tries lie in one place and what is left of later ones
  // scatters, so the usual time is where most lie. It could do harm where clients give many different
  // times.
  const Duration apart = scaled(c.set.clientTimeout, kLeftApart);
  const std::size_t place = c.noteLeft(toSeconds(q.timeRemaining) / std::max(toSeconds(apart), 1e-9));
  if (place == c.usualPlace) c.usualLeft = q.timeRemaining;
  const bool usual = q.timeRemaining > c.usualLeft - apart && q.timeRemaining < c.usualLeft + apart;
  const Duration spent = usual ? Duration{} : std::max(c.set.clientTimeout - q.timeRemaining, Duration{});
  r.aimAt = now - spent + c.set.latencyObjective + scaled(q.expectedCost, c.set.objectiveCostFactor);
  // Where late answers still earn, the time that counts reaches past the aim by that share.
  const Duration late =
      scaled(std::min(c.usualLeft - c.set.latencyObjective, c.set.latencyObjective), c.set.lateValueFraction);
  meanAim += kNormGain * (toSeconds(c.set.latencyObjective + late) - meanAim);
  if (c.norm > 0) meanWork += (meanWork > 0 ? kNormGain : 1.0) * (c.norm * r.cost - meanWork);
  asked += 1;
  retryTokens = std::min(retryTokens + kRetryShare, kRetrySaved + kRetryShare * askedRate);
  const double score = r.score = scoreOf(worthOf(r, q.tenantIndex));
  noteArrival();
  if (score < cut) {
    refuse(r);
    end(r);
  } else if (inTurn(r)) {
    enqueue(r, slot);
  } else {
    guards.push({r.deadline - set.eventInterval, slot, generation, Due::answer});
    dispatch(r);
  }
}

void Module::dispatch(Open& r) {  // its first attempt
  const ClassState& c = classes[r.cls];
  const auto slot = static_cast<std::uint32_t>(&r - slots.data());
  if (!send(r)) finish(r);
  else if (set.hedging && c.set.idempotency != Idempotency::unsafe && c.norm > 0)
    guards.push({now + scaled(usualTime(r), kCopyNorms), slot, r.generation, Due::copy});
}

bool Module::send(Open& r) {
  const Timestamp last = lastUse(r);
  if (last <= now || r.count >= std::min<std::size_t>({set.maxAttempts, r.most, kTries})) return false;
  // Danger: what comes with less time than an answer takes now gains little, takes the place of others and
  // feeds an overload. In calm there is room to try.
  if (cut > 1 && hopeless(r, 0)) return false;
  const EndpointId id = pick(r);
  if (id == kNone) return false;
  Host& h = hosts[id];
  if (isCold(h)) h.coldTokens -= 1;
  std::size_t age = idleStep(h);
  if (stale(age)) {
    emit(ActionKind::closeIdle, 0, 0, id);
    if (!h.exact) h.lines = 0;
    age = 0;
  }
  r.tries[r.count] = {id, now, true, true, false, !free(h), age};
  h.sent.emplace_back(static_cast<std::uint32_t>(&r - slots.data()), r.generation);
  h.used = now;
  if (!free(h) && !h.exact) ++h.lines;
  if (h.reach == Reachability::probeOnly) h.reach = Reachability::unreachable;  // till its end is told
  ++h.inflight;
  ++h.named;
  ++r.out;
  emit(ActionKind::send, r.id, r.count++, id).timeLimit = last - now;
  return true;
}

// Latest time at which an answer still earns and still reaches the client.
Timestamp Module::lastUse(const Open& r) const {
  const Timestamp end = r.deadline - 2 * set.eventInterval;
  return classes[r.cls].set.lateValueFraction > 0 ? end : std::min(end, r.aimAt - 2 * set.eventInterval);
}

void Module::onResult(const AttemptResult& a) {
  Open* found = find(a.request);
  if (!found || a.attempt >= found->count || !found->tries[a.attempt].out) return;
  Open& r = *found;
  Try& t = r.tries[a.attempt];
  Host& h = hosts[t.host];
  t.out = false;
  --r.out;
  --h.inflight;
  if (a.outcome == Outcome::overloaded || a.outcome == Outcome::connectFailed ||
      a.outcome == Outcome::notSent)
    t.mayHaveRun = false;
  judge(h, r, a);
  h.used = now;
  if (t.dialled && a.outcome == Outcome::served) h.dialFails = 0;
  if (a.connectionUse == ConnectionUse::reused) t.dialled = false;
  if (a.connectionUse == ConnectionUse::opened) t.dialled = true, t.age = 0;
  noteIdle(t.age, a.outcome);
  const bool unsure =
      a.outcome == Outcome::timeout || a.outcome == Outcome::reset || a.outcome == Outcome::cancelled;
  if (unsure && inTurn(r)) turns[r.key].restUntil = now + set.keyCooldown;
  if (a.endsRequest && !r.ended) {
    r.ended = true;
    cancelOut(r);
  }
  if (r.ended) return release(r);
  if (r.bound || r.out > 0) return;
  if (a.outcome == Outcome::invalidRequest) {
    emit(ActionKind::fail, r.id);
    return end(r);
  }
  // What never came to a host costs the pool nothing: the budget that keeps retries from feeding an overload
  // is not for it.
  const bool unreached = a.outcome == Outcome::connectFailed && a.failureReason != FailureReason::unknown;
  const bool again = lastUse(r) > now && (unreached || retryTokens >= 1) && a.outcome != Outcome::notSent;
  if (again && send(r)) retryTokens -= unreached ? 0 : 1;
  else finish(r);
}

void Module::onAnswerStarted(RequestId id, std::uint32_t attempt) {
  Open* r = find(id);
  if (!r || r->ended || attempt >= r->count) return;
  r->bound = true;
  cancelOut(*r, attempt);
}

void Module::onClientGone(RequestId id) {
  Open* r = find(id);
  if (r && !r->ended) end(*r);
}

void Module::finish(Open& r) {  // a refusal claims that a retry is harmless, so it needs proof; else an error
  const ClassSettings& c = classes[r.cls].set;
  bool mayHaveRun = false;
  for (std::uint32_t i = 0; i < r.count; ++i) mayHaveRun |= r.tries[i].mayHaveRun;
  const bool harmless =
      !mayHaveRun || c.idempotency == Idempotency::safe ||
      (c.idempotency == Idempotency::keyed && c.dedupScope == DedupScope::all && r.out == 0);
  if (harmless) refuse(r);
  else emit(ActionKind::fail, r.id);
  end(r);
}

// Retry-after lengthens as the score falls; jittered, or they would all come due together.
void Module::refuse(const Open& r) {
  Duration after{};
  if (set.retryAfterAllowed)
    after = scaled(set.maxRetryAfter, std::max(1 - r.score / 100, kAfterLeast) * (0.5 + 0.5 * drawUnit()));
  emit(ActionKind::reject, r.id).retryAfter = after;
}

void Module::end(Open& r) {
  r.ended = true;
  cancelOut(r);
  release(r);
}

void Module::cancelOut(Open& r, std::uint32_t except) {  // work that can no longer earn
  if (!set.cancelAllowed) return;
  for (std::uint32_t i = 0; i < r.count; ++i)
    if (r.tries[i].out && !r.tries[i].cancelled && i != except) {
      r.tries[i].cancelled = true;
      emit(ActionKind::cancel, r.id, i);
    }
}

void Module::release(Open& r) {
  if (!r.ended || r.out > 0) return;
  const auto slot = static_cast<std::uint32_t>(&r - slots.data());
  if (inTurn(r)) {
    std::deque<std::uint32_t>& queue = turns[r.key].queue;
    queue.erase(std::remove(queue.begin(), queue.end(), slot), queue.end());
    turnsDue.push_back(r.key);
  }
  slotOf.erase(r.id);
  r.live = false;
  freeSlots.push_back(slot);
  for (std::uint32_t i = 0; i < r.count; ++i) {
    --hosts[r.tries[i].host].named;
    forgetGone(r.tries[i].host);
  }
}

// Danger: hosts are replaced all day, and each would be kept for good. But its zone binds the repeats of
// the requests that it had, so its id stays with it till they are over.
void Module::forgetGone(EndpointId id) {
  if (hosts[id].entry.state != EndpointState::removed || hosts[id].named > 0 ||
      hosts[id].entry.address.empty())
    return;
  hostIds.erase(hosts[id].entry.address);
  hosts[id] = Host{};
  hosts[id].entry.state = EndpointState::removed;
  freeHosts.push_back(id);
  emit(ActionKind::forgetEndpoint, 0, 0, id);
}

}  // namespace cairnjunction::policy

// The start, and what falls due by time: deadlines, turns, second copies, sweeps.
#include "policy/module.hpp"

namespace cairnjunction::policy {

Module::Module(Settings s, Timestamp t)
    : set(std::move(s)), engine(set.seed), now(t), started(t), nextSweep(t + kSweep) {
  for (const ClassSettings& c : set.classes) {
    classes.push_back({c});
    meanAim += toSeconds(c.latencyObjective) / static_cast<double>(set.classes.size());
  }
  ClassSettings unknown = set.classes.front();  // what nobody described: never repeated, lowest worth
  unknown.name = "unknown";
  unknown.idempotency = Idempotency::unsafe;
  unknown.priorityWeight = 0;
  classes.push_back({unknown});
  quotaTokens.assign(set.tenants.size(), 0);
  quotaAt = t;
}

void Module::onWake() {
  while (!guards.empty() && guards.top().at <= now) {
    const Guard g = guards.top();
    guards.pop();
    Open& r = slots[g.slot];
    if (!r.live || r.generation != g.generation || r.ended || r.bound) continue;
    // Danger: an outcome that never comes would leave the client without an answer. And a slow host that
    // this gateway cannot know yet eats the whole aim: in calm what may be repeated runs once more
    // elsewhere.
    if (g.due == Due::turn && inTurn(r) && r.count == 0) {
      if (hopeless(r, 0)) finish(r);
      turnsDue.push_back(r.key);
    } else if (g.due == Due::answer) finish(r);
    else if (g.due == Due::copy && r.out == 1 && cut <= 1 && retryTokens >= 1 && send(r)) retryTokens -= 1;
  }
  if (now >= nextSweep) {
    nextSweep = now + kSweep;
    sweepConnections();
    sweepHosts();
    sweepKinds();
    sweepScores();
    sweepTurns();
    sweepPool();
  }
}

void Module::arm() {
  const auto over = [&](const Guard& g) {
    const Open& r = slots[g.slot];
    return !r.live || r.generation != g.generation || r.ended;
  };
  while (!guards.empty() && over(guards.top())) guards.pop();
  // Danger: requests end long before their deadlines, and their guards would be kept until then.
  if (guards.size() > guards.most) guards.drop(over);
  Timestamp want = guards.empty() ? nextSweep : std::min(nextSweep, guards.top().at);
  want = std::max(want, now + Duration(1));
  if (armed > now && armed <= want) return;
  armed = want;
  emit(ActionKind::scheduleWake).wakeAt = want;
}

}  // namespace cairnjunction::policy

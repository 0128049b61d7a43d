// Host health: what outcomes tell of a host, and who is ejected for a while.
#include <algorithm>
#include <cmath>

#include "policy/module.hpp"

namespace cairnjunction::policy {
namespace {

constexpr double kPaceFade = 0.05;  // per sweep without requests: an old pace fades in two seconds at least
constexpr double kPaceGain = 0.1;   // per answer: a host's pace, over its last ten answers
constexpr int kFullRow = 3;         // "full" so often on end: not a short peak, the host rests,
constexpr Duration kFullRest = milliseconds(100);  // a few unloaded answer times
constexpr Duration kOwnRest = milliseconds(20);    // descriptors come free as answers do
constexpr Duration kConnectRest = seconds(1);  // none to be had: down or at its cap; doubled as ejections are
constexpr double kCrowded = 1.5;               // times the median held: too much
constexpr double kShareGain = 0.5;             // power of the excess taken off a host's share at each report
constexpr double kShareBack = 1.1;             // and its way back
constexpr double kShareLeast = 0.05;           // a trickle, or it would never be known better
constexpr double kFailGain = 0.12;             // per outcome: five failures on end make one half
constexpr double kFailEject = 0.45;            // failure share that ejects,
constexpr double kFailPeers = 2.5;  // if it is also this many times that of the better quarter of the pool
// Danger: a host may fail or swallow one class and serve the others; by the mean of all it looks well.
constexpr double kClassGain = 0.25;   // per outcome of the class at the host: three on end make a half
constexpr double kClassPeers = 0.02;  // per outcome of the class anywhere: what its peers do, over fifty
constexpr double kEjectShare = 0.5;   // of the pool at most, so a pool-wide trouble never empties it
constexpr Duration kEjectFirst = seconds(1);  // doubled each time,
constexpr int kEjectDoublings = 3;            // up to so often
constexpr double kSilentNorms = 4;            // silent: nothing heard for so many times the usual time,
constexpr Duration kSilentLeast = milliseconds(150);  // and at least for this long (short pauses are normal)

}  // namespace

// What is known to say nothing of how the host does its work: it was not reached, for a reason that is known.
// Such an attempt never ran and proves no pressure, so neither the host's record nor the error rate takes it
// in.
bool Module::blameless(Host& h, const AttemptResult& a) {
  if (a.outcome != Outcome::connectFailed || a.failureReason == FailureReason::unknown ||
      a.failureReason == FailureReason::connectTimeout)
    return false;
  if (a.failureReason == FailureReason::connectionRefused)
    restDials(h);  // where others are open; else the host is closed to us
  if (a.failureReason == FailureReason::noDescriptor) dialAfter = now + kOwnRest;
  return true;
}

// Danger: open connections outlive the trouble of new ones; left unused they are closed or lost.
void Module::restDials(Host& h) {
  h.dialAfter = now + scaled(kConnectRest * (1 << h.dialFails), 0.5 + drawUnit());
  h.dialFails = std::min(h.dialFails + 1, kEjectDoublings);
}

void Module::judge(Host& h, const Open& r, const AttemptResult& a) {
  if (blameless(h, a)) return;
  ClassState& c = classes[r.cls];
  const double taken = std::max(toSeconds(a.elapsed), 1e-6);  // zero would make every ratio meaningless
  bool failed = false;
  switch (a.outcome) {
    case Outcome::served: {
      h.heard = now;
      h.fulls = 0;
      h.served += 1;
      const double usual = taken / r.cost;
      if (c.norm <= 0) c.norm = usual;
      const double sample = std::min(taken / (c.norm * r.cost), 20.0);
      h.pace += kPaceGain * (sample - h.pace);
      kinds[h.kind].pace += kNormGain * (sample - kinds[h.kind].pace);
      c.norm += kNormGain * (usual - c.norm);
      // Danger: counted one by one, heavy answers make a gateway that is cut down to a heavy class think
      // the pool slow and starve, while others take its share. By its usual time an answer weighs as its
      // work.
      const double weight = meanWork > 0 ? std::clamp(c.norm * r.cost / meanWork, 0.1, 10.0) : 1;
      inTime += weight * (now <= r.aimAt ? 1 : c.set.lateValueFraction);
      break;
    }
    case Outcome::overloaded:  // Danger: a host that stays full, or drains unannounced, holds little and
                               // looks idle.
      h.heard = now;
      h.errors += 1;
      if (h.fulls < kFullRow) fullSeen += trust(h, r.cls);  // beyond that only this host is in trouble
      if (++h.fulls >= kFullRow) h.restUntil = now + scaled(kFullRest, 0.5 + drawUnit());
      break;
    case Outcome::timeout:
      if (c.norm > 0 && taken > c.norm * r.cost)
        h.pace += kPaceGain * (std::min(taken / (c.norm * r.cost), 20.0) - h.pace);
      failed = true;
      break;
    case Outcome::error:
      h.heard = now;
      failed = true;
      break;
    case Outcome::connectFailed: restDials(h); [[fallthrough]];
    case Outcome::reset:
      failed = true;
      if (!h.exact) h.lines = std::max(h.lines - 1, 0);
      break;
    case Outcome::invalidRequest: h.heard = now; return;  // the request's fault, anywhere
    case Outcome::cancelled:
    case Outcome::notSent: return;
  }
  h.outcomes += 1;
  outcomeSeen += 1;
  // Danger: spoilt answers come from any host alike, and are no sign of pressure. Only a host that gives more
  // of them than its peers is to be left, and that is what ejection compares.
  const bool spoilt = a.failureReason == FailureReason::malformedResponse;
  if (failed && !spoilt) h.errors += 1;
  if (a.outcome != Outcome::overloaded) h.fails += kFailGain * ((failed ? 1.0 : 0.0) - h.fails);
  if (a.outcome != Outcome::connectFailed && !spoilt) {
    const double lost = failed || a.outcome == Outcome::overloaded ? 1 : 0;
    h.classFails[r.cls] += kClassGain * (lost - h.classFails[r.cls]);
    c.fails += kClassPeers * (lost - c.fails);
  }
  if (h.health == Health::trial && a.outcome != Outcome::overloaded) {
    if (failed) eject(h, "trial failed");
    else {
      h.health = Health::good;
      h.fails = 0;
      if (mayLog()) log("host returned " + h.entry.address);
    }
  }
}

// Live weights tell what a host holds of all gateways together, some time ago. Danger: a host that all pass
// over at once empties and looks best next time; so each word moves its share by a little.
void Module::crowded(Host& h, double crowd) {
  h.crowd = crowd;
  const double over = crowd / (kCrowded * medianCrowd);
  h.share = std::clamp(h.share * (over > 1 ? std::pow(over, -kShareGain) : kShareBack), kShareLeast, 1.0);
}

void Module::eject(Host& h, const char* why) {
  h.health = Health::ejected;
  h.until = now + scaled(kEjectFirst * (1 << h.ejections), 0.75 + 0.5 * drawUnit());
  h.ejections = std::min(h.ejections + 1, kEjectDoublings);
  if (mayLog()) log("host ejected " + h.entry.address + " (" + why + ")");
}

void Module::sweepHosts() {
  std::vector<double> paces, fails, crowds;
  std::size_t away = 0;
  for (EndpointId id : listed) {
    Host& h = hosts[id];
    // Danger: a pace learned in trouble keeps requests away, and without them it would never change.
    if (h.served <= 0 && h.inflight == 0) h.pace += kPaceFade * evidence() * (kinds[h.kind].pace - h.pace);
    h.outcomes *= 1 - fastGain();
    h.errors *= 1 - fastGain();
    if (h.health == Health::ejected && now >= h.until)
      h.health = Health::trial;                // back by a trickle of real requests
    if (h.reach == Reachability::reachable) {  // the others are no peers to be judged by
      if (h.health != Health::good) ++away;
      paces.push_back(h.pace);
      fails.push_back(h.fails);
      crowds.push_back(h.crowd);
    }
    // Danger: a paused or lost host gathers requests until they time out.
    while (!h.sent.empty() && !outTry(h.sent.front(), id)) h.sent.pop_front();
    const Duration limit =
        std::max(kSilentLeast, scaled(seconds(1), kSilentNorms * norm * std::max(1.0, h.pace)));
    h.silent = !h.sent.empty() && now - std::max(h.heard, outTry(h.sent.front(), id)->at) > limit;
  }
  medianPace = quantile(paces, 0.5, 1);
  medianCrowd = quantile(crowds, 0.5, 1);
  peerFails = quantile(fails, 0.25, 0);  // a quarter of the peers well: the others are outliers
  for (EndpointId id : listed) {  // judged against the peers, so that a pool-wide trouble ejects nobody
    Host& h = hosts[id];
    if (h.health != Health::good || h.reach != Reachability::reachable ||
        static_cast<double>(away + 1) > kEjectShare * static_cast<double>(reachable))
      continue;
    const bool failing = h.fails > std::max(kFailEject, kFailPeers * peerFails);
    if (failing) {
      eject(h, "failing");
      ++away;
    } else if (h.ejections > 0 && h.fails < 0.05 && now > h.until + 4 * kEjectFirst) {
      h.ejections = 0;
    }
  }
}

const Try* Module::outTry(std::pair<std::uint32_t, std::uint32_t> ref, EndpointId host) const {
  const Open& r = slots[ref.first];
  if (!r.live || r.generation != ref.second) return nullptr;
  for (std::uint32_t i = 0; i < r.count; ++i)
    if (r.tries[i].out && r.tries[i].host == host) return &r.tries[i];
  return nullptr;
}

}  // namespace cairnjunction::policy

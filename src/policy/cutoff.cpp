// Cutoff: 100 x^3, where x is the larger of the error overload and the in-flight overload of the pool.
// Requests that score below it are refused unsent; it is zero below its threshold.
#include <algorithm>
#include <cmath>

#include "policy/module.hpp"

namespace cairnjunction::policy {
namespace {

// In-flight overload. By Little's law the mean time in flight is in-flight / rate, so the pool carries
// `rate x aim` at most if answers are to be in time.
constexpr double kMaxOfAim = 0.45;          // in-flight maximum: mean time at this share of the aim
constexpr double kInflightThreshold = 0.5;  // share of that maximum below which nothing is cut
constexpr double kHeldGain = 0.05;          // per arrival: in-flight over the last twenty arrivals
constexpr double kHeldSweep = 0.5;          // per sweep
// Danger: what one of many gateways holds is a small count that swings by its square root, and the cubic
// makes refusals of the swing.
constexpr double kThinRange = 0.5;   // full cut later than with much evidence,
constexpr double kThinEarly = 0.1;   // its beginning earlier
constexpr double kFirstPerHost = 6;  // maximum assumed for a host before anything was measured
// Danger: after a burst that crowds the hosts for long, nearly all is refused, hosts stand idle, and a
// maximum that follows the few answers never grows back. So much may be held a host, by all gateways: a few
// cores' work.
constexpr double kFloorPerHost = 4;
// Danger: hosts once driven over stay slow long after, and "full" is the first that one hears of it.
constexpr double kFullEase = 4;        // times the share of "full" answers is taken off the maximum,
constexpr double kFullEaseMost = 0.5;  // up to a half, and forgotten in half a second
// Danger: when all hosts slow down together, a maximum that follows the sinking rate idles them. What a host
// held while nothing was refused stays allowed.
constexpr double kCalmFade = 0.001;  // per sweep: forgotten in some minutes
// Error overload: share of failed attempts. A few per cent is everyday noise.
constexpr double kErrorThreshold = 0.1;
constexpr double kErrorMax = 0.7;

}  // namespace

double Module::inflightMax() const {
  const double count = static_cast<double>(std::max<std::size_t>(reachable, 1));
  const double ease = 1 - std::min(kFullEase * fullSeen / outcomeSeen, kFullEaseMost);
  // Before anything was measured (own start in an overload) and after a lull, per-host guesses stand in.
  const double first = kFirstPerHost / set.gatewayCount, floor = kFloorPerHost / set.gatewayCount;
  const double least = now - started < 10 * kSweep ? first : std::max(floor, calmHeld);
  const double most = set.maxInFlight > 0 ? set.maxInFlight : HUGE_VAL;  // as clients' connections run out
  return std::min(ease * std::max(fastRate * meanAim * kMaxOfAim, least * count), most);
}

double Module::heldNow() const {
  double held = 0;
  for (EndpointId id : listed)
    if (counts(hosts[id])) held += hosts[id].inflight;  // one bad host must not lift the pool's cut
  return held;
}

void Module::renewCut() {
  const double thin = 1 - evidence();
  const double load = (smoothHeld / inflightMax() - kInflightThreshold + kThinEarly * thin) /
                      (1 - kInflightThreshold + kThinRange * thin);
  const double x = std::clamp(std::max(load, errorOverload), 0.0, 1.0);
  cut = 100 * x * x * x;
}

void Module::noteArrival() {
  smoothHeld += (heldNow() - smoothHeld) * kHeldGain * std::sqrt(evidence());
  renewCut();
}

void Module::sweepPool() {
  fastRate += fastGain() * (inTime / toSeconds(kSweep) - fastRate);
  ++sweeps;
  askedRate += std::max(kSlowGain, 1 / sweeps) * (asked / toSeconds(kSweep) - askedRate);
  inTime = asked = 0;
  calmHeld *= 1 - kCalmFade;
  if (cut <= 1 && reachable > 0) calmHeld = std::max(calmHeld, smoothHeld / static_cast<double>(reachable));
  fullSeen *= 1 - kFastGain;
  outcomeSeen += kFastGain * (kErrorPrior - outcomeSeen);
  double outcomes = kErrorPrior, errors = 0, sum = 0, seen = 0;
  for (EndpointId id : listed)
    if (counts(hosts[id])) outcomes += hosts[id].outcomes, errors += hosts[id].errors;
  errorOverload = (errors / outcomes - kErrorThreshold) / (kErrorMax - kErrorThreshold);
  for (const ClassState& c : classes)
    if (c.norm > 0) sum += c.norm, seen += 1;
  norm = seen > 0 ? sum / seen : 0;
  // Danger: with few arrivals a past burst would linger.
  smoothHeld += (heldNow() - smoothHeld) * kHeldSweep * evidence() * evidence();
  renewCut();
  const int step = static_cast<int>(cut / 20);
  if (step != loggedCut && mayLog()) {
    loggedCut = step;
    log("cutoff " + std::to_string(static_cast<int>(cut)) + " inflight max " +
        std::to_string(static_cast<int>(inflightMax())) + " error overload " + std::to_string(errorOverload));
  }
}

}  // namespace cairnjunction::policy

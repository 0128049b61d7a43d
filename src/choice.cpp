// The decision module. Interface (types, events, actions): include/ochrehill/ochrehill.hpp.
//
// A request is scored 1 to 100 by worth, refused unsent when it scores below the cutoff, and otherwise sent
// to a random ready host that holds few of our requests, else to the lighter of two draws. The cutoff is
// 100 x^3, where x is the larger of the error overload and the in-flight overload of the pool.
// Read on in this order: constants, host health, score, cutoff, cold start, pick, attempts, turns,
// discovery, timers. Plain state types and pure helpers: state.hpp.
#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <queue>
#include <random>
#include <unordered_map>

#include "ochrehill/ochrehill.hpp"
#include "settings.hpp"
#include "state.hpp"

namespace ochrehill {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// --- Constants, each with its reason ------------------------------------------------------------------

constexpr Duration kSweep = milliseconds(100);  // statistics are renewed this often: a few answer times
constexpr double kFastGain = 0.2;               // per sweep: rates over about half a second
constexpr double kSteadyRate = 80;              // requests a second that make half a second steady enough
constexpr double kSlowGain = 0.008;             // per sweep: the traffic mix is remembered about ten seconds
constexpr double kNormGain = 0.02;  // per answer: a class's usual time, over its last fifty answers
constexpr double kPaceFade = 0.05;  // per sweep without requests: an old pace fades in two seconds at least
constexpr double kPaceGain = 0.1;   // per answer: a host's pace, over its last ten answers

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
constexpr double kErrorPrior = 10;  // attempts assumed good, so that a handful of samples proves nothing

// Danger: hosts accept so many connections, and each gateway of a large bank opening one to every host shuts
// the others out. A gateway keeps to this many hosts, and to this many times its part of the pool.
constexpr double kWidthLeast = 6;
constexpr double kWidthParts = 4;
constexpr std::uint32_t kRound = 16;           // gateways dealt out over the pool at a time
constexpr Duration kIdleClose = seconds(5);    // beyond its own hosts a gateway gives connections back
constexpr Duration kConnectRest = seconds(1);  // none to be had: down or at its cap; doubled as ejections are
constexpr double kCrowded = 1.5;               // times the median held: too much
constexpr double kShareGain = 0.5;             // power of the excess taken off a host's share at each report
constexpr double kShareBack = 1.1;             // and its way back
constexpr double kShareLeast = 0.05;           // a trickle, or it would never be known better
// Danger: with more requests than hosts each holds several, a fixed limit of one counts none as idle, and two
// blind draws decide: some hosts queue while cores of others stand free. So few is what lies under the mean,
// whatever made it uneven: slow answers, a host back from a pause, cancels. It could do harm where a host
// holds little because it fails at once (trust and ejection are to keep that one out), and it means nothing
// where each of many gateways holds less than one a host: there it is one, as before.
constexpr double kFewOfMean = 0.75;
constexpr double kLocalLean = 2;  // own zone in the draw: yields to a host 1.4 times as fast
// Danger: something on the way may drop idle connections unseen, and what is sent on one is lost without a
// word. Losses are counted by how long the connection lay idle, in steps that double from here on;
constexpr Duration kIdleStep = milliseconds(250);
constexpr std::size_t kIdleSteps = 8;
constexpr double kLostGain = 0.2;    // per attempt: over the last five of its step
constexpr double kLostFade = 0.005;  // per sweep: tried again after some twenty seconds
constexpr double kLostStale = 0.3;   // lost so often, and over the share lost on fresh ones, it is given back
constexpr std::size_t kWarmCandidates = 3;  // hosts that share the warmth of one key at least,
constexpr double kFailGain = 0.12;          // per outcome: five failures on end make one half
constexpr double kFailEject = 0.45;         // failure share that ejects,
constexpr double kFailPeers = 2.5;  // if it is also this many times that of the better quarter of the pool
// Danger: a host may fail or swallow one class and serve the others; by the mean of all it looks well.
constexpr double kClassGain = 0.25;   // per outcome of the class at the host: three on end make a half
constexpr double kClassPeers = 0.02;  // per outcome of the class anywhere: what its peers do, over fifty
constexpr double kClassOver = 1.5;    // times what its peers fail is noise in a trouble of all hosts
constexpr double kClassLeast = 0.03;  // of its draws for the class: a trickle tells when it is well again
constexpr double kEjectShare = 0.5;   // of the pool at most, so a pool-wide trouble never empties it
constexpr Duration kEjectFirst = seconds(1);  // doubled each time,
constexpr int kEjectDoublings = 3;            // up to so often
constexpr double kSilentNorms = 4;            // silent: nothing heard for so many times the usual time,
constexpr Duration kSilentLeast = milliseconds(150);  // and at least for this long (short pauses are normal)

constexpr double kProvenDecay = 0.997;  // per sweep: proven rates of a machine kind fade over half a minute
constexpr int kFullRow = 3;             // "full" so often on end: not a short peak, the host rests,
constexpr Duration kFullRest = milliseconds(100);  // a few unloaded answer times

constexpr double kColdPart = 0.45;   // load of a cold host, as a part of the multiple that fells it
constexpr double kCopyNorms = 2.5;   // a second copy after so many usual times
constexpr double kLeftApart = 0.02;  // of the client's total wait: times closer than this are the same
constexpr double kAfterLeast =
    0.1;  // of the longest retry-after: also the highest score stays away for a bit
constexpr double kRetryShare = 0.3;  // resends per new request
constexpr double kRetrySaved = 3;    // resends that may be saved up, beyond those of a second

constexpr Duration kLogEvery = seconds(1);

}  // namespace

struct Balancer::Impl {
  Settings set;
  std::mt19937_64 engine;
  std::vector<Action> out;
  std::vector<Host> hosts;
  std::unordered_map<std::string, HostId> hostIds;
  std::vector<HostId> freeHosts;
  std::vector<HostId> listed;  // phase `in`, in order of address: the same order at every start
  std::vector<HostId> order;   // the same hosts, this gateway's own first
  std::size_t width = 0;       // so many of them are in use while one of them is idle
  std::vector<ClassState> classes;
  std::vector<Kind> kinds;
  std::vector<double> quotaTokens;
  Time quotaAt{};
  std::vector<Open> slots;
  std::vector<std::uint32_t> freeSlots;
  std::unordered_map<RequestId, std::uint32_t> slotOf;
  std::vector<Level> levels;
  Guards guards;
  std::vector<HostId> ready;
  std::unordered_map<std::uint64_t, Turn> turns;
  std::vector<std::uint64_t> turnsDue;  // keys whose turn may have passed on in this event

  Time now{}, started{}, nextSweep{}, armed{};
  double smoothHeld = 0, cut = 0, errorOverload = 0;
  double inTime = 0, fastRate = 0;                        // answers within the aim: since the sweep; a second
  double asked = 0, askedRate = kSteadyRate, sweeps = 0;  // requests: since the sweep; a second
  double fullSeen = 0, outcomeSeen = kErrorPrior;         // decayed counts
  double calmHeld = 0;                                    // in-flight a host while nothing is refused
  double meanAim = 0, meanWork = 0;                       // seconds over the recent arrivals: aim, usual time
  double few = 1;                                         // held by a host of the usual pace: fewer is idle
  double medianPace = 1, medianCrowd = 1, peerFails = 0, norm = 0;
  double retryTokens = kRetrySaved;
  std::array<double, kIdleSteps> idleLost{};  // share of attempts lost, by idle time of the connection
  bool asking = false, answered = false;
  Time askedAt{}, askAgain{};
  int askFailures = 0;
  Time logged{};
  int loggedCut = 0;

  Impl(Settings s, Time t) : set(std::move(s)), engine(set.seed), now(t), started(t), nextSweep(t + kSweep) {
    for (const ClassSettings& c : set.classes) {
      classes.push_back({c});
      meanAim += toSeconds(c.aim) / static_cast<double>(set.classes.size());
    }
    ClassSettings unknown = set.classes.front();  // what nobody described: never repeated, lowest worth
    unknown.name = "unknown";
    unknown.effect = Effect::fragile;
    unknown.worth = 0;
    classes.push_back({unknown});
    quotaTokens.assign(set.tenants.size(), 0);
    quotaAt = t;
  }

  // Own draws: std distributions differ between standard libraries.
  double drawUnit() { return static_cast<double>(engine() >> 11) * 0x1.0p-53; }
  std::size_t drawBelow(std::size_t n) {
    return static_cast<std::size_t>(drawUnit() * static_cast<double>(n));
  }

  void emit(ActionKind kind, RequestId id = 0, std::uint32_t attempt = 0, HostId host = kNone,
            Duration span = {}) {
    out.push_back({kind, id, attempt, host, span, {}});
  }
  void log(std::string text) {
    out.push_back({ActionKind::log, 0, 0, kNone, {}, std::move(text)});
    logged = now;
  }
  bool mayLog() const { return now - logged >= kLogEvery || logged == Time{}; }

  // --- Host health ------------------------------------------------------------------------------------

  void judge(Host& h, const Open& r, const AttemptResult& a) {
    ClassState& c = classes[r.cls];
    const double taken = std::max(toSeconds(a.taken), 1e-6);  // zero would make every ratio meaningless
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
        inTime += weight * (now <= r.aimAt ? 1 : c.set.lateShare);
        break;
      }
      case Outcome::full:  // Danger: a host that stays full, or drains unannounced, holds little and looks
                           // idle.
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
      case Outcome::connectFailed:
        // Danger: open connections outlive the trouble of new ones; left unused they are closed or lost.
        h.dialAfter = now + scaled(kConnectRest * (1 << h.dialFails), 0.5 + drawUnit());
        h.dialFails = std::min(h.dialFails + 1, kEjectDoublings);
        [[fallthrough]];
      case Outcome::reset:
        failed = true;
        h.lines = std::max(h.lines - 1, 0);
        break;
      case Outcome::rejected: h.heard = now; return;  // the request's fault, anywhere
      case Outcome::cancelled:
      case Outcome::moot: return;
    }
    h.outcomes += 1;
    outcomeSeen += 1;
    if (failed) h.errors += 1;
    if (a.outcome != Outcome::full) h.fails += kFailGain * ((failed ? 1.0 : 0.0) - h.fails);
    if (a.outcome != Outcome::connectFailed) {
      const double lost = failed || a.outcome == Outcome::full ? 1 : 0;
      h.classFails[r.cls] += kClassGain * (lost - h.classFails[r.cls]);
      c.fails += kClassPeers * (lost - c.fails);
    }
    if (h.health == Health::trial && a.outcome != Outcome::full) {
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
  void crowded(Host& h, double crowd) {
    h.crowd = crowd;
    const double over = crowd / (kCrowded * medianCrowd);
    h.share = std::clamp(h.share * (over > 1 ? std::pow(over, -kShareGain) : kShareBack), kShareLeast, 1.0);
  }

  void eject(Host& h, const char* why) {
    h.health = Health::ejected;
    h.until = now + scaled(kEjectFirst * (1 << h.ejections), 0.75 + 0.5 * drawUnit());
    h.ejections = std::min(h.ejections + 1, kEjectDoublings);
    if (mayLog()) log("host ejected " + h.entry.address + " (" + why + ")");
  }

  void sweepHosts() {
    std::vector<double> paces, fails, crowds;
    std::size_t away = 0;
    for (HostId id : listed) {
      Host& h = hosts[id];
      // Danger: a pace learned in trouble keeps requests away, and without them it would never change.
      if (h.served <= 0 && h.inflight == 0) h.pace += kPaceFade * evidence() * (kinds[h.kind].pace - h.pace);
      h.outcomes *= 1 - fastGain();
      h.errors *= 1 - fastGain();
      if (h.health == Health::ejected && now >= h.until)
        h.health = Health::trial;  // back by a trickle of real requests
      if (h.health != Health::good) ++away;
      paces.push_back(h.pace);
      fails.push_back(h.fails);
      crowds.push_back(h.crowd);
      // Danger: a paused or lost host gathers requests until they time out.
      while (!h.sent.empty() && !outTry(h.sent.front(), id)) h.sent.pop_front();
      const Duration limit =
          std::max(kSilentLeast, scaled(seconds(1), kSilentNorms * norm * std::max(1.0, h.pace)));
      h.silent = !h.sent.empty() && now - std::max(h.heard, outTry(h.sent.front(), id)->at) > limit;
    }
    // Danger: connections kept to hosts that are no longer our own add up to their caps and shut others out.
    for (std::size_t i = width; i < order.size(); ++i) {
      Host& h = hosts[order[i]];
      if (h.lines == 0 || h.inflight > 0 || now - h.used < kIdleClose) continue;
      h.lines = 0;
      emit(ActionKind::close, 0, 0, order[i]);
    }
    medianPace = quantile(paces, 0.5, 1);
    medianCrowd = quantile(crowds, 0.5, 1);
    peerFails = quantile(fails, 0.25, 0);  // a quarter of the peers well: the others are outliers
    for (HostId id : listed) {  // judged against the peers, so that a pool-wide trouble ejects nobody
      Host& h = hosts[id];
      if (h.health != Health::good ||
          static_cast<double>(away + 1) > kEjectShare * static_cast<double>(listed.size()))
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

  const Try* outTry(std::pair<std::uint32_t, std::uint32_t> ref, HostId host) const {
    const Open& r = slots[ref.first];
    if (!r.live || r.generation != ref.second) return nullptr;
    for (std::uint32_t i = 0; i < r.count; ++i)
      if (r.tries[i].out && r.tries[i].host == host) return &r.tries[i];
    return nullptr;
  }
  static bool sick(const Host& h) { return h.health != Health::good || h.silent; }

  // --- Score ------------------------------------------------------------------------------------------

  // Worth of what the request can still earn, by request or by unit of work as the worth is counted.
  double worthOf(const Open& r, std::uint32_t tenant) {
    const ClassSettings& c = classes[r.cls].set;
    double worth = c.worth;
    if (now >= r.aimAt) worth *= c.lateShare;
    if (tenant < set.tenants.size() && set.tenants[tenant].quotaPerSecond > 0) {
      const double share = set.tenants[tenant].quotaPerSecond / set.groupSize;
      const double passed = toSeconds(now - quotaAt);
      quotaAt = now;
      for (std::size_t i = 0; i < quotaTokens.size(); ++i)
        quotaTokens[i] = std::min(quotaTokens[i] + passed * set.tenants[i].quotaPerSecond / set.groupSize,
                                  set.tenants[i].quotaPerSecond / set.groupSize);
      if (share > 0 && quotaTokens[tenant] >= 1) quotaTokens[tenant] -= 1;
      else worth *= set.overShareWorth;
    }
    return worth;
  }

  // Rank within the recent traffic: a cutoff of c refuses about c per cent. A seeded draw spreads each
  // level over its own band, so equal worth shares the loss and higher worth is never cut first.
  double scoreOf(double worth) {
    std::size_t at = 0;
    while (at < levels.size() && levels[at].worth < worth * 0.999) ++at;
    if (at == levels.size() || levels[at].worth > worth * 1.001 + 1e-12)
      levels.insert(levels.begin() + static_cast<std::ptrdiff_t>(at), Level{worth, 0});
    levels[at].seen += 1;
    double below = 0, all = 0;
    for (std::size_t i = 0; i < levels.size(); ++i) {
      all += levels[i].seen;
      if (i < at) below += levels[i].seen;
    }
    return 1 + 99 * (below + drawUnit() * levels[at].seen) / all;
  }

  // --- Cutoff -----------------------------------------------------------------------------------------

  // Danger: a gateway that sees a trickle learns noise from half a second. Gain per sweep: over half a
  // second, and at least over some twenty requests.
  double fastGain() const { return kFastGain * evidence(); }
  double evidence() const { return std::clamp(askedRate / kSteadyRate, 0.05, 1.0); }

  double inflightMax() const {
    const double count = static_cast<double>(std::max<std::size_t>(listed.size(), 1));
    const double ease = 1 - std::min(kFullEase * fullSeen / outcomeSeen, kFullEaseMost);
    // Before anything was measured (own start in an overload) and after a lull, per-host guesses stand in.
    const double first = kFirstPerHost / set.groupSize, floor = kFloorPerHost / set.groupSize;
    const double least = now - started < 10 * kSweep ? first : std::max(floor, calmHeld);
    return ease * std::max(fastRate * meanAim * kMaxOfAim, least * count);
  }

  double heldNow() const {
    double held = 0;
    for (HostId id : listed)
      if (!sick(hosts[id])) held += hosts[id].inflight;  // one bad host must not lift the pool's cut
    return held;
  }

  void renewCut() {
    const double thin = 1 - evidence();
    const double load = (smoothHeld / inflightMax() - kInflightThreshold + kThinEarly * thin) /
                        (1 - kInflightThreshold + kThinRange * thin);
    const double x = std::clamp(std::max(load, errorOverload), 0.0, 1.0);
    cut = 100 * x * x * x;
  }

  void sweepPool() {
    fastRate += fastGain() * (inTime / toSeconds(kSweep) - fastRate);
    ++sweeps;
    askedRate += std::max(kSlowGain, 1 / sweeps) * (asked / toSeconds(kSweep) - askedRate);
    inTime = asked = 0;
    calmHeld *= 1 - kCalmFade;
    if (cut <= 1 && !listed.empty())
      calmHeld = std::max(calmHeld, smoothHeld / static_cast<double>(listed.size()));
    fullSeen *= 1 - kFastGain;
    outcomeSeen += kFastGain * (kErrorPrior - outcomeSeen);
    double outcomes = kErrorPrior, errors = 0, sum = 0, seen = 0;
    for (HostId id : listed)
      if (!sick(hosts[id])) outcomes += hosts[id].outcomes, errors += hosts[id].errors;
    errorOverload = (errors / outcomes - kErrorThreshold) / (kErrorMax - kErrorThreshold);
    for (const ClassState& c : classes)
      if (c.norm > 0) sum += c.norm, seen += 1;
    norm = seen > 0 ? sum / seen : 0;
    for (double& l : idleLost) l *= 1 - kLostFade;
    for (Level& l : levels) l.seen *= 1 - kSlowGain;
    std::erase_if(turns, [&](const auto& t) { return t.second.queue.empty() && now >= t.second.restUntil; });
    levels.erase(std::remove_if(levels.begin(), levels.end(), [](const Level& l) { return l.seen < 0.01; }),
                 levels.end());
    // Danger: with few arrivals a past burst would linger.
    smoothHeld += (heldNow() - smoothHeld) * kHeldSweep * evidence() * evidence();
    renewCut();
    const int step = static_cast<int>(cut / 20);
    if (step != loggedCut && mayLog()) {
      loggedCut = step;
      log("cutoff " + std::to_string(static_cast<int>(cut)) + " inflight max " +
          std::to_string(static_cast<int>(inflightMax())) + " error overload " +
          std::to_string(errorOverload));
    }
  }

  // --- Cold start -------------------------------------------------------------------------------------

  bool isCold(const Host& h) const {
    return h.entry.upSince > Time{} && now - h.entry.upSince < set.coldTime;
  }
  double warmth(const Host& h) const {
    if (!isCold(h)) return 1;
    return set.coldShare + (1 - set.coldShare) * toSeconds(now - h.entry.upSince) / toSeconds(set.coldTime);
  }

  // Danger: all gateways together push a cold host over. Each keeps to its own part: the cold share of what
  // it has warm hosts of that kind carry, in every window, refused attempts counted. That may be a small part
  // of a request; a floor of one, times hundreds of gateways, would be a flood.
  bool coldMayTake(Host& h) {
    if (!isCold(h)) return true;
    const double window = std::max(toSeconds(set.fallWindow), 0.1);
    // No warm one of its kind seen, e.g. after our own restart: an even share of what we get.
    const double even = askedRate / static_cast<double>(std::max<std::size_t>(width, 1));
    const double proven = kinds[h.kind].proven > 0 ? kinds[h.kind].proven : even;
    const double part = kColdPart * (2 + evidence()) / 3;  // less where it is spent first (see the pick)
    const double rate = proven * warmth(h) * part * set.fallMultiple;
    h.coldTokens =
        std::min(h.coldTokens + rate * toSeconds(now - h.coldAt), std::max(1.0, rate * window / 4));
    h.coldAt = now;
    return h.coldTokens >= 1;
  }

  // What a warm host of each kind has lately carried. Danger: in a deploy of nearly all hosts the last warm
  // ones are buried, and their sinking rates would starve the cold ones that could help; hence a slow decay.
  void sweepKinds() {
    for (Kind& k : kinds) k.served = k.count = 0;
    for (std::size_t i = 0; i < order.size(); ++i) {
      Host& h = hosts[order[i]];
      if (i < width && !isCold(h) && !sick(h)) {  // of the others we ask little
        kinds[h.kind].served += h.served;
        kinds[h.kind].count += 1;
      }
      h.served = 0;
    }
    for (Kind& k : kinds) {
      if (k.count > 0) k.rate += fastGain() * (k.served / k.count / toSeconds(kSweep) - k.rate);
      k.proven = std::max(k.rate, k.proven * kProvenDecay);
    }
  }

  // --- Pick -------------------------------------------------------------------------------------------

  // Part of its draws that a host keeps for a class: less as it fails that class more than its peers do.
  double trust(const Host& h, std::uint32_t cls) const {
    const double well = 1 - std::max(h.classFails[cls] - kClassOver * classes[cls].fails, 0.0);
    return std::max(well * well * well, kClassLeast);
  }
  double load(const Host& h) const { return (h.inflight + 1) * h.pace; }
  bool idle(const Host& h) const {  // holds few of ours; a fast host may hold more
    return h.inflight < few * medianPace / std::max(h.pace, 0.05);
  }

  bool free(const Host& h) const {  // an open connection has room
    const bool closed = set.idleClose > Duration{} && h.inflight == 0 && now - h.used >= set.idleClose;
    return !closed && static_cast<std::uint32_t>(h.inflight) <
                          static_cast<std::uint32_t>(h.lines) * set.streamsPerConnection;
  }
  std::size_t idleStep(const Host& h) const {
    std::size_t step = 0;
    if (!free(h) || h.inflight > 0) return step;
    for (Duration t = kIdleStep; step + 1 < kIdleSteps && now - h.used >= t; t *= 2) ++step;
    return step;
  }
  bool mayDial(const Host& h) const { return now >= h.dialAfter || (free(h) && !stale(idleStep(h))); }
  bool stale(std::size_t step) const { return step > 0 && idleLost[step] > kLostStale + idleLost[0]; }
  void noteIdle(std::size_t step, Outcome o) {  // a longer wait is no safer, a shorter one no worse
    const bool gone = o == Outcome::timeout || o == Outcome::reset;
    if (!gone && o != Outcome::served && o != Outcome::error && o != Outcome::full) return;
    for (std::size_t i = gone ? step : 0; i < (gone && step > 0 ? kIdleSteps : step + 1); ++i)
      idleLost[i] += kLostGain * ((gone ? 1 : 0) - idleLost[i]);
  }

  bool allowed(const Open& r, const Host& h) const {  // the rules on placement and repeats
    const ClassSettings& c = classes[r.cls].set;
    if (!h.open[r.cls]) return false;
    for (std::uint32_t i = 0; i < r.count; ++i) {
      if (!r.tries[i].mayHaveRun || c.effect == Effect::retryable) continue;
      if (c.effect == Effect::fragile) return false;
      const HostEntry& first = hosts[r.tries[i].host].entry;
      if (c.group != Group::all && first.zone != h.entry.zone) return false;
      if (c.group == Group::cell && first.cell != h.entry.cell) return false;
      if (now + 2 * set.step > r.tries[i].at + c.window) return false;
    }
    return true;
  }

  void gather(const Open& r, bool relaxed) {
    ready.clear();
    bool found = false;  // an idle one
    for (HostId id : order) {
      if (found && ready.size() >= width) break;
      Host& h = hosts[id];
      if (!relaxed) {
        if (now < h.restUntil || !mayDial(h) || h.silent || h.health == Health::ejected ||
            (h.health == Health::trial && h.inflight > 0))
          continue;
        bool tried = false;
        for (std::uint32_t i = 0; i < r.count; ++i) tried |= r.tries[i].host == id;
        if (tried) continue;
      }
      if (!allowed(r, h) || !coldMayTake(h)) continue;
      ready.push_back(id);
      found |= idle(h);
    }
  }

  HostId pick(const Open& r) {
    few =
        std::max(kFewOfMean * heldNow() / static_cast<double>(std::max<std::size_t>(listed.size(), 1)), 1.0);
    gather(r, false);
    if (ready.empty()) gather(r, true);  // no healthy host: any that the rules allow beats none
    if (ready.empty()) return kNone;
    // Danger: among a hundred hosts a thin gateway draws the cold one it could send to once in half a minute;
    // it would stay cold. Its budget is small and is spent first.
    for (HostId id : ready)
      if (r.count == 0 && isCold(hosts[id]) && idle(hosts[id]) && drawUnit() > evidence()) return id;
    if (set.warmKeys && r.hasKey) {
      // Warm keys: the first hosts in the key's rendezvous order, the same at all gateways.
      const std::size_t most = std::min(kWarmCandidates, ready.size());
      std::partial_sort(
          ready.begin(), ready.begin() + static_cast<std::ptrdiff_t>(most), ready.end(),
          [&](HostId a, HostId b) { return mix(hosts[a].hash ^ r.key) > mix(hosts[b].hash ^ r.key); });
      ready.resize(most);
      for (std::size_t i = 0; i < most; ++i) {
        const Host& h = hosts[ready[i]];
        if (idle(h) && drawUnit() < h.share) return ready[i];
      }
    }
    // Danger: beside many gateways our own in-flight says little, every host looks idle, and the own zone is
    // overrun; so the draw leans towards hosts that answer fast, and towards the own zone only lightly.
    double sum = 0;
    HostId chosen = kNone;
    for (HostId id : ready) {
      const Host& h = hosts[id];
      if (!idle(h)) continue;
      const double weight =
          (h.local ? kLocalLean : 1) * h.share * trust(h, r.cls) / std::max(h.pace * h.pace, 0.01);
      sum += weight;
      if (drawUnit() * sum < weight) chosen = id;
    }
    if (chosen != kNone) return chosen;
    const HostId a = ready[drawBelow(ready.size())], b = ready[drawBelow(ready.size())];
    return load(hosts[a]) * trust(hosts[b], r.cls) <= load(hosts[b]) * trust(hosts[a], r.cls) ? a : b;
  }

  // --- Attempts ---------------------------------------------------------------------------------------

  Open* find(RequestId id) {
    const auto it = slotOf.find(id);
    return it == slotOf.end() ? nullptr : &slots[it->second];
  }

  void release(Open& r) {
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
  void forgetGone(HostId id) {
    if (hosts[id].entry.phase != Phase::out || hosts[id].named > 0 || hosts[id].entry.address.empty()) return;
    hostIds.erase(hosts[id].entry.address);
    hosts[id] = Host{};
    hosts[id].entry.phase = Phase::out;
    freeHosts.push_back(id);
    emit(ActionKind::forget, 0, 0, id);
  }

  void finish(Open& r) {  // a refusal claims that a retry is harmless, so it needs proof; else an error
    const ClassSettings& c = classes[r.cls].set;
    bool mayHaveRun = false;
    for (std::uint32_t i = 0; i < r.count; ++i) mayHaveRun |= r.tries[i].mayHaveRun;
    const bool harmless = !mayHaveRun || c.effect == Effect::retryable ||
                          (c.effect == Effect::dedup && c.group == Group::all && r.out == 0);
    if (harmless) refuse(r);
    else emit(ActionKind::fail, r.id);
    end(r);
  }

  // Retry-after lengthens as the score falls; jittered, or they would all come due together.
  void refuse(const Open& r) {
    Duration after{};
    if (set.retryAfter)
      after = scaled(set.maxRetryAfter, std::max(1 - r.score / 100, kAfterLeast) * (0.5 + 0.5 * drawUnit()));
    emit(ActionKind::refuse, r.id, 0, kNone, after);
  }

  void end(Open& r) {
    r.ended = true;
    cancelOut(r);
    release(r);
  }

  void cancelOut(Open& r, std::uint32_t except = kNone) {  // work that can no longer earn
    if (!set.cancel) return;
    for (std::uint32_t i = 0; i < r.count; ++i)
      if (r.tries[i].out && !r.tries[i].cancelled && i != except) {
        r.tries[i].cancelled = true;
        emit(ActionKind::cancel, r.id, i);
      }
  }

  // --- Turns ------------------------------------------------------------------------------------------

  bool inTurn(const Open& r) const { return r.hasKey && classes[r.cls].set.inTurn; }
  Duration usualTime(const Open& r) const { return scaled(seconds(1), classes[r.cls].norm * r.cost); }

  // Danger: two requests of one key at a host at once, or out of order. A request stays in its key's queue
  // until it is over and all its attempts are settled; only the first is sent, and after an attempt whose
  // end is not sure the key rests.
  void passTurns() {
    for (std::size_t i = 0; i < turnsDue.size(); ++i) {  // what ends here passes the turn on once more
      const auto it = turns.find(turnsDue[i]);
      if (it == turns.end()) continue;
      Turn& turn = it->second;
      if (turn.queue.empty()) {
        if (now >= turn.restUntil) turns.erase(it);
        continue;
      }
      const std::uint32_t slot = turn.queue.front();
      Open& r = slots[slot];
      if (r.ended || r.count > 0) continue;
      if (now < turn.restUntil) guards.push({turn.restUntil, slot, r.generation, Due::turn});
      else dispatch(r);
    }
    turnsDue.clear();
  }

  // Danger: one that waits for its turn past its use holds up its key and is a late failure in the end.
  bool hopeless(const Open& r, std::size_t ahead) const {
    return now + static_cast<Duration::rep>(ahead + 1) * usualTime(r) >= lastUse(r);
  }

  void enqueue(Open& r, std::uint32_t slot) {
    Turn& turn = turns[r.key];
    const std::size_t ahead = turn.queue.size();
    turn.queue.push_back(slot);
    if (ahead > 0 && hopeless(r, ahead)) return finish(r);
    guards.push({r.deadline - set.step, slot, r.generation, Due::answer});
    guards.push({lastUse(r) - usualTime(r), slot, r.generation, Due::turn});
    turnsDue.push_back(r.key);
  }

  // Latest time at which an answer still earns and still reaches the client.
  Time lastUse(const Open& r) const {
    const Time end = r.deadline - 2 * set.step;
    return classes[r.cls].set.lateShare > 0 ? end : std::min(end, r.aimAt - 2 * set.step);
  }

  bool send(Open& r) {
    const Time last = lastUse(r);
    if (last <= now || r.count >= std::min<std::size_t>(set.maxAttempts, kTries)) return false;
    // Danger: what comes with less time than an answer takes now gains little, takes the place of others and
    // feeds an overload. In calm there is room to try.
    if (cut > 1 && hopeless(r, 0)) return false;
    const HostId id = pick(r);
    if (id == kNone) return false;
    Host& h = hosts[id];
    if (isCold(h)) h.coldTokens -= 1;
    std::size_t age = idleStep(h);
    if (stale(age)) {
      emit(ActionKind::close, 0, 0, id);
      h.lines = 0;
      age = 0;
    }
    r.tries[r.count] = {id, now, true, true, false, !free(h), age};
    h.sent.emplace_back(static_cast<std::uint32_t>(&r - slots.data()), r.generation);
    h.used = now;
    if (!free(h)) ++h.lines;
    ++h.inflight;
    ++h.named;
    ++r.out;
    emit(ActionKind::send, r.id, r.count++, id, last - now);
    return true;
  }

  void onRequest(const Request& q) {
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
    const double cost = toSeconds(q.cost);
    if (cost > 0) c.meanCost = c.meanCost > 0 ? c.meanCost + kNormGain * (cost - c.meanCost) : cost;
    r.cost = cost > 0 ? std::clamp(cost / c.meanCost, 0.2, 5.0) : 1.0;
    r.key = q.key;
    r.hasKey = q.hasKey;
    r.deadline = now + q.left;
    // Clients give single tries the same time, and a later one what is left of their total wait. A try whose
    // time is not the usual one tells how much was spent before; that no longer earns. Danger: by a median,
    // once later tries are the more, first ones look unusual, are refused as late and asked again, and the
    // jam keeps itself up. But the times of first tries lie in one place and what is left of later ones
    // scatters, so the usual time is where most lie. It could do harm where clients give many different
    // times.
    const Duration apart = scaled(c.set.giveUp, kLeftApart);
    const std::size_t place = c.noteLeft(toSeconds(q.left) / std::max(toSeconds(apart), 1e-9));
    if (place == c.usualPlace) c.usualLeft = q.left;
    const bool usual = q.left > c.usualLeft - apart && q.left < c.usualLeft + apart;
    const Duration spent = usual ? Duration{} : std::max(c.set.giveUp - q.left, Duration{});
    r.aimAt = now - spent + c.set.aim + scaled(q.cost, c.set.aimStretch);
    // Where late answers still earn, the time that counts reaches past the aim by that share.
    const Duration late = scaled(std::min(c.usualLeft - c.set.aim, c.set.aim), c.set.lateShare);
    meanAim += kNormGain * (toSeconds(c.set.aim + late) - meanAim);
    if (c.norm > 0) meanWork += (meanWork > 0 ? kNormGain : 1.0) * (c.norm * r.cost - meanWork);
    asked += 1;
    retryTokens = std::min(retryTokens + kRetryShare, kRetrySaved + kRetryShare * askedRate);
    const double score = r.score = scoreOf(worthOf(r, q.tenantIndex));
    smoothHeld += (heldNow() - smoothHeld) * kHeldGain * std::sqrt(evidence());
    renewCut();
    if (score < cut) {
      refuse(r);
      end(r);
    } else if (inTurn(r)) {
      enqueue(r, slot);
    } else {
      guards.push({r.deadline - set.step, slot, generation, Due::answer});
      dispatch(r);
    }
  }

  void dispatch(Open& r) {  // its first attempt
    const ClassState& c = classes[r.cls];
    const auto slot = static_cast<std::uint32_t>(&r - slots.data());
    if (!send(r)) finish(r);
    else if (set.parallelTries && c.set.effect != Effect::fragile && c.norm > 0)
      guards.push({now + scaled(usualTime(r), kCopyNorms), slot, r.generation, Due::copy});
  }

  void onResult(const AttemptResult& a) {
    Open* found = find(a.request);
    if (!found || a.attempt >= found->count || !found->tries[a.attempt].out) return;
    Open& r = *found;
    Try& t = r.tries[a.attempt];
    Host& h = hosts[t.host];
    t.out = false;
    --r.out;
    --h.inflight;
    if (a.outcome == Outcome::full || a.outcome == Outcome::connectFailed || a.outcome == Outcome::moot)
      t.mayHaveRun = false;
    judge(h, r, a);
    h.used = now;
    if (t.dialled && a.outcome == Outcome::served) h.dialFails = 0;
    noteIdle(t.age, a.outcome);
    const bool unsure =
        a.outcome == Outcome::timeout || a.outcome == Outcome::reset || a.outcome == Outcome::cancelled;
    if (unsure && inTurn(r)) turns[r.key].restUntil = now + set.keyRest;
    if (a.terminal && !r.ended) {
      r.ended = true;
      cancelOut(r);
    }
    if (r.ended) return release(r);
    if (r.bound || r.out > 0) return;
    if (a.outcome == Outcome::rejected) {
      emit(ActionKind::fail, r.id);
      return end(r);
    }
    const bool again = lastUse(r) > now && retryTokens >= 1 && a.outcome != Outcome::moot;
    if (again && send(r)) retryTokens -= 1;
    else finish(r);
  }

  void onAnswerStarted(RequestId id, std::uint32_t attempt) {
    Open* r = find(id);
    if (!r || r->ended || attempt >= r->count) return;
    r->bound = true;
    cancelOut(*r, attempt);
  }

  void onClientGone(RequestId id) {
    Open* r = find(id);
    if (r && !r->ended) end(*r);
  }

  // --- Discovery --------------------------------------------------------------------------------------

  void onHosts(ListKind kind, const std::vector<HostEntry>& entries) {
    if (kind == ListKind::unavailable) {
      askFailures = std::min(askFailures + 1, 4);
      asking = false;
      Duration wait = milliseconds(500) * (1 << askFailures);
      // Danger: a limit set after the jitter makes all gateways come back in one moment.
      if (set.askWithin > Duration{}) wait = std::min(wait, set.askWithin / 5);
      askAgain = now + scaled(wait, 0.5 + drawUnit());
      return;
    }
    if (kind == ListKind::restored) {
      if (set.askDiscovery) askAgain = now;  // it may be stale: ask at once
    } else {
      askFailures = 0;
      answered = true;
    }
    if (kind != ListKind::update)
      for (Host& h : hosts) h.entry.phase = Phase::out;  // what a whole list leaves out is gone
    for (const HostEntry& e : entries) {
      const auto next = freeHosts.empty() ? static_cast<HostId>(hosts.size()) : freeHosts.back();
      auto [it, fresh] = hostIds.emplace(e.address, next);
      if (fresh) {
        if (freeHosts.empty()) hosts.emplace_back();
        else freeHosts.pop_back();
        hosts[next].hash = hashText(e.address);
      }
      Host& h = hosts[it->second];
      const bool restarted = fresh || e.upSince != h.entry.upSince;
      h.entry = e;
      h.local = e.zone == set.zone;
      h.open.clear();
      for (const ClassState& c : classes)
        h.open.push_back(names(c.set.zones, e.zone) && names(c.set.kinds, e.kind));
      h.kind = 0;
      while (h.kind < kinds.size() && kinds[h.kind].name != e.kind) ++h.kind;
      if (h.kind == kinds.size()) kinds.push_back({e.kind});
      kinds[h.kind].weight = std::max(kinds[h.kind].weight, e.weight);
      if (set.liveWeights && kind != ListKind::restored)
        crowded(h, kinds[h.kind].weight / std::max(e.weight, 0.001));
      if (restarted) {  // a new process: what was learned of the old one is void
        h.health = Health::good;
        h.ejections = 0;
        h.fails = 0;
        h.classFails.assign(classes.size(), 0);
        h.fulls = 0;
        h.silent = false;
        h.lines = h.dialFails = 0;
        h.share = h.crowd = 1;
        h.pace = kinds[h.kind].pace / std::sqrt(warmth(h));
        // Danger: a first request from every one of many gateways at once is a burst; a drawn phase spreads
        // them.
        h.coldTokens = drawUnit();
        h.coldAt = now;
      }
    }
    listed.clear();
    for (HostId id = 0; id < hosts.size(); ++id)
      if (hosts[id].entry.phase == Phase::in) listed.push_back(id);
    std::sort(listed.begin(), listed.end(),
              [&](HostId a, HostId b) { return hosts[a].entry.address < hosts[b].entry.address; });
    reorder();
    for (HostId id = 0; id < hosts.size(); ++id) forgetGone(id);
  }

  // Own hosts first. Hosts lie on a ring, in an order of its own for every round of gateways, and the
  // gateways of a round start evenly around it: hosts that come or go move only their neighbours. Keys are
  // kept warm by all.
  void reorder() {
    const double count = static_cast<double>(listed.size());
    const double own = set.warmKeys ? count : kWidthLeast + kWidthParts * count / set.groupSize;
    width = static_cast<std::size_t>(std::min(count, own));
    const std::uint64_t salt = mix(set.number / kRound);
    const std::uint64_t start = set.number % kRound * (UINT64_MAX / kRound);
    const auto after = [&](HostId id) { return mix(hosts[id].hash ^ salt) - start; };
    order = listed;
    std::sort(order.begin(), order.end(), [&](HostId a, HostId b) { return after(a) < after(b); });
  }

  void ask() {
    // Danger: a call whose answer is lost would leave the gateway silent towards discovery for good.
    const bool lost = !answered && set.askWithin > Duration{} && now - askedAt > set.askWithin / 2;
    if (!set.askDiscovery || (asking && !lost) || now < askAgain) return;
    emit(ActionKind::subscribe);
    asking = true;  // until it fails
    answered = false;
    askedAt = now;
  }

  // --- Timers -----------------------------------------------------------------------------------------

  void onWake() {
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
      sweepHosts();
      sweepKinds();
      sweepPool();
    }
  }

  void arm() {
    const auto over = [&](const Guard& g) {
      const Open& r = slots[g.slot];
      return !r.live || r.generation != g.generation || r.ended;
    };
    while (!guards.empty() && over(guards.top())) guards.pop();
    // Danger: requests end long before their deadlines, and their guards would be kept until then.
    if (guards.size() > guards.most) guards.drop(over);
    Time want = guards.empty() ? nextSweep : std::min(nextSweep, guards.top().at);
    want = std::max(want, now + Duration(1));
    if (armed > now && armed <= want) return;
    armed = want;
    emit(ActionKind::wake, 0, 0, kNone, want);
  }

  template <class Handler>
  void event(Time at, Handler handler) {
    now = at;
    handler();
    passTurns();
    ask();
    arm();
  }
};

Balancer::Balancer(Settings settings, Time now) {
  validate(settings);
  impl_ = std::make_unique<Impl>(std::move(settings), now);
}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::onHosts(Time now, ListKind kind, const std::vector<HostEntry>& entries) {
  impl_->event(now, [&] { impl_->onHosts(kind, entries); });
}
void Balancer::onRequest(Time now, const Request& request) {
  impl_->event(now, [&] { impl_->onRequest(request); });
}
void Balancer::onAnswerStarted(Time now, RequestId request, std::uint32_t attempt) {
  impl_->event(now, [&] { impl_->onAnswerStarted(request, attempt); });
}
void Balancer::onResult(Time now, const AttemptResult& result) {
  impl_->event(now, [&] { impl_->onResult(result); });
}
void Balancer::onClientGone(Time now, RequestId request) {
  impl_->event(now, [&] { impl_->onClientGone(request); });
}
void Balancer::onWake(Time now) {
  impl_->event(now, [&] { impl_->onWake(); });
}
std::vector<Action>& Balancer::actions() { return impl_->out; }
HostId Balancer::findHost(std::string_view address) const {
  const auto it = impl_->hostIds.find(std::string(address));
  return it == impl_->hostIds.end() ? kNone : it->second;
}
const std::string& Balancer::address(HostId host) const { return impl_->hosts.at(host).entry.address; }
double Balancer::cutoff() const { return impl_->cut; }
std::size_t Balancer::openRequests() const { return impl_->slotOf.size(); }

}  // namespace ochrehill

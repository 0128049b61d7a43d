// The decision module's state and its parts. One struct, since all parts look at the same hosts and requests;
// what each part does stands in the file of its name: score, cutoff, pick, attempts, turns, health,
// connections, cold_start, hosts, timers.
#pragma once

#include <array>
#include <deque>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "policy/state.hpp"

namespace cairnjunction::policy {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kSweep = milliseconds(100);  // statistics are renewed this often: a few answer times
constexpr double kFastGain = 0.2;               // per sweep: rates over about half a second
constexpr double kSteadyRate = 80;              // requests a second that make half a second steady enough
constexpr double kSlowGain = 0.008;             // per sweep: the traffic mix is remembered about ten seconds
constexpr double kNormGain = 0.02;  // per answer: a class's usual time, over its last fifty answers
constexpr double kErrorPrior = 10;  // attempts assumed good, so that a handful of samples proves nothing
constexpr std::size_t kIdleSteps = 8;
constexpr double kRetrySaved = 3;  // resends that may be saved up, beyond those of a second
constexpr Duration kLogEvery = seconds(1);

struct Module {
  Settings set;
  std::mt19937_64 engine;
  std::vector<Action> out;
  std::vector<Host> hosts;
  std::unordered_map<std::string, EndpointId> hostIds;
  std::vector<EndpointId> freeHosts;
  std::vector<EndpointId> listed;  // phase `in`, in order of address: the same order at every start
  std::vector<EndpointId> order;   // the same hosts, this gateway's own first
  std::size_t width = 0;           // so many of them are in use while one of them is idle
  std::size_t reachable = 0;       // of the listed
  std::vector<ClassState> classes;
  std::vector<Kind> kinds;
  std::vector<double> quotaTokens;
  Timestamp quotaAt{};
  std::vector<Open> slots;
  std::vector<std::uint32_t> freeSlots;
  std::unordered_map<RequestId, std::uint32_t> slotOf;
  std::vector<Level> levels;
  Guards guards;
  std::vector<EndpointId> ready;
  std::unordered_map<std::uint64_t, Turn> turns;
  std::vector<std::uint64_t> turnsDue;  // keys whose turn may have passed on in this event

  Timestamp now{}, started{}, nextSweep{}, armed{};
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
  Timestamp askedAt{}, askAgain{};
  Timestamp dialAfter{};  // no descriptor was left to us: no new connection is opened before
  int askFailures = 0;
  Timestamp logged{};
  int loggedCut = 0;

  Module(Settings s, Timestamp t);
  void configure(Settings next);  // src/policy/reconfigure.cpp

  // --- timers
  void onWake();
  void arm();
  template <class Handler>
  void event(Timestamp at, Handler handler) {
    now = at;
    handler();
    passTurns();
    ask();
    arm();
  }
  // Own draws: std distributions differ between standard libraries.
  double drawUnit() { return static_cast<double>(engine() >> 11) * 0x1.0p-53; }
  std::size_t drawBelow(std::size_t n) {
    return static_cast<std::size_t>(drawUnit() * static_cast<double>(n));
  }
  Action& emit(ActionKind kind, RequestId id = 0, std::uint32_t attempt = 0, EndpointId host = kNone) {
    Action& action = out.emplace_back();
    action.kind = kind;
    action.request = id;
    action.attempt = attempt;
    action.endpoint = host;
    return action;
  }
  void log(std::string text) {
    emit(ActionKind::log).text = std::move(text);
    logged = now;
  }
  bool mayLog() const { return now - logged >= kLogEvery || logged == Timestamp{}; }

  // --- score
  double worthOf(const Open& r, std::uint32_t tenant);
  double scoreOf(double worth);
  void sweepScores();

  // --- cutoff
  // Danger: a gateway that sees a trickle learns noise from half a second. Gain per sweep: over half a
  // second, and at least over some twenty requests.
  double fastGain() const { return kFastGain * evidence(); }
  double evidence() const { return std::clamp(askedRate / kSteadyRate, 0.05, 1.0); }
  double inflightMax() const;
  double heldNow() const;
  void renewCut();
  void noteArrival();
  void sweepPool();

  // --- health
  void judge(Host& h, const Open& r, const AttemptResult& a);
  bool blameless(Host& h, const AttemptResult& a);
  void restDials(Host& h);
  void crowded(Host& h, double crowd);
  void eject(Host& h, const char* why);
  void sweepHosts();
  const Try* outTry(std::pair<std::uint32_t, std::uint32_t> ref, EndpointId host) const;
  static bool sick(const Host& h) { return h.health != Health::good || h.silent; }
  static bool counts(const Host& h) {
    return !sick(h) && h.reach == Reachability::reachable;
  }  // for the pool's load

  // --- cold_start
  static Timestamp startOf(const Host& h) { return std::max(h.entry.startedAt, h.startedAfter); }
  bool isCold(const Host& h) const {
    return startOf(h) > Timestamp{} && now - startOf(h) < set.slowStartDuration;
  }
  double warmth(const Host& h) const;
  bool coldMayTake(Host& h);
  void sweepKinds();

  // --- connections
  bool free(const Host& h) const;
  std::size_t idleStep(const Host& h) const;
  bool stale(std::size_t step) const;
  bool mayDial(const Host& h) const;
  void noteIdle(std::size_t step, Outcome o);
  void sweepConnections();

  // --- pick
  double trust(const Host& h, std::uint32_t cls) const;
  bool holdsItsMost(const Host& h) const { return h.inflight >= h.entry.maxInFlight; }
  double load(const Host& h) const { return (h.inflight + 1) * h.pace; }
  bool idle(const Host& h) const {  // holds few of ours; a fast host may hold more
    return h.inflight < few * medianPace / std::max(h.pace, 0.05);
  }
  bool allowed(const Open& r, const Host& h) const;
  void gather(const Open& r, bool relaxed);
  EndpointId pick(const Open& r);

  // --- attempts
  void onRequest(const Request& q);
  void dispatch(Open& r);
  bool send(Open& r);
  Timestamp lastUse(const Open& r) const;
  void onResult(const AttemptResult& a);
  void onAnswerStarted(RequestId id, std::uint32_t attempt);
  void onClientGone(RequestId id);
  void finish(Open& r);
  void refuse(const Open& r);
  void end(Open& r);
  void cancelOut(Open& r, std::uint32_t except = kNone);
  void release(Open& r);
  void forgetGone(EndpointId id);
  Open* find(RequestId id) {
    const auto it = slotOf.find(id);
    return it == slotOf.end() ? nullptr : &slots[it->second];
  }

  // --- turns
  bool inTurn(const Open& r) const { return r.hasKey && classes[r.cls].set.serializedByKey; }
  Duration usualTime(const Open& r) const { return scaled(seconds(1), classes[r.cls].norm * r.cost); }
  void passTurns();
  bool hopeless(const Open& r, std::size_t ahead) const;
  void enqueue(Open& r, std::uint32_t slot);
  void sweepTurns();

  // --- hosts
  void onHosts(EndpointListKind kind, const std::vector<EndpointInfo>& entries);
  void reorder();
  void ask();
  void countReachable();
  void onReach(EndpointId id, Reachability reach, Timestamp startedAfter);
  void renew(Host& h);
  void onConnections(EndpointId id, std::uint32_t open);
};

}  // namespace cairnjunction::policy

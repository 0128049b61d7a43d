// Golden test of the LoadBalancer: its actions over thousands of random events, compared with those in
// recorded.txt. A change that only moves code must leave them as they are; so must a new field of the
// interface, since nothing here sets one. After an intended change, `policy_recorded_test --record FILE`
// writes the file again.
//
// Of a log action only its kind counts, not its text. Besides the actions, a second digest covers the results
// of the queries after every event. Each scenario names the counts that show that it exercises what it is
// for, and a test compares them with a minimum.
//
// The names of scenarios and counts are part of recorded.txt and stay as they are. Where they differ from the
// current terms: "refused" counts rejected requests; "hosts" are endpoints; "cold": in slow start; "moot":
// outcome notSent; "faults": failure reasons; "carriers": connection uses; "told": reported; "reach":
// reachability; "at their most": at their limit; "cutting": with a cutoff above zero; "waits": requests that
// were queued; "turns": serialized by key; "copies": hedges; "retryable": safe.
//
// Load reports: the load balancer computes a power of -1/2 of (largest weight of the machine kind / reported
// weight) / 1.5. The weights reported here make the base 4 or 16, so the result is an exact power of two on
// every machine.
#include <gtest/gtest.h>

#include <fstream>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "driver.hpp"

namespace cairnjunction::policy::testing {
namespace {

constexpr int kEventsPerScenario = 6000;
// A scenario exercises what it is for if that occurs in one event of a hundred.
constexpr std::size_t kMinRequiredCount = kEventsPerScenario / 100;

std::string recordedPath;  // of recorded.txt; set by run()

struct Scenario {
  std::string name;
  Settings settings;
  int endpointCount = 10;
  double failureRate = 0.05;       // fraction of the attempts
  int meanEventIntervalUs = 3000;  // between events

  // Probabilities per event of events beside the usual traffic. For 0 no random number is drawn.
  double drainChance = 0;         // an endpoint starts to drain, or becomes active again
  double replaceChance = 0;       // an endpoint is removed and a new one added
  double restartChance = 0;       // an endpoint has a new process
  double reloadChance = 0;        // configure() with changed settings
  double reachabilityChance = 0;  // onReachability() for an endpoint
  double loadChance = 0;          // a load report changes an endpoint's weight

  double slowFraction = 0;  // of the attempts: no answer before slowDuration
  Duration slowDuration{};
  bool reportsFailureReasons = false;    // results have a FailureReason and a ConnectionUse; some are notSent
  bool reportsConnectionCounts = false;  // every change is reported by onConnections()
  bool limitsEndpoints = false;          // EndpointInfo::maxInFlight is 1 or 2
  bool limitsAttempts = false;           // Request::maxAttempts is 1 to 3
  bool endpointsChange = true;           // the usual events include draining, restarts and replacements
  // An attempt whose response has started ends its request, whatever its outcome.
  bool startedResponseEndsRequest = false;

  std::vector<std::string> requiredCounts{};  // names of the counts that must reach kMinRequiredCount
};

// Adds the scenario twice, with the seeds `seed` and `seed` + 1000.
void addWithTwoSeeds(std::vector<Scenario>& all, const Scenario& scenario, std::uint64_t seed) {
  for (const std::uint64_t eachSeed : {seed, seed + 1000}) {
    all.push_back(scenario);
    all.back().settings.seed = eachSeed;
    all.back().name += ", seed " + std::to_string(eachSeed);
  }
}

// A class for each idempotency and dedup scope, with different dedup windows and placements.
std::vector<ClassSettings> classesOfEveryKind() {
  std::vector<ClassSettings> classes;
  for (const Idempotency idempotency : {Idempotency::safe, Idempotency::keyed, Idempotency::unsafe})
    for (const DedupScope dedupScope : {DedupScope::all, DedupScope::zone, DedupScope::cell}) {
      const std::size_t number = classes.size();
      ClassSettings classSettings = makeClass("class-" + std::to_string(number), idempotency,
                                              1 + static_cast<double>(number), dedupScope);
      classSettings.dedupWindow = milliseconds(200 + 200 * static_cast<int>(number % 4));
      if (number % 4 == 1) classSettings.allowedZones = {"east"};
      if (number % 4 == 2) classSettings.allowedMachineKinds = {"std"};
      if (number == 7)
        classSettings.allowedZones = {"west", "east"}, classSettings.allowedMachineKinds = {"big"};
      classes.push_back(classSettings);
    }
  classes.push_back(makeClass("nowhere", Idempotency::safe, 2));
  classes.back().allowedMachineKinds.emplace();  // an empty list allows none
  return classes;
}

void addEndpointScenarios(std::vector<Scenario>& all, const Settings& plain) {
  Scenario serialized{"turns while hosts move", plain, 8, 0.1, 5000};
  for (ClassSettings& classSettings : serialized.settings.classes) classSettings.serializedByKey = true;
  serialized.settings.keyCooldown = milliseconds(100);
  serialized.drainChance = 0.05;
  serialized.replaceChance = 0.03;
  serialized.requiredCounts = {"waits", "drains", "replacements", "forgets"};
  addWithTwoSeeds(all, serialized, 37);

  Scenario slowStart{"cold starts", plain, 10, 0.05, 3000};
  slowStart.settings.slowStartDuration = seconds(5);
  slowStart.settings.slowStartInitialFraction = 0.1;
  slowStart.settings.collapseLoadFactor = 2;
  slowStart.settings.collapseWindow = seconds(1);
  slowStart.restartChance = 0.03;
  slowStart.requiredCounts = {"restarts", "sends to cold hosts"};
  addWithTwoSeeds(all, slowStart, 53);

  Scenario reachability{"reach and exact connections", plain, 10, 0.05, 3000};
  reachability.settings.idleTimeout = milliseconds(300);
  reachability.reachabilityChance = 0.08;
  reachability.reportsConnectionCounts = true;
  reachability.requiredCounts = {"reach closed", "reach probe", "reach open",
                                 "starts seen",  "probes sent", "connection counts told"};
  addWithTwoSeeds(all, reachability, 43);

  Scenario idle{"idle connections", plain, 40, 0.1, 30000};
  idle.settings.gatewayCount =
      24;  // so some endpoints are not in its subset; their connections are closed when idle
  idle.settings.gatewayIndex = 5;
  idle.reportsConnectionCounts = true;
  idle.requiredCounts = {"closes", "connection counts told"};
  addWithTwoSeeds(all, idle, 79);

  Scenario load{"live load", plain, 12, 0.05, 3000};
  load.settings.loadReports = true;
  load.endpointsChange = false;  // keeps the median endpoint without load, see the top of this file
  load.restartChance = 0.01;
  load.replaceChance = 0.01;
  load.loadChance = 0.1;
  load.requiredCounts = {"load told"};
  addWithTwoSeeds(all, load, 61);
}

void addAttemptScenarios(std::vector<Scenario>& all, const Settings& plain) {
  Scenario hedged{"hedging and cancel", plain, 12, 0.02, 4000};
  hedged.settings.hedging = true;
  hedged.slowFraction = 0.1;
  hedged.slowDuration = milliseconds(300);
  hedged.requiredCounts = {"hedges", "cancels"};
  addWithTwoSeeds(all, hedged, 29);

  Scenario affinity{"warm keys alone", plain, 12, 0.05, 3000};
  affinity.settings.keyAffinity = true;
  affinity.requiredCounts = {"key returns"};
  addWithTwoSeeds(all, affinity, 31);

  Scenario failures{"faults and carriers", plain, 10, 0.3, 4000};
  failures.reportsFailureReasons = true;
  failures.requiredCounts = {"faults told", "carriers told", "moot", "retries"};
  addWithTwoSeeds(all, failures, 47);

  Scenario limits{"bounds", plain, 6, 0.2, 3000};
  limits.settings.maxInFlight = 8;
  limits.limitsEndpoints = true;
  limits.limitsAttempts = true;
  limits.requiredCounts = {"hosts at their most", "requests at their most", "refused",
                           "events while cutting"};
  addWithTwoSeeds(all, limits, 59);
}

void addClassAndTenantScenarios(std::vector<Scenario>& all, const Settings& plain) {
  Scenario everyClass{"every class", plain, 12, 0.4, 4000};
  everyClass.settings.classes = classesOfEveryKind();
  everyClass.requiredCounts = {"retries",
                               "retries of retryable",
                               "retries of dedup, zone",
                               "retries of dedup, cell",
                               "retries of dedup, all",
                               "refused",
                               "failed"};
  addWithTwoSeeds(all, everyClass, 67);

  Scenario late{"late answers", plain, 4, 0.03, 1200};
  late.settings.classes[0].lateValueFraction = 0.25;
  late.settings.classes[0].objectiveCostFactor = 2;
  late.settings.classes[1].lateValueFraction = 0.75;
  late.settings.classes[2].objectiveCostFactor = 0.5;
  late.slowFraction = 0.1;
  late.slowDuration = milliseconds(450);  // past the latency objective
  late.requiredCounts = {"late answers", "events while cutting"};
  addWithTwoSeeds(all, late, 71);

  Scenario quota{"tenants over quota", plain, 8, 0.05, 700};
  quota.settings.tenants = {{"mill", 5}, {"yard", 100}, {"free", 0}};
  quota.slowFraction = 0.2;  // so that enough is in flight for a cutoff
  quota.slowDuration = milliseconds(200);
  quota.settings.overQuotaWeightFactor = 0.3;
  quota.settings.retryAfterAllowed = true;
  quota.settings.maxRetryAfter = seconds(1);
  quota.requiredCounts = {"refused", "events while cutting", "requests over quota"};
  addWithTwoSeeds(all, quota, 73);

  Scenario reload{"reloads", plain, 10, 0.1, 4000};
  for (ClassSettings& classSettings : classesOfEveryKind()) reload.settings.classes.push_back(classSettings);
  reload.settings.tenants = {{"mill", 20}, {"yard", 0}};
  reload.startedResponseEndsRequest = true;
  reload.reloadChance = 0.2;
  reload.requiredCounts = {"reloads",
                           "classes swapped",
                           "classes added",
                           "classes removed",
                           "classes changed",
                           "tenants changed",
                           "reloads while requests are open"};
  addWithTwoSeeds(all, reload, 41);
}

std::vector<Scenario> scenarios() {
  std::vector<Scenario> all;
  Settings plain = makeSettings();
  plain.pollDiscovery = true;
  plain.maxPollInterval = seconds(5);
  all.push_back({"plain", plain});
  Settings oneOfMany = plain;
  oneOfMany.seed = 11;
  oneOfMany.gatewayCount = 24;
  oneOfMany.gatewayIndex = 17;
  oneOfMany.retryAfterAllowed = true;
  oneOfMany.maxRetryAfter = seconds(2);
  oneOfMany.idleTimeout = seconds(3);
  all.push_back({"one of many", oneOfMany, 40, 0.1, 2000});
  Settings serialized = plain;
  serialized.seed = 13;
  for (ClassSettings& classSettings : serialized.classes) classSettings.serializedByKey = true;
  serialized.keyCooldown = milliseconds(200);
  serialized.tenants = {{"mill", 20}, {"yard", 0}};
  all.push_back({"turns and tenants", serialized, 6, 0.1, 6000});
  Settings hedged = plain;
  hedged.seed = 17;
  hedged.hedging = true;
  hedged.keyAffinity = true;
  hedged.streamsPerConnection = 4;
  all.push_back({"copies and warm keys", hedged, 12, 0.02, 4000});
  Settings failing = plain;
  failing.seed = 19;
  failing.idleTimeout = seconds(1);
  all.push_back({"half of it fails", failing, 8, 0.5, 3000});
  Settings crowded = plain;
  crowded.seed = 23;
  for (ClassSettings& classSettings : crowded.classes)
    classSettings.lateValueFraction = 0.5, classSettings.objectiveCostFactor = 0.5;
  all.push_back({"crowded", crowded, 3, 0.03, 700});
  for (const std::uint64_t seed : {101, 102, 103, 104, 105}) {
    all.push_back({"plain, seed " + std::to_string(seed), plain});
    all.back().settings.seed = seed;
  }
  addAttemptScenarios(all, plain);
  addEndpointScenarios(all, plain);
  addClassAndTenantScenarios(all, plain);
  return all;
}

// A 64-bit FNV-1a hash over all fields of actions but the text of log actions.
class Digest {
 public:
  void add(const void* data, std::size_t size) {
    for (std::size_t i = 0; i < size; ++i)
      value_ = (value_ ^ static_cast<const unsigned char*>(data)[i]) * 0x100000001b3ULL;
  }
  template <class Number>
  void number(Number n) {
    const auto wide = static_cast<std::int64_t>(n);
    add(&wide, sizeof wide);
  }
  void add(const Action& action) {
    number(action.kind);
    number(action.request);
    number(action.attempt);
    number(action.endpoint);
    number((action.timeLimit + action.retryAfter + action.wakeAt.time_since_epoch()).count());
  }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

struct InFlightAttempt {
  RequestId request;
  std::uint32_t attempt;
  EndpointId endpoint;
  Timestamp sentAt;
  Duration timeLimit;
  Timestamp notBefore;  // a slow attempt has no result before this, unless it times out or is cancelled
};

// Plays a scenario: draws events for a load balancer at random, carries out its actions and counts them.
// Endpoints are added, restarted, drained and removed; attempts have any outcome.
class ScenarioRun {
 public:
  explicit ScenarioRun(const Scenario& scenario)
      : scenario_(scenario),
        settings_(scenario.settings),
        engine_(scenario.settings.seed * 101),
        balancer_(scenario.settings, now_) {
    for (int i = 0; i < scenario.endpointCount; ++i) addEndpoint();
    reportEndpoints(EndpointListKind::restored, endpoints_);
  }

  // Plays all events. Returns the line for recorded.txt: the scenario with its counts and digests.
  std::string run() {
    for (int i = 0; i < kEventsPerScenario; ++i) step();
    std::ostringstream text;
    text << scenario_.name << ": sends " << count("sends") << ", refused " << count("refused") << ", failed "
         << count("failed");
    for (const std::string name : {"hedges", "closes", "cancels", "forgets"})
      text << ", " << name << " " << count(name);
    for (const std::string& name : scenario_.requiredCounts)
      if (!isAlwaysPrinted(name)) text << ", " << name << " " << count(name);
    text << ", digest " << std::hex << actionDigest_.value() << ", queries " << queryDigest_.value();
    return text.str();
  }

  // How often the event of this name has occurred.
  std::size_t count(const std::string& name) const {
    const auto it = counts_.find(name);
    return it == counts_.end() ? 0 : it->second;
  }

 private:
  using AttemptKey = std::pair<RequestId, std::uint32_t>;

  static bool isAlwaysPrinted(const std::string& name) {
    return std::set<std::string>{"sends", "refused", "failed", "hedges", "closes", "cancels", "forgets"}
               .count(name) > 0;
  }

  // These draw without std distributions, which differ between standard libraries.
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(engine_() % n); }
  bool draw(double probability) { return static_cast<double>(engine_() >> 11) * 0x1.0p-53 < probability; }
  // Draws no random number for a probability of 0.
  bool drawIfPossible(double probability) { return probability > 0 && draw(probability); }

  void addEndpoint() {
    EndpointInfo info = makeHost(nextEndpointNumber_, nextEndpointNumber_ % 3 == 0 ? "west" : "east",
                                 nextEndpointNumber_ % 2);
    info.machineKind = nextEndpointNumber_ % 4 == 0 ? "big" : "std";
    info.weight = nextEndpointNumber_ % 4 == 0 ? 2 : 1;
    if (scenario_.loadChance > 0) info.weight = kUnloadedWeight;
    if (scenario_.limitsEndpoints) info.maxInFlight = 1 + nextEndpointNumber_ % 2;
    info.startedAt = draw(0.3) ? now_ - seconds(below(15)) : Timestamp{};
    ++nextEndpointNumber_;
    endpoints_.push_back(info);
  }

  void step() {
    now_ += std::chrono::microseconds(1 + below(static_cast<std::size_t>(2 * scenario_.meanEventIntervalUs)));
    if (wakeAt_ > Timestamp{} && wakeAt_ <= now_) {
      wakeAt_ = Timestamp{};
      balancer_.onWake(now_);
      collectActions();
    }
    currentRequest_ = 0;
    const std::size_t eventKind = below(1000);
    if (eventKind < 480 || inFlight_.empty()) request();
    else if (eventKind < 970) endAttempt();
    else if (eventKind < 980 && lastRequest_ > 0) disconnectClient();
    else if (eventKind < 983) startResponse();
    else if (eventKind < 997) {
      if (scenario_.endpointsChange) changeEndpoint();
    } else if (eventKind < 999) balancer_.onEndpoints(now_, EndpointListKind::unavailable, {});
    else reportEndpoints(EndpointListKind::replace, endpoints_);
    collectActions();
    drawScenarioEvents();
  }

  // Draws the events that a scenario has beside the usual traffic.
  void drawScenarioEvents() {
    if (drawIfPossible(scenario_.drainChance)) toggleDraining(), collectActions();
    if (drawIfPossible(scenario_.replaceChance))
      replaceEndpoint(endpoints_[below(endpoints_.size())]), collectActions();
    if (drawIfPossible(scenario_.restartChance)) restartEndpoint(), collectActions();
    if (drawIfPossible(scenario_.reloadChance)) reload(), collectActions();
    if (drawIfPossible(scenario_.reachabilityChance)) changeReachability(), collectActions();
    if (drawIfPossible(scenario_.loadChance)) reportLoad(), collectActions();
    if (balancer_.cutoff() > 0) ++counts_["events while cutting"];
  }

  // --- Requests and attempts

  void request() {
    Request request;
    request.id = ++lastRequest_;
    request.classIndex = static_cast<std::uint32_t>(below(settings_.classes.size() + 1));
    if (!settings_.tenants.empty())
      request.tenantIndex = static_cast<std::uint32_t>(below(settings_.tenants.size()));
    request.timeRemaining = draw(0.8) ? Duration(seconds(1)) : milliseconds(100 + below(900));
    request.expectedCost = draw(0.5) ? Duration{} : milliseconds(1 + below(40));
    request.hasKey = draw(0.6);
    request.key = request.hasKey ? 1 + below(30) : 0;
    if (scenario_.limitsAttempts) request.maxAttempts = 1 + static_cast<std::uint32_t>(below(3));
    requests_[request.id] = request;
    if (request.classIndex < settings_.classes.size()) openRequests_.insert(request.id);
    countOverQuota(request);
    currentRequest_ = request.id;
    balancer_.onRequest(now_, request);
  }

  // Counts the request if its tenant exceeds its quota, by the mean rate since the start.
  void countOverQuota(const Request& request) {
    if (request.tenantIndex >= settings_.tenants.size()) return;
    const double quota = settings_.tenants[request.tenantIndex].quotaPerSecond;
    const double elapsedSeconds = std::chrono::duration<double>(now_ - Timestamp(seconds(100))).count();
    if (quota > 0 &&
        static_cast<double>(++requestsOfTenant_[request.tenantIndex]) > quota * (elapsedSeconds + 1))
      ++counts_["requests over quota"];
  }

  void disconnectClient() {
    const RequestId id = 1 + below(lastRequest_);
    disconnected_.insert(id);
    balancer_.onClientDisconnected(now_, id);
  }

  void startResponse() {
    startedResponses_.insert({inFlight_.back().request, inFlight_.back().attempt});
    balancer_.onResponseStarted(now_, inFlight_.back().request, inFlight_.back().attempt);
  }

  void endAttempt() {
    std::vector<std::size_t> candidates;  // indexes in inFlight_ of attempts that can end now
    for (std::size_t i = 0; i < inFlight_.size(); ++i)
      if (canEnd(inFlight_[i])) candidates.push_back(i);
    if (candidates.empty()) return;
    const std::size_t i =
        candidates[below(std::min<std::size_t>(candidates.size(), 12))];  // one of the oldest twelve
    const InFlightAttempt sent = inFlight_[i];
    const AttemptKey key{sent.request, sent.attempt};
    inFlight_.erase(inFlight_.begin() + static_cast<std::ptrdiff_t>(i));
    AttemptResult result;
    result.request = sent.request;
    result.attempt = sent.attempt;
    result.endpoint = sent.endpoint;
    result.elapsed = now_ - sent.sentAt;
    if (cancelledAttempts_.erase(key) > 0 && draw(0.7)) result.outcome = Outcome::cancelled;
    else if (now_ - sent.sentAt >= sent.timeLimit) result.outcome = Outcome::timeout;
    else if (draw(scenario_.failureRate)) result.outcome = drawFailure();
    if (scenario_.reportsFailureReasons) setFailureReason(result);
    result.endsRequest = result.outcome == Outcome::served && !answered_.count(sent.request);
    if (scenario_.startedResponseEndsRequest && startedResponses_.count(key)) result.endsRequest = true;
    if (result.endsRequest) answered_[sent.request] = true;
    if (result.outcome == Outcome::served && result.elapsed > milliseconds(400)) ++counts_["late answers"];
    balancer_.onResult(now_, result);
    if (result.outcome == Outcome::reset || result.outcome == Outcome::timeout)
      loseConnection(result.endpoint);
  }

  bool canEnd(const InFlightAttempt& attempt) const {
    return now_ >= attempt.notBefore || now_ - attempt.sentAt >= attempt.timeLimit ||
           cancelledAttempts_.count({attempt.request, attempt.attempt}) > 0;
  }

  Outcome drawFailure() {
    if (scenario_.reportsFailureReasons) {
      constexpr Outcome kinds[] = {Outcome::connectFailed, Outcome::connectFailed, Outcome::connectFailed,
                                   Outcome::reset,         Outcome::error,         Outcome::notSent,
                                   Outcome::overloaded,    Outcome::timeout};
      return kinds[below(8)];
    }
    constexpr Outcome kinds[] = {Outcome::error,          Outcome::overloaded,   Outcome::overloaded,
                                 Outcome::timeout,        Outcome::reset,        Outcome::error,
                                 Outcome::invalidRequest, Outcome::connectFailed};
    return kinds[below(8)];
  }

  // Draws a failure reason and a connection use that match the outcome.
  void setFailureReason(AttemptResult& result) {
    const ConnectionUse connected = draw(0.4) ? ConnectionUse::opened : ConnectionUse::reused;
    switch (result.outcome) {
      case Outcome::notSent: result.connectionUse = ConnectionUse::none; break;
      case Outcome::connectFailed: {
        constexpr FailureReason reasons[] = {FailureReason::unknown,
                                             FailureReason::unknown,
                                             FailureReason::connectionRefused,
                                             FailureReason::connectTimeout,
                                             FailureReason::attemptTimeout,
                                             FailureReason::noDescriptor,
                                             FailureReason::brokenWhileWriting,
                                             FailureReason::cancelledBeforeSend};
        result.failureReason = reasons[below(8)];
        result.connectionUse =
            result.failureReason == FailureReason::brokenWhileWriting ? connected : ConnectionUse::none;
        break;
      }
      case Outcome::error:
      case Outcome::reset:
        if (draw(0.5)) result.failureReason = FailureReason::malformedResponse;
        [[fallthrough]];
      default:
        result.connectionUse = connected,
        result.connectionKept = result.outcome != Outcome::reset && draw(0.8);
    }
    if (result.outcome == Outcome::notSent) ++counts_["moot"];
    if (result.failureReason != FailureReason::unknown) ++counts_["faults told"];
    ++counts_["carriers told"];
  }

  // --- Endpoints

  void changeEndpoint() {
    EndpointInfo& info = endpoints_[below(endpoints_.size())];
    switch (below(4)) {
      case 0: info.state = EndpointState::draining; break;
      case 1: info.state = EndpointState::active, info.startedAt = now_; break;
      case 2: info.state = EndpointState::active; break;
      default: return replaceEndpoint(info);
    }
    reportEndpoints(EndpointListKind::update, {info});
  }

  void replaceEndpoint(const EndpointInfo& info) {
    EndpointInfo removed = info;
    removed.state = EndpointState::removed;
    endpoints_.erase(endpoints_.begin() + (&info - endpoints_.data()));
    addEndpoint();
    ++counts_["replacements"];
    reportEndpoints(EndpointListKind::update, {removed, endpoints_.back()});
  }

  void toggleDraining() {
    EndpointInfo& info = endpoints_[below(endpoints_.size())];
    info.state = info.state == EndpointState::active ? EndpointState::draining : EndpointState::active;
    if (info.state == EndpointState::draining) ++counts_["drains"];
    reportEndpoints(EndpointListKind::update, {info});
  }

  void restartEndpoint() {
    EndpointInfo& info = endpoints_[below(endpoints_.size())];
    info.startedAt = now_;
    ++counts_["restarts"];
    reportEndpoints(EndpointListKind::update, {info});
  }

  // At most a quarter of the endpoints have a load, so the median endpoint has none.
  void reportLoad() {
    EndpointInfo& info = endpoints_[below(endpoints_.size())];
    std::size_t loaded = 0;
    for (const EndpointInfo& other : endpoints_) loaded += other.weight < kUnloadedWeight;
    if (info.weight < kUnloadedWeight) info.weight = kUnloadedWeight;
    else if (loaded < endpoints_.size() / 4) info.weight = draw(0.5) ? kLoadedWeight : kHeavilyLoadedWeight;
    if (info.weight < kUnloadedWeight) ++counts_["load told"];
    reportEndpoints(EndpointListKind::update, {info});
  }

  void reportEndpoints(EndpointListKind kind, const std::vector<EndpointInfo>& entries) {
    balancer_.onEndpoints(now_, kind, entries);
  }

  void changeReachability() {
    const EndpointId endpoint = balancer_.findEndpoint(endpoints_[below(endpoints_.size())].address);
    const std::size_t eventKind = below(10);
    Reachability reachability = Reachability::reachable;
    Timestamp startedAfter{};
    if (eventKind < 2) reachability = Reachability::unreachable, ++counts_["reach closed"];
    else if (eventKind < 5) reachability = Reachability::probeOnly, ++counts_["reach probe"];
    else if (eventKind < 8) ++counts_["reach open"];
    else startedAfter = now_ - milliseconds(below(3000)), ++counts_["starts seen"];
    reachability_[endpoint] = reachability;
    balancer_.onReachability(now_, endpoint, reachability, startedAfter);
  }

  // --- Connections, in scenarios that report their count

  void setConnections(EndpointId endpoint, std::uint32_t count) {
    if (!scenario_.reportsConnectionCounts || connections_[endpoint] == count) return;
    connections_[endpoint] = count;
    ++counts_["connection counts told"];
    balancer_.onConnections(endpoint, count);
  }
  void ensureOpenConnections(EndpointId endpoint) {
    setConnections(endpoint, std::max(connections_[endpoint], balancer_.attemptsInFlight(endpoint)));
  }
  void loseConnection(EndpointId endpoint) {
    if (connections_[endpoint] > 0) setConnections(endpoint, connections_[endpoint] - 1);
  }

  // --- Reloads of the settings

  // The class indexes of open requests. The classes at these must stay as they are.
  std::set<std::size_t> classesInUse() {
    std::set<RequestId> withAttempts;
    for (const InFlightAttempt& attempt : inFlight_) withAttempts.insert(attempt.request);
    std::erase_if(openRequests_, [&](RequestId id) {
      return (answered_.count(id) || disconnected_.count(id)) && !withAttempts.count(id);
    });
    std::set<std::size_t> used;
    for (const RequestId id : openRequests_) used.insert(requests_[id].classIndex);
    return used;
  }

  void reload() {
    const std::set<std::size_t> used = classesInUse();
    Settings next = settings_;
    switch (below(8)) {
      case 0:
      case 1: swapClasses(next, used); break;
      case 2: addClass(next); break;
      case 3: removeClass(next, used); break;
      case 4: changeClass(next, used); break;
      case 5: changeTenants(next); break;
      case 6:
        next.retryAfterAllowed = !next.retryAfterAllowed;
        next.maxRetryAfter = milliseconds(below(3000));
        next.cancelAllowed = draw(0.7);
        break;
      default:
        next.maxAttempts = 1 + static_cast<std::uint32_t>(below(4));
        next.hedging = draw(0.5);
        next.keyAffinity = draw(0.5);
        next.keyCooldown = milliseconds(below(300));
        next.idleTimeout = milliseconds(below(2000));
    }
    ++counts_["reloads"];
    if (!used.empty()) ++counts_["reloads while requests are open"];
    settings_ = next;
    balancer_.configure(now_, next);
  }

  void swapClasses(Settings& next, const std::set<std::size_t>& used) {
    const std::size_t first = below(next.classes.size()), second = below(next.classes.size());
    if (first == second || used.count(first) || used.count(second)) return;
    std::swap(next.classes[first], next.classes[second]);
    ++counts_["classes swapped"];
  }

  void addClass(Settings& next) {
    const std::string name = "added-" + std::to_string(count("classes added"));
    next.classes.push_back(makeClass(name, Idempotency::safe, 1 + static_cast<double>(below(9))));
    ++counts_["classes added"];
  }

  void removeClass(Settings& next, const std::set<std::size_t>& used) {
    if (next.classes.size() < 4 || used.count(next.classes.size() - 1)) return;
    next.classes.pop_back();
    ++counts_["classes removed"];
  }

  void changeClass(Settings& next, const std::set<std::size_t>& used) {
    const std::size_t index = below(next.classes.size());
    if (used.count(index)) return;
    ClassSettings& classSettings = next.classes[index];
    classSettings.priorityWeight = 1 + static_cast<double>(below(9));
    classSettings.idempotency = draw(0.5) ? Idempotency::safe : Idempotency::unsafe;
    classSettings.serializedByKey = draw(0.3);
    classSettings.latencyObjective = milliseconds(200 + below(300));
    ++counts_["classes changed"];
  }

  void changeTenants(Settings& next) {
    next.tenants.clear();
    for (std::size_t i = 0, tenantCount = 1 + below(4); i < tenantCount; ++i)
      next.tenants.push_back({"tenant-" + std::to_string(i), static_cast<double>(below(60))});
    next.overQuotaWeightFactor = 0.25 * static_cast<double>(below(4));
    ++counts_["tenants changed"];
  }

  // --- Actions and queries of the load balancer

  void collectActions() {
    std::vector<Action> actions;
    actions.swap(balancer_.actions());
    for (const Action& action : actions) {
      actionDigest_.add(action);
      switch (action.kind) {
        case ActionKind::send: recordSend(action); break;
        case ActionKind::reject: answered_[action.request] = true, ++counts_["refused"]; break;
        case ActionKind::fail: answered_[action.request] = true, ++counts_["failed"]; break;
        case ActionKind::cancel:
          cancelledAttempts_[{action.request, action.attempt}] = true, ++counts_["cancels"];
          break;
        case ActionKind::closeIdle:
          ++counts_["closes"];
          setConnections(action.endpoint, balancer_.attemptsInFlight(action.endpoint));
          break;
        case ActionKind::forgetEndpoint:
          ++counts_["forgets"];
          connections_.erase(action.endpoint);
          reachability_.erase(action.endpoint);
          break;
        case ActionKind::scheduleWake: wakeAt_ = action.wakeAt; break;
        default: break;
      }
    }
    const double cutoff = balancer_.cutoff();
    actionDigest_.number(cutoff * 1e6);
    actionDigest_.number(balancer_.activeRequests());
    digestQueries();
  }

  void recordSend(const Action& action) {
    const Request& request = requests_[action.request];
    ++counts_["sends"];
    for (const InFlightAttempt& attempt : inFlight_)
      if (attempt.request == action.request) {
        ++counts_["hedges"];
        break;
      }
    const bool slow = drawIfPossible(scenario_.slowFraction);
    inFlight_.push_back({action.request, action.attempt, action.endpoint, now_, action.timeLimit,
                         slow ? now_ + scenario_.slowDuration : Timestamp{}});
    if (drawIfPossible(scenario_.reportsConnectionCounts ? 0.7 : 0))
      ensureOpenConnections(action.endpoint);  // else no new connection is opened for it
    if (action.attempt == 0 && action.request != currentRequest_) ++counts_["waits"];
    if (action.attempt == 0 && request.hasKey) {
      const auto previous = endpointOfKey_.find(request.key);
      if (previous != endpointOfKey_.end() && previous->second == action.endpoint) ++counts_["key returns"];
      endpointOfKey_[request.key] = action.endpoint;
    }
    if (action.attempt > 0) countRetry(request);
    if (request.maxAttempts != kNone && action.attempt + 1 == request.maxAttempts)
      ++counts_["requests at their most"];
    if (action.attempt >= request.maxAttempts) ++counts_["sends beyond a bound"];
    if (reachability_.count(action.endpoint) && reachability_[action.endpoint] == Reachability::probeOnly) {
      ++counts_["probes sent"];
      reachability_[action.endpoint] = Reachability::unreachable;
    }
    countEndpointState(action.endpoint);
  }

  void countRetry(const Request& request) {
    ++counts_["retries"];
    if (request.classIndex >= settings_.classes.size()) return;
    const ClassSettings& classSettings = settings_.classes[request.classIndex];
    if (classSettings.idempotency == Idempotency::safe) ++counts_["retries of retryable"];
    if (classSettings.idempotency != Idempotency::keyed) return;
    const std::string scopes[] = {"all", "zone", "cell"};
    ++counts_["retries of dedup, " + scopes[static_cast<std::size_t>(classSettings.dedupScope)]];
  }

  void countEndpointState(EndpointId id) {
    for (const EndpointInfo& info : endpoints_) {
      if (balancer_.findEndpoint(info.address) != id) continue;
      if (info.startedAt > Timestamp{} && now_ - info.startedAt < settings_.slowStartDuration)
        ++counts_["sends to cold hosts"];
      const auto inFlight = balancer_.attemptsInFlight(id);
      if (inFlight == static_cast<std::uint32_t>(info.maxInFlight)) ++counts_["hosts at their most"];
      if (inFlight > static_cast<std::uint32_t>(info.maxInFlight)) ++counts_["sends beyond a bound"];
    }
  }

  // Adds the results of the queries: for one endpoint, each in turn, and for an address that no list has
  // named.
  void digestQueries() {
    const EndpointId endpoint = balancer_.findEndpoint(endpoints_[queryCount_++ % endpoints_.size()].address);
    for (const EndpointId id : {endpoint, balancer_.findEndpoint("nobody")}) {
      queryDigest_.number(id);
      queryDigest_.number(balancer_.isAvoided(id));
      queryDigest_.number(balancer_.openConnections(id));
      queryDigest_.number(balancer_.attemptsInFlight(id));
    }
  }

  // Reported weights of an endpoint: without load, and with loads that make the base of the power 4 or 16,
  // see the top of this file.
  static constexpr double kUnloadedWeight = 24, kLoadedWeight = 4, kHeavilyLoadedWeight = 1;

  Scenario scenario_;
  Settings settings_;  // in force
  std::mt19937_64 engine_;
  Timestamp now_{seconds(100)}, wakeAt_{};
  LoadBalancer balancer_;
  std::vector<EndpointInfo> endpoints_;
  std::vector<InFlightAttempt> inFlight_;
  std::map<RequestId, Request> requests_;
  std::set<RequestId> openRequests_;    // with a known class; may include some that have ended
  std::set<RequestId> disconnected_;    // their clients have disconnected
  std::map<RequestId, bool> answered_;  // or ended by a result
  std::map<AttemptKey, bool> cancelledAttempts_;
  std::set<AttemptKey> startedResponses_;
  std::map<std::uint64_t, EndpointId> endpointOfKey_;
  std::map<EndpointId, Reachability> reachability_;
  std::map<EndpointId, std::uint32_t> connections_;
  std::map<std::uint32_t, std::size_t> requestsOfTenant_;
  std::map<std::string, std::size_t> counts_;
  Digest actionDigest_, queryDigest_;
  int nextEndpointNumber_ = 0;
  RequestId currentRequest_ = 0;  // the request that this event sent; 0: none
  std::size_t lastRequest_ = 0, queryCount_ = 0;
};

std::vector<std::string> runScenarios() {
  std::vector<std::string> lines;
  for (const Scenario& scenario : scenarios()) lines.push_back(ScenarioRun(scenario).run());
  return lines;
}

TEST(Recorded, ActionsAndQueriesAreAsRecorded) {
  std::ifstream file(recordedPath);
  std::vector<std::string> lines;
  for (std::string line; std::getline(file, line);) lines.push_back(line);
  EXPECT_EQ(runScenarios(), lines);
}

TEST(Recorded, EachScenarioReachesItsRequiredCounts) {
  for (const Scenario& scenario : scenarios()) {
    ScenarioRun run(scenario);
    const std::string line = run.run();
    for (const std::string& name : scenario.requiredCounts)
      EXPECT_GE(run.count(name), kMinRequiredCount) << name << " in " << line;
    EXPECT_EQ(run.count("sends beyond a bound"), 0u) << line;
  }
}

}  // namespace

// Records with `--record FILE`; else runs the tests against the file that is the first argument.
int run(int argc, char** argv) {
  if (argc == 3 && std::string(argv[1]) == "--record") {
    std::ofstream file(argv[2]);
    for (const std::string& line : runScenarios()) file << line << "\n";
    return file.good() ? 0 : 1;
  }
  ::testing::InitGoogleTest(&argc, argv);
  recordedPath = argc > 1 ? argv[1] : "";
  return RUN_ALL_TESTS();
}

}  // namespace cairnjunction::policy::testing

int main(int argc, char** argv) { return cairnjunction::policy::testing::run(argc, argv); }

// The decision module's actions over thousands of random events, against those recorded earlier. A change
// that is to move code and nothing else must leave them as they are; so must a new field of the interface,
// since nothing here sets one. After a change that is meant, `recorded_test --record FILE` writes the file
// anew.
//
// Of a log line only its kind counts, not its text. Besides the actions, a second digest covers what the
// queries answer after every event. Each scenario names the counts that show that it exercises its subject,
// and a test holds them to a floor.
//
// Live weights: the module takes a power of -1/2 of (largest weight of the kind / weight told) / 1.5. The
// weights told here make that 4 or 16, so the result is an exact power of two on every machine.
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

constexpr int kEvents = 6000;  // of one scenario
// A subject is exercised if it comes up in one event of a hundred.
constexpr std::size_t kSubjectFloor = kEvents / 100;

std::string recordFile;  // set by main

struct Scenario {
  std::string name;
  Settings settings;
  int hosts = 10;
  double failing = 0.05;  // share of the attempts
  int meanGapUs = 3000;   // between events

  // Chances per event of what comes beside the usual traffic. No random number is drawn for a chance of zero.
  double drainChance = 0;    // a host starts to drain, or comes back if it does
  double replaceChance = 0;  // a host goes and a new one comes
  double restartChance = 0;  // a host has a new process
  double reloadChance = 0;   // configure() with something changed
  double reachChance = 0;    // onReach for some host
  double loadChance = 0;     // a live load report changes a host's weight

  double slowShare = 0;  // of the attempts: no answer before `slowTime`
  Duration slowTime{};
  bool faultsTold = false;    // results say their Fault and Carrier; some attempts are moot
  bool exactCounts = false;   // onConnections is told of every change
  bool hostsBounded = false;  // HostEntry::attemptsMost is 1 or 2
  bool triesBounded = false;  // Request::attemptsMost is 1 to 3
  bool hostsChange = true;    // the usual traffic has drains, restarts and replacements
  bool startedEnds = false;   // an attempt whose answer had started ends its request, however it ends

  std::vector<std::string> subjects{};  // names of the counts that must reach the floor
};

// The same scenario with two seeds.
void addTwice(std::vector<Scenario>& all, const Scenario& scenario, std::uint64_t seed) {
  for (const std::uint64_t s : {seed, seed + 1000}) {
    all.push_back(scenario);
    all.back().settings.seed = s;
    all.back().name += ", seed " + std::to_string(s);
  }
}

// A class for each effect and group, with different windows and placements.
std::vector<ClassSettings> everyClass() {
  std::vector<ClassSettings> classes;
  for (const Idempotency effect : {Idempotency::safe, Idempotency::keyed, Idempotency::unsafe})
    for (const DedupScope group : {DedupScope::all, DedupScope::zone, DedupScope::cell}) {
      const std::size_t number = classes.size();
      ClassSettings c =
          makeClass("class-" + std::to_string(number), effect, 1 + static_cast<double>(number), group);
      c.dedupWindow = milliseconds(200 + 200 * static_cast<int>(number % 4));
      if (number % 4 == 1) c.allowedZones = {"east"};
      if (number % 4 == 2) c.allowedMachineKinds = {"std"};
      if (number == 7) c.allowedZones = {"west", "east"}, c.allowedMachineKinds = {"big"};
      classes.push_back(c);
    }
  classes.push_back(makeClass("nowhere", Idempotency::safe, 2));
  classes.back().allowedMachineKinds.emplace();  // an empty list allows none
  return classes;
}

void addMovingHosts(std::vector<Scenario>& all, const Settings& plain) {
  Scenario turns{"turns while hosts move", plain, 8, 0.1, 5000};
  for (ClassSettings& c : turns.settings.classes) c.serializedByKey = true;
  turns.settings.keyCooldown = milliseconds(100);
  turns.drainChance = 0.05;
  turns.replaceChance = 0.03;
  turns.subjects = {"waits", "drains", "replacements", "forgets"};
  addTwice(all, turns, 37);

  Scenario cold{"cold starts", plain, 10, 0.05, 3000};
  cold.settings.slowStartDuration = seconds(5);
  cold.settings.slowStartInitialFraction = 0.1;
  cold.settings.collapseLoadFactor = 2;
  cold.settings.collapseWindow = seconds(1);
  cold.restartChance = 0.03;
  cold.subjects = {"restarts", "sends to cold hosts"};
  addTwice(all, cold, 53);

  Scenario reach{"reach and exact connections", plain, 10, 0.05, 3000};
  reach.settings.idleTimeout = milliseconds(300);
  reach.reachChance = 0.08;
  reach.exactCounts = true;
  reach.subjects = {"reach closed", "reach probe", "reach open",
                    "starts seen",  "probes sent", "connection counts told"};
  addTwice(all, reach, 43);

  Scenario idle{"idle connections", plain, 40, 0.1, 30000};
  idle.settings.gatewayCount =
      24;  // so some hosts are not its own, and those lose their connections when idle
  idle.settings.gatewayIndex = 5;
  idle.exactCounts = true;
  idle.subjects = {"closes", "connection counts told"};
  addTwice(all, idle, 79);

  Scenario load{"live load", plain, 12, 0.05, 3000};
  load.settings.loadReports = true;
  load.hostsChange = false;  // keeps the median host at no load, see the top
  load.restartChance = 0.01;
  load.replaceChance = 0.01;
  load.loadChance = 0.1;
  load.subjects = {"load told"};
  addTwice(all, load, 61);
}

void addRequestsAndAttempts(std::vector<Scenario>& all, const Settings& plain) {
  Scenario hedged{"hedging and cancel", plain, 12, 0.02, 4000};
  hedged.settings.hedging = true;
  hedged.slowShare = 0.1;
  hedged.slowTime = milliseconds(300);
  hedged.subjects = {"hedges", "cancels"};
  addTwice(all, hedged, 29);

  Scenario warm{"warm keys alone", plain, 12, 0.05, 3000};
  warm.settings.keyAffinity = true;
  warm.subjects = {"key returns"};
  addTwice(all, warm, 31);

  Scenario faults{"faults and carriers", plain, 10, 0.3, 4000};
  faults.faultsTold = true;
  faults.subjects = {"faults told", "carriers told", "moot", "retries"};
  addTwice(all, faults, 47);

  Scenario bounds{"bounds", plain, 6, 0.2, 3000};
  bounds.settings.maxInFlight = 8;
  bounds.hostsBounded = true;
  bounds.triesBounded = true;
  bounds.subjects = {"hosts at their most", "requests at their most", "refused", "events while cutting"};
  addTwice(all, bounds, 59);
}

void addClassesAndTenants(std::vector<Scenario>& all, const Settings& plain) {
  Scenario placed{"every class", plain, 12, 0.4, 4000};
  placed.settings.classes = everyClass();
  placed.subjects = {"retries",
                     "retries of retryable",
                     "retries of dedup, zone",
                     "retries of dedup, cell",
                     "retries of dedup, all",
                     "refused",
                     "failed"};
  addTwice(all, placed, 67);

  Scenario late{"late answers", plain, 4, 0.03, 1200};
  late.settings.classes[0].lateValueFraction = 0.25;
  late.settings.classes[0].objectiveCostFactor = 2;
  late.settings.classes[1].lateValueFraction = 0.75;
  late.settings.classes[2].objectiveCostFactor = 0.5;
  late.slowShare = 0.1;
  late.slowTime = milliseconds(450);  // past the aim
  late.subjects = {"late answers", "events while cutting"};
  addTwice(all, late, 71);

  Scenario quota{"tenants over quota", plain, 8, 0.05, 700};
  quota.settings.tenants = {{"mill", 5}, {"yard", 100}, {"free", 0}};
  quota.slowShare = 0.2;  // so the hosts hold enough for a cutoff
  quota.slowTime = milliseconds(200);
  quota.settings.overQuotaWeightFactor = 0.3;
  quota.settings.retryAfterAllowed = true;
  quota.settings.maxRetryAfter = seconds(1);
  quota.subjects = {"refused", "events while cutting", "requests over quota"};
  addTwice(all, quota, 73);

  Scenario reload{"reloads", plain, 10, 0.1, 4000};
  for (ClassSettings& c : everyClass()) reload.settings.classes.push_back(c);
  reload.settings.tenants = {{"mill", 20}, {"yard", 0}};
  reload.startedEnds = true;
  reload.reloadChance = 0.2;
  reload.subjects = {"reloads",
                     "classes swapped",
                     "classes added",
                     "classes removed",
                     "classes changed",
                     "tenants changed",
                     "reloads while requests are open"};
  addTwice(all, reload, 41);
}

std::vector<Scenario> scenarios() {
  std::vector<Scenario> all;
  Settings plain = makeSettings();
  plain.pollDiscovery = true;
  plain.maxPollInterval = seconds(5);
  all.push_back({"plain", plain});
  Settings many = plain;
  many.seed = 11;
  many.gatewayCount = 24;
  many.gatewayIndex = 17;
  many.retryAfterAllowed = true;
  many.maxRetryAfter = seconds(2);
  many.idleTimeout = seconds(3);
  all.push_back({"one of many", many, 40, 0.1, 2000});
  Settings turns = plain;
  turns.seed = 13;
  for (ClassSettings& c : turns.classes) c.serializedByKey = true;
  turns.keyCooldown = milliseconds(200);
  turns.tenants = {{"mill", 20}, {"yard", 0}};
  all.push_back({"turns and tenants", turns, 6, 0.1, 6000});
  Settings copies = plain;
  copies.seed = 17;
  copies.hedging = true;
  copies.keyAffinity = true;
  copies.streamsPerConnection = 4;
  all.push_back({"copies and warm keys", copies, 12, 0.02, 4000});
  Settings bad = plain;
  bad.seed = 19;
  bad.idleTimeout = seconds(1);
  all.push_back({"half of it fails", bad, 8, 0.5, 3000});
  Settings late = plain;
  late.seed = 23;
  for (ClassSettings& c : late.classes) c.lateValueFraction = 0.5, c.objectiveCostFactor = 0.5;
  all.push_back({"crowded", late, 3, 0.03, 700});
  for (const std::uint64_t seed : {101, 102, 103, 104, 105}) {
    all.push_back({"plain, seed " + std::to_string(seed), plain});
    all.back().settings.seed = seed;
  }
  addRequestsAndAttempts(all, plain);
  addMovingHosts(all, plain);
  addClassesAndTenants(all, plain);
  return all;
}

// FNV-1a over all that an action says, but for the text of a log line.
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
  void add(const Action& a) {
    number(a.kind);
    number(a.request);
    number(a.attempt);
    number(a.endpoint);
    number((a.timeLimit + a.retryAfter + a.wakeAt.time_since_epoch()).count());
  }
  std::uint64_t value() const { return value_; }

 private:
  std::uint64_t value_ = 0xcbf29ce484222325ULL;
};

struct OutAttempt {
  RequestId request;
  std::uint32_t attempt;
  EndpointId host;
  Timestamp at;
  Duration limit;
  Timestamp notBefore;  // a slow one is not answered earlier
};

// The world around the module: hosts that come, restart, drain and go, attempts that end in any way.
class Play {
 public:
  explicit Play(const Scenario& s)
      : scenario_(s), settings_(s.settings), engine_(s.settings.seed * 101), balancer_(s.settings, now_) {
    for (int i = 0; i < s.hosts; ++i) add();
    tell(EndpointListKind::restored, hosts_);
  }

  std::string run() {
    for (int i = 0; i < kEvents; ++i) step();
    std::ostringstream text;
    text << scenario_.name << ": sends " << count("sends") << ", refused " << count("refused") << ", failed "
         << count("failed");
    for (const std::string name : {"hedges", "closes", "cancels", "forgets"})
      text << ", " << name << " " << count(name);
    for (const std::string& name : scenario_.subjects)
      if (!shownAlways(name)) text << ", " << name << " " << count(name);
    text << ", digest " << std::hex << digest_.value() << ", queries " << queries_.value();
    return text.str();
  }

  std::size_t count(const std::string& name) const {
    const auto it = counts_.find(name);
    return it == counts_.end() ? 0 : it->second;
  }

 private:
  using AttemptName = std::pair<RequestId, std::uint32_t>;

  static bool shownAlways(const std::string& name) {
    return std::set<std::string>{"sends", "refused", "failed", "hedges", "closes", "cancels", "forgets"}
               .count(name) > 0;
  }

  // Own draws: std distributions differ between standard libraries.
  std::size_t below(std::size_t n) { return static_cast<std::size_t>(engine_() % n); }
  bool chance(double p) { return static_cast<double>(engine_() >> 11) * 0x1.0p-53 < p; }
  bool happens(double p) { return p > 0 && chance(p); }  // draws only if it may

  void add() {
    EndpointInfo e = makeHost(next_, next_ % 3 == 0 ? "west" : "east", next_ % 2);
    e.machineKind = next_ % 4 == 0 ? "big" : "std";
    e.weight = next_ % 4 == 0 ? 2 : 1;
    if (scenario_.loadChance > 0) e.weight = kNoLoad;
    if (scenario_.hostsBounded) e.maxInFlight = 1 + next_ % 2;
    e.startedAt = chance(0.3) ? now_ - seconds(below(15)) : Timestamp{};
    ++next_;
    hosts_.push_back(e);
  }

  void step() {
    now_ += std::chrono::microseconds(1 + below(static_cast<std::size_t>(2 * scenario_.meanGapUs)));
    if (wake_ > Timestamp{} && wake_ <= now_) {
      wake_ = Timestamp{};
      balancer_.onWake(now_);
      collect();
    }
    asked_ = 0;
    const std::size_t what = below(1000);
    if (what < 480 || out_.empty()) request();
    else if (what < 970) settle();
    else if (what < 980 && last_ > 0) leave();
    else if (what < 983) startAnswer();
    else if (what < 997) {
      if (scenario_.hostsChange) change();
    } else if (what < 999) balancer_.onEndpoints(now_, EndpointListKind::unavailable, {});
    else tell(EndpointListKind::replace, hosts_);
    collect();
    beside();
  }

  // What a scenario has beside the usual traffic.
  void beside() {
    if (happens(scenario_.drainChance)) drain(), collect();
    if (happens(scenario_.replaceChance)) replace(hosts_[below(hosts_.size())]), collect();
    if (happens(scenario_.restartChance)) restart(), collect();
    if (happens(scenario_.reloadChance)) reload(), collect();
    if (happens(scenario_.reachChance)) changeReach(), collect();
    if (happens(scenario_.loadChance)) reportLoad(), collect();
    if (balancer_.cutoff() > 0) ++counts_["events while cutting"];
  }

  // --- requests and attempts

  void request() {
    Request q;
    q.id = ++last_;
    q.classIndex = static_cast<std::uint32_t>(below(settings_.classes.size() + 1));
    if (!settings_.tenants.empty())
      q.tenantIndex = static_cast<std::uint32_t>(below(settings_.tenants.size()));
    q.timeRemaining = chance(0.8) ? Duration(seconds(1)) : milliseconds(100 + below(900));
    q.expectedCost = chance(0.5) ? Duration{} : milliseconds(1 + below(40));
    q.hasKey = chance(0.6);
    q.key = q.hasKey ? 1 + below(30) : 0;
    if (scenario_.triesBounded) q.maxAttempts = 1 + static_cast<std::uint32_t>(below(3));
    requests_[q.id] = q;
    if (q.classIndex < settings_.classes.size()) open_.insert(q.id);
    noteQuota(q);
    asked_ = q.id;
    balancer_.onRequest(now_, q);
  }

  // Whether the tenant has sent more than its quota so far, by the mean of the whole run.
  void noteQuota(const Request& q) {
    if (q.tenantIndex >= settings_.tenants.size()) return;
    const double quota = settings_.tenants[q.tenantIndex].quotaPerSecond;
    const double passed = std::chrono::duration<double>(now_ - Timestamp(seconds(100))).count();
    if (quota > 0 && static_cast<double>(++askedBy_[q.tenantIndex]) > quota * (passed + 1))
      ++counts_["requests over quota"];
  }

  void leave() {
    const RequestId id = 1 + below(last_);
    left_.insert(id);
    balancer_.onClientDisconnected(now_, id);
  }

  void startAnswer() {
    started_.insert({out_.back().request, out_.back().attempt});
    balancer_.onResponseStarted(now_, out_.back().request, out_.back().attempt);
  }

  void settle() {
    std::vector<std::size_t> may;  // end now, by their place among those out
    for (std::size_t i = 0; i < out_.size(); ++i)
      if (mayEnd(out_[i])) may.push_back(i);
    if (may.empty()) return;
    const std::size_t i = may[below(std::min<std::size_t>(may.size(), 12))];  // mostly the older ones
    const OutAttempt sent = out_[i];
    const AttemptName name{sent.request, sent.attempt};
    out_.erase(out_.begin() + static_cast<std::ptrdiff_t>(i));
    AttemptResult a;
    a.request = sent.request;
    a.attempt = sent.attempt;
    a.endpoint = sent.host;
    a.elapsed = now_ - sent.at;
    if (cancelled_.erase(name) > 0 && chance(0.7)) a.outcome = Outcome::cancelled;
    else if (now_ - sent.at >= sent.limit) a.outcome = Outcome::timeout;
    else if (chance(scenario_.failing)) a.outcome = failure();
    if (scenario_.faultsTold) tellFault(a);
    a.endsRequest = a.outcome == Outcome::served && !over_.count(sent.request);
    if (scenario_.startedEnds && started_.count(name)) a.endsRequest = true;
    if (a.endsRequest) over_[sent.request] = true;
    if (a.outcome == Outcome::served && a.elapsed > milliseconds(400)) ++counts_["late answers"];
    balancer_.onResult(now_, a);
    if (a.outcome == Outcome::reset || a.outcome == Outcome::timeout) loseConnection(a.endpoint);
  }

  bool mayEnd(const OutAttempt& o) const {
    return now_ >= o.notBefore || now_ - o.at >= o.limit || cancelled_.count({o.request, o.attempt}) > 0;
  }

  Outcome failure() {
    if (scenario_.faultsTold) {
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

  // Says why it ended so and what carried it, as far as that goes with the outcome.
  void tellFault(AttemptResult& a) {
    const ConnectionUse connected = chance(0.4) ? ConnectionUse::opened : ConnectionUse::reused;
    switch (a.outcome) {
      case Outcome::notSent: a.connectionUse = ConnectionUse::none; break;
      case Outcome::connectFailed: {
        constexpr FailureReason faults[] = {FailureReason::unknown,
                                            FailureReason::unknown,
                                            FailureReason::connectionRefused,
                                            FailureReason::connectTimeout,
                                            FailureReason::attemptTimeout,
                                            FailureReason::noDescriptor,
                                            FailureReason::brokenWhileWriting,
                                            FailureReason::cancelledBeforeSend};
        a.failureReason = faults[below(8)];
        a.connectionUse =
            a.failureReason == FailureReason::brokenWhileWriting ? connected : ConnectionUse::none;
        break;
      }
      case Outcome::error:
      case Outcome::reset:
        if (chance(0.5)) a.failureReason = FailureReason::malformedResponse;
        [[fallthrough]];
      default: a.connectionUse = connected, a.connectionKept = a.outcome != Outcome::reset && chance(0.8);
    }
    if (a.outcome == Outcome::notSent) ++counts_["moot"];
    if (a.failureReason != FailureReason::unknown) ++counts_["faults told"];
    ++counts_["carriers told"];
  }

  // --- hosts

  void change() {
    EndpointInfo& e = hosts_[below(hosts_.size())];
    switch (below(4)) {
      case 0: e.state = EndpointState::draining; break;
      case 1: e.state = EndpointState::active, e.startedAt = now_; break;
      case 2: e.state = EndpointState::active; break;
      default: return replace(e);
    }
    tell(EndpointListKind::update, {e});
  }

  void replace(const EndpointInfo& e) {
    EndpointInfo gone = e;
    gone.state = EndpointState::removed;
    hosts_.erase(hosts_.begin() + (&e - hosts_.data()));
    add();
    ++counts_["replacements"];
    tell(EndpointListKind::update, {gone, hosts_.back()});
  }

  void drain() {
    EndpointInfo& e = hosts_[below(hosts_.size())];
    e.state = e.state == EndpointState::active ? EndpointState::draining : EndpointState::active;
    if (e.state == EndpointState::draining) ++counts_["drains"];
    tell(EndpointListKind::update, {e});
  }

  void restart() {
    EndpointInfo& e = hosts_[below(hosts_.size())];
    e.startedAt = now_;
    ++counts_["restarts"];
    tell(EndpointListKind::update, {e});
  }

  // At most a quarter of the hosts has a load, so the median host has none.
  void reportLoad() {
    EndpointInfo& e = hosts_[below(hosts_.size())];
    std::size_t loaded = 0;
    for (const EndpointInfo& h : hosts_) loaded += h.weight < kNoLoad;
    if (e.weight < kNoLoad) e.weight = kNoLoad;
    else if (loaded < hosts_.size() / 4) e.weight = chance(0.5) ? kLoaded : kVeryLoaded;
    if (e.weight < kNoLoad) ++counts_["load told"];
    tell(EndpointListKind::update, {e});
  }

  void tell(EndpointListKind kind, const std::vector<EndpointInfo>& entries) {
    balancer_.onEndpoints(now_, kind, entries);
  }

  void changeReach() {
    const EndpointId host = balancer_.findEndpoint(hosts_[below(hosts_.size())].address);
    const std::size_t what = below(10);
    Reachability reach = Reachability::reachable;
    Timestamp startedAfter{};
    if (what < 2) reach = Reachability::unreachable, ++counts_["reach closed"];
    else if (what < 5) reach = Reachability::probeOnly, ++counts_["reach probe"];
    else if (what < 8) ++counts_["reach open"];
    else startedAfter = now_ - milliseconds(below(3000)), ++counts_["starts seen"];
    reach_[host] = reach;
    balancer_.onReachability(now_, host, reach, startedAfter);
  }

  // --- connections, where their count is told

  void setConnections(EndpointId host, std::uint32_t open) {
    if (!scenario_.exactCounts || connections_[host] == open) return;
    connections_[host] = open;
    ++counts_["connection counts told"];
    balancer_.onConnections(host, open);
  }
  void openFor(EndpointId host) {
    setConnections(host, std::max(connections_[host], balancer_.attemptsInFlight(host)));
  }
  void loseConnection(EndpointId host) {
    if (connections_[host] > 0) setConnections(host, connections_[host] - 1);
  }

  // --- reloads

  // Class indexes that an open request has; there the class must stay as it is.
  std::set<std::size_t> classesInUse() {
    std::set<RequestId> withAttempts;
    for (const OutAttempt& o : out_) withAttempts.insert(o.request);
    std::erase_if(
        open_, [&](RequestId id) { return (over_.count(id) || left_.count(id)) && !withAttempts.count(id); });
    std::set<std::size_t> used;
    for (const RequestId id : open_) used.insert(requests_[id].classIndex);
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
        next.cancelAllowed = chance(0.7);
        break;
      default:
        next.maxAttempts = 1 + static_cast<std::uint32_t>(below(4));
        next.hedging = chance(0.5);
        next.keyAffinity = chance(0.5);
        next.keyCooldown = milliseconds(below(300));
        next.idleTimeout = milliseconds(below(2000));
    }
    ++counts_["reloads"];
    if (!used.empty()) ++counts_["reloads while requests are open"];
    settings_ = next;
    balancer_.configure(now_, next);
  }

  void swapClasses(Settings& next, const std::set<std::size_t>& used) {
    const std::size_t a = below(next.classes.size()), b = below(next.classes.size());
    if (a == b || used.count(a) || used.count(b)) return;
    std::swap(next.classes[a], next.classes[b]);
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
    ClassSettings& c = next.classes[index];
    c.priorityWeight = 1 + static_cast<double>(below(9));
    c.idempotency = chance(0.5) ? Idempotency::safe : Idempotency::unsafe;
    c.serializedByKey = chance(0.3);
    c.latencyObjective = milliseconds(200 + below(300));
    ++counts_["classes changed"];
  }

  void changeTenants(Settings& next) {
    next.tenants.clear();
    for (std::size_t i = 0, most = 1 + below(4); i < most; ++i)
      next.tenants.push_back({"tenant-" + std::to_string(i), static_cast<double>(below(60))});
    next.overQuotaWeightFactor = 0.25 * static_cast<double>(below(4));
    ++counts_["tenants changed"];
  }

  // --- what the module does and says

  void collect() {
    std::vector<Action> actions;
    actions.swap(balancer_.actions());
    for (const Action& a : actions) {
      digest_.add(a);
      switch (a.kind) {
        case ActionKind::send: noteSend(a); break;
        case ActionKind::reject: over_[a.request] = true, ++counts_["refused"]; break;
        case ActionKind::fail: over_[a.request] = true, ++counts_["failed"]; break;
        case ActionKind::cancel: cancelled_[{a.request, a.attempt}] = true, ++counts_["cancels"]; break;
        case ActionKind::closeIdle:
          ++counts_["closes"];
          setConnections(a.endpoint, balancer_.attemptsInFlight(a.endpoint));
          break;
        case ActionKind::forgetEndpoint:
          ++counts_["forgets"];
          connections_.erase(a.endpoint);
          reach_.erase(a.endpoint);
          break;
        case ActionKind::scheduleWake: wake_ = a.wakeAt; break;
        default: break;
      }
    }
    const double cut = balancer_.cutoff();
    digest_.number(cut * 1e6);
    digest_.number(balancer_.activeRequests());
    ask();
  }

  void noteSend(const Action& a) {
    const Request& q = requests_[a.request];
    ++counts_["sends"];
    for (const OutAttempt& o : out_)
      if (o.request == a.request) {
        ++counts_["hedges"];
        break;
      }
    const bool slow = happens(scenario_.slowShare);
    out_.push_back({a.request, a.attempt, a.endpoint, now_, a.timeLimit,
                    slow ? now_ + scenario_.slowTime : Timestamp{}});
    if (happens(scenario_.exactCounts ? 0.7 : 0)) openFor(a.endpoint);  // else no new connection is begun
    if (a.attempt == 0 && a.request != asked_) ++counts_["waits"];
    if (a.attempt == 0 && q.hasKey) {
      const auto before = hostOfKey_.find(q.key);
      if (before != hostOfKey_.end() && before->second == a.endpoint) ++counts_["key returns"];
      hostOfKey_[q.key] = a.endpoint;
    }
    if (a.attempt > 0) noteRetry(q);
    if (q.maxAttempts != kNone && a.attempt + 1 == q.maxAttempts) ++counts_["requests at their most"];
    if (a.attempt >= q.maxAttempts) ++counts_["sends beyond a bound"];
    if (reach_.count(a.endpoint) && reach_[a.endpoint] == Reachability::probeOnly) {
      ++counts_["probes sent"];
      reach_[a.endpoint] = Reachability::unreachable;
    }
    noteHost(a.endpoint);
  }

  void noteRetry(const Request& q) {
    ++counts_["retries"];
    if (q.classIndex >= settings_.classes.size()) return;
    const ClassSettings& c = settings_.classes[q.classIndex];
    if (c.idempotency == Idempotency::safe) ++counts_["retries of retryable"];
    if (c.idempotency != Idempotency::keyed) return;
    const std::string groups[] = {"all", "zone", "cell"};
    ++counts_["retries of dedup, " + groups[static_cast<std::size_t>(c.dedupScope)]];
  }

  void noteHost(EndpointId id) {
    for (const EndpointInfo& e : hosts_) {
      if (balancer_.findEndpoint(e.address) != id) continue;
      if (e.startedAt > Timestamp{} && now_ - e.startedAt < settings_.slowStartDuration)
        ++counts_["sends to cold hosts"];
      const auto out = balancer_.attemptsInFlight(id);
      if (out == static_cast<std::uint32_t>(e.maxInFlight)) ++counts_["hosts at their most"];
      if (out > static_cast<std::uint32_t>(e.maxInFlight)) ++counts_["sends beyond a bound"];
    }
  }

  // The queries, for one host after another, and for one that nobody has named.
  void ask() {
    const EndpointId host = balancer_.findEndpoint(hosts_[asks_++ % hosts_.size()].address);
    for (const EndpointId id : {host, balancer_.findEndpoint("nobody")}) {
      queries_.number(id);
      queries_.number(balancer_.isAvoided(id));
      queries_.number(balancer_.openConnections(id));
      queries_.number(balancer_.attemptsInFlight(id));
    }
  }

  // Weights told of a host: without a load, and with so much that the excess is 4 or 16, see the top.
  static constexpr double kNoLoad = 24, kLoaded = 4, kVeryLoaded = 1;

  Scenario scenario_;
  Settings settings_;  // in force
  std::mt19937_64 engine_;
  Timestamp now_{seconds(100)}, wake_{};
  LoadBalancer balancer_;
  std::vector<EndpointInfo> hosts_;
  std::vector<OutAttempt> out_;
  std::map<RequestId, Request> requests_;
  std::set<RequestId> open_;  // those with a class index that may still be open
  std::set<RequestId> left_;  // by their clients
  std::map<RequestId, bool> over_;
  std::map<AttemptName, bool> cancelled_;
  std::set<AttemptName> started_;
  std::map<std::uint64_t, EndpointId> hostOfKey_;
  std::map<EndpointId, Reachability> reach_;
  std::map<EndpointId, std::uint32_t> connections_;
  std::map<std::uint32_t, std::size_t> askedBy_;
  std::map<std::string, std::size_t> counts_;
  Digest digest_, queries_;
  int next_ = 0;
  RequestId asked_ = 0;  // the request of this event
  std::size_t last_ = 0, asks_ = 0;
};

std::vector<std::string> played() {
  std::vector<std::string> lines;
  for (const Scenario& s : scenarios()) lines.push_back(Play(s).run());
  return lines;
}

TEST(Recorded, ActionsAreThoseOfBefore) {
  std::ifstream file(recordFile);
  std::vector<std::string> lines;
  for (std::string line; std::getline(file, line);) lines.push_back(line);
  EXPECT_EQ(played(), lines);
}

TEST(Recorded, EachScenarioExercisesItsSubject) {
  for (const Scenario& s : scenarios()) {
    Play play(s);
    const std::string line = play.run();
    for (const std::string& subject : s.subjects)
      EXPECT_GE(play.count(subject), kSubjectFloor) << subject << " in " << line;
    EXPECT_EQ(play.count("sends beyond a bound"), 0u) << line;
  }
}

}  // namespace

int run(int argc, char** argv) {
  if (argc == 3 && std::string(argv[1]) == "--record") {
    std::ofstream file(argv[2]);
    for (const std::string& line : played()) file << line << "\n";
    return file.good() ? 0 : 1;
  }
  ::testing::InitGoogleTest(&argc, argv);
  recordFile = argc > 1 ? argv[1] : "";
  return RUN_ALL_TESTS();
}

}  // namespace cairnjunction::policy::testing

int main(int argc, char** argv) { return cairnjunction::policy::testing::run(argc, argv); }

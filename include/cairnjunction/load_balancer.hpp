// The decisions of an HTTP load balancer run as a small bank of proxies.
//
// The embedding proxy feeds a Balancer with events and the clock, and carries out the actions that
// come back. The Balancer does no I/O, reads no clock, starts no thread and keeps no globals: the same
// seed, settings and events give the same actions.
//
// Misuse: an event that names an unknown request, attempt or host is ignored; so is a second request
// under an id that is still open. A request of an unknown class is handled as Effect::fragile with the
// lowest worth. Settings that make no sense are rejected by the constructor (std::invalid_argument).
#pragma once

#include <chrono>
#include <climits>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cairnjunction/time.hpp"

namespace cairnjunction::policy {

using RequestId = std::uint64_t;   // chosen by the caller, never used again
using EndpointId = std::uint32_t;  // given out by the Balancer at first sight of an address; see forget
inline constexpr std::uint32_t kNone = UINT32_MAX;

enum class Idempotency { safe, keyed, unsafe };  // may it run again?
enum class DedupScope { all, zone, cell };       // which hosts drop repeats of a dedup request together

struct ClassSettings {
  std::string name;
  Duration latencyObjective{};  // full worth up to here
  Duration clientTimeout{};     // the client's total wait
  Duration dedupWindow{};       // dedup: how long repeats are dropped
  Idempotency idempotency = Idempotency::unsafe;
  DedupScope dedupScope = DedupScope::all;
  double priorityWeight = 1;
  double lateValueFraction = 0;    // share of the worth for an answer past the aim
  double objectiveCostFactor = 0;  // extra time on the aim, in multiples of the request's cost
  bool serializedByKey = false;    // requests with one key go one at a time, in order, over all such classes
  std::optional<std::vector<std::string>> allowedZones;  // the only zones it may be sent to; absent: any
  std::optional<std::vector<std::string>>
      allowedMachineKinds;  // the only machine kinds; an empty list allows none
};

struct TenantSettings {
  std::string name;
  double quotaPerSecond = 0;  // over all gateways; 0 = no quota
};

struct Settings {
  std::uint64_t seed = 1;
  std::uint32_t gatewayCount = 1;  // gateways in the bank, this one included
  std::uint32_t gatewayIndex = 0;  // this gateway's number among them, from 0
  std::string zone;
  std::vector<ClassSettings> classes;
  std::vector<TenantSettings> tenants;
  double overQuotaWeightFactor = 0.1;  // worth left to what a tenant sends beyond its quota
  bool pollDiscovery = false;          // the host list comes only when asked for
  bool loadReports = false;        // HostEntry::weight falls with what a host holds: size / (1 + held a core)
  bool hedging = false;            // a second attempt may be out while the first runs
  bool keyAffinity = false;        // a host that lately served a key serves it with less work
  bool retryAfterAllowed = false;  // clients receive a retry-after
  bool cancelAllowed = false;      // attempts may be cancelled
  std::uint32_t maxAttempts = 1;   // for one request
  std::uint32_t streamsPerConnection = 1;  // attempts that one connection carries at a time
  std::uint32_t maxInFlight = 0;           // attempts that the gateway can have out at all; 0 = no such bound
  Duration idleTimeout{};                  // a connection without use is closed after this; 0 = never
  Duration maxRetryAfter{};                // the longest that clients heed
  Duration maxPollInterval{};              // askDiscovery: longest silence towards discovery; 0 = no limit
  Duration eventInterval{};                // spacing of the event batches: how late the clock may be read
  Duration slowStartDuration{};            // a host is warm this long after its start
  double slowStartInitialFraction = 1;     // share of its capacity that it starts with
  double collapseLoadFactor = 3;           // a cold host falls when sent this multiple of its capacity
  Duration collapseWindow{};               // for this long
  Duration keyCooldown{};                  // inTurn: a key rests so long after a time-out, reset or cancel
};

enum class EndpointState { active, draining, removed };

struct EndpointInfo {
  std::string address;
  std::string zone;
  std::string machineKind;  // machine kind
  std::int64_t cell = 0;
  double weight = 1;  // comparable across hosts
  EndpointState state = EndpointState::active;
  Timestamp startedAt{};      // latest start; zero = long past
  int maxInFlight = INT_MAX;  // out to it at a time, from 1 on
};

enum class EndpointListKind { update, replace, restored, unavailable };

struct Request {
  RequestId id = 0;
  std::uint32_t classIndex = kNone;   // into Settings::classes
  std::uint32_t tenantIndex = kNone;  // into Settings::tenants
  Duration timeRemaining{};           // until the client gives this try up
  Duration expectedCost{};            // expected work; zero = not known
  std::uint64_t key = 0;
  bool hasKey = false;
  std::uint32_t maxAttempts = kNone;  // from 1 on, beside Settings::maxAttempts
};

enum class Outcome {
  served,
  error,          // may have run
  overloaded,     // turned away unseen
  timeout,        // may have run
  connectFailed,  // never ran
  reset,          // may have run
  cancelled,      // may have run
  notSent,        // not sent
  invalidRequest  // the host found fault with the request itself; may have run
};

// Why an attempt ended as it did, where the one who carried it knows.
enum class FailureReason {
  unknown,              // as all are where nothing is told
  connectionRefused,    // connectFailed: the host's machine answered that nobody takes connections
  connectTimeout,       // connectFailed: the new connection did not come up in the time for it
  attemptTimeout,       // connectFailed: the attempt's own time ended before that
  noDescriptor,         // connectFailed: the gateway had none left, which says nothing of the host
  brokenWhileWriting,   // connectFailed: the connection broke before the last byte was written
  cancelledBeforeSend,  // connectFailed: taken back unwritten; the list drained, dropped or moved the host,
                        // or the client left
  malformedResponse     // error, reset: what came is no answer that can be read
};

enum class ConnectionUse {
  unknown,
  none,    // there was no connection
  opened,  // opened for this attempt
  reused   // opened before
};

struct AttemptResult {
  RequestId request = 0;
  std::uint32_t attempt = 0;
  EndpointId endpoint = kNone;
  Outcome outcome = Outcome::served;
  Duration elapsed{};
  bool endsRequest = false;  // nothing more is owed for the request
  FailureReason failureReason = FailureReason::unknown;
  ConnectionUse connectionUse = ConnectionUse::unknown;
  bool connectionKept = false;  // the connection stays open; told by those who tell the carrier
};

// What is believed of the way to a host, by one who sees its connections. Hosts are open until told
// otherwise.
enum class Reachability {
  reachable,
  probeOnly,   // one attempt may be sent, to find out; once it is sent the host is closed
  unreachable  // no connection can be had: nothing is sent, and it is no part of the pool's capacity
};

enum class ActionKind {
  send,
  reject,
  fail,
  cancel,
  closeIdle,
  forgetEndpoint,
  scheduleWake,
  pollEndpoints,
  log
};

struct Action {
  ActionKind kind = ActionKind::log;
  RequestId request = 0;      // send, refuse, fail, cancel
  std::uint32_t attempt = 0;  // send, cancel: number of the attempt, from 0
  // send; close: its idle connections; forget: gone, no open request names it, its id may be given out again
  EndpointId endpoint = kNone;
  Duration timeLimit{};   // send: how long the attempt may take
  Duration retryAfter{};  // reject: what the client is told to wait; 0 = nothing
  Timestamp wakeAt{};     // scheduleWake
  std::string text;       // log
};

class LoadBalancer {
 public:
  // Throws std::invalid_argument that says which setting is wrong.
  LoadBalancer(Settings settings, Timestamp now);
  ~LoadBalancer();
  LoadBalancer(LoadBalancer&&) noexcept;
  LoadBalancer& operator=(LoadBalancer&&) noexcept;

  // New settings while requests are open. An open request keeps its class's index, so at each index that one
  // has the class must be as it was; others may be given anew. Seed, zone, number, groupSize, askDiscovery,
  // streamsPerConnection and step stay as they were at the start. Throws like the constructor, and then
  // nothing has changed.
  void configure(Timestamp now, Settings settings);
  void onEndpoints(Timestamp now, EndpointListKind kind, const std::vector<EndpointInfo>& entries);
  void onRequest(Timestamp now, const Request& request);
  void onResponseStarted(Timestamp now, RequestId request, std::uint32_t attempt);  // streamed classes
  void onResult(Timestamp now, const AttemptResult& result);
  void onClientDisconnected(Timestamp now, RequestId request);
  void onWake(Timestamp now);  // at or after the time asked for in ActionKind::wake; extra calls do no harm
  // `startedAfter`: its process is no older than this, whatever the list says of its start; zero: not known.
  void onReachability(Timestamp now, EndpointId host, Reachability reach, Timestamp startedAfter = {});
  // How many connections to the host are open or being opened. Once told, it is taken for exact, and every
  // change is to be told.
  void onConnections(EndpointId host, std::uint32_t open);

  // Actions since the last clear, in the order in which they are to be carried out.
  std::vector<Action>& actions();

  EndpointId findEndpoint(std::string_view address) const;  // kNone if no list has named it
  const std::string& address(EndpointId host) const;
  double cutoff() const;               // 0 to 100: scores below it are refused now
  std::size_t activeRequests() const;  // requests and attempts not yet over
  // What is believed of a host: attempts out to it; open connections. 0 for an unknown host.
  std::uint32_t attemptsInFlight(EndpointId host) const;
  std::uint32_t openConnections(EndpointId host) const;
  bool isAvoided(
      EndpointId host) const;  // ejected, silent or out of reach: nothing but a trial is sent there

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cairnjunction::policy

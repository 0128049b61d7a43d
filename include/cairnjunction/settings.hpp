// Settings of a load balancer: classes of requests, tenants, and the rules of the deployment.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cairnjunction/time.hpp"

namespace cairnjunction::policy {

// Whether a request may run more than once.
enum class Idempotency : std::uint8_t {
  safe,   // any number of times, anywhere
  keyed,  // endpoints drop repeats, within the class's DedupScope and dedupWindow
  unsafe  // never again once it may have run
};

// Which endpoints drop repeats of a keyed request together.
enum class DedupScope : std::uint8_t {
  all,
  zone,  // those of one zone
  cell   // those of one zone and cell
};

struct ClassSettings {
  std::string name;             // not empty
  Duration latencyObjective{};  // an answer has its full value up to here; above zero
  Duration clientTimeout{};     // the client's total wait, over all its tries; at least latencyObjective
  Duration dedupWindow{};       // keyed: how long endpoints remember a request
  Idempotency idempotency = Idempotency::unsafe;
  DedupScope dedupScope = DedupScope::all;
  double priorityWeight = 1;     // value of an answer in time; 0 or more
  double lateValueFraction = 0;  // share of that value which an answer past the objective still has; 0 to 1
  double objectiveCostFactor =
      0;                         // the objective is longer by this multiple of the request's cost; 0 or more
  bool serializedByKey = false;  // requests of one key run one at a time, in order, over all such classes
  std::optional<std::vector<std::string>> allowedZones;  // it may be sent to these only; absent: to any
  std::optional<std::vector<std::string>> allowedMachineKinds;  // the same; an empty list allows none
};

struct TenantSettings {
  std::string name;
  double quotaPerSecond = 0;  // requests, over all gateways; 0: no quota
};

struct Settings {
  std::uint64_t seed = 1;              // of the random draws
  std::uint32_t gatewayCount = 1;      // in the deployment, this one included; at least 1
  std::uint32_t gatewayIndex = 0;      // this gateway's number among them, from 0
  std::string zone;                    // this gateway's
  std::vector<ClassSettings> classes;  // at least one; a request names its class by the index
  std::vector<TenantSettings> tenants;
  double overQuotaWeightFactor =
      0.1;                         // of the priority weight, for what a tenant sends beyond its quota; 0 to 1
  bool pollDiscovery = false;      // endpoint lists come only when polled for
  bool loadReports = false;        // EndpointInfo::weight falls with the load: size / (1 + requests a core)
  bool hedging = false;            // a second attempt may be in flight beside the first
  bool keyAffinity = false;        // an endpoint that lately served a key serves it with less work
  bool retryAfterAllowed = false;  // clients heed a retry-after
  bool cancelAllowed = false;      // attempts may be cancelled
  std::uint32_t maxAttempts = 1;   // for one request; at least 1
  std::uint32_t streamsPerConnection = 1;  // attempts that one connection carries at a time; at least 1
  std::uint32_t maxInFlight = 0;           // attempts of this gateway to all endpoints; 0: no such limit
  Duration idleTimeout{};                  // a connection without use is closed after this; 0: never
  Duration maxRetryAfter{};                // the longest that clients heed
  Duration maxPollInterval{};              // pollDiscovery: longest silence towards discovery; 0: no limit
  Duration eventInterval{};             // events come in batches of this spacing: how late they may be seen
  Duration slowStartDuration{};         // after its start an endpoint reaches its full capacity in this time
  double slowStartInitialFraction = 1;  // share of its capacity that it starts with; above 0, to 1
  // An endpoint collapses when it is sent this multiple of its capacity (above 0) for collapseWindow.
  double collapseLoadFactor = 3;
  Duration collapseWindow{};
  Duration keyCooldown{};  // serializedByKey: a key rests so long after an attempt of unknown end
};

}  // namespace cairnjunction::policy

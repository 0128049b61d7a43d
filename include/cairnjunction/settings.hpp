// Settings of a load balancer: request classes, tenants and properties of the deployment.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cairnjunction/time.hpp"

namespace cairnjunction::policy {

// Whether a request may be executed more than once.
enum class Idempotency : std::uint8_t {
  safe,   // any number of times, at any endpoint
  keyed,  // endpoints deduplicate repeats, within the class's dedupScope and dedupWindow
  unsafe  // not repeated once it may have been executed
};

// Which endpoints deduplicate repeats of a keyed request jointly.
enum class DedupScope : std::uint8_t {
  all,   // all endpoints
  zone,  // endpoints of the same zone
  cell   // endpoints of the same zone and cell
};

struct ClassSettings {
  std::string name;             // not empty
  Duration latencyObjective{};  // an answer within this time has its full value; above zero
  Duration clientTimeout{};  // the client's total wait, including its own retries; at least latencyObjective
  Duration dedupWindow{};    // keyed: how long endpoints deduplicate a request
  Idempotency idempotency = Idempotency::unsafe;
  DedupScope dedupScope = DedupScope::all;
  double priorityWeight = 1;     // value of an answer within the objective; 0 or more
  double lateValueFraction = 0;  // fraction of that value for a later answer; 0 to 1
  double objectiveCostFactor =
      0;  // this multiple of the request's expected cost is added to the objective; 0 or more
  bool serializedByKey = false;  // requests of one key run one at a time, in order, across all such classes
  std::optional<std::vector<std::string>> allowedZones;         // zones it may be sent to; absent: all
  std::optional<std::vector<std::string>> allowedMachineKinds;  // likewise; an empty list allows none
};

struct TenantSettings {
  std::string name;
  double quotaPerSecond = 0;  // requests, summed over all gateways; 0: no quota
};

struct Settings {
  std::uint64_t seed = 1;              // for the random draws
  std::uint32_t gatewayCount = 1;      // gateways in the deployment, including this one; at least 1
  std::uint32_t gatewayIndex = 0;      // number of this gateway among them, from 0
  std::string zone;                    // zone of this gateway
  std::vector<ClassSettings> classes;  // at least one; requests refer to their class by index
  std::vector<TenantSettings> tenants;
  double overQuotaWeightFactor =
      0.1;  // factor on the priority weight of requests beyond their tenant's quota; 0 to 1
  bool pollDiscovery = false;      // endpoint lists and updates arrive only after a poll
  bool loadReports = false;        // weights are load reports: unloaded weight / (1 + requests per core)
  bool hedging = false;            // allows a second concurrent attempt
  bool keyAffinity = false;        // prefers endpoints that need less work for a key served recently
  bool retryAfterAllowed = false;  // clients honour Retry-After
  bool cancelAllowed = false;      // attempts may be cancelled
  std::uint32_t maxAttempts = 1;   // per request; at least 1
  std::uint32_t streamsPerConnection = 1;  // concurrent attempts per connection; at least 1
  std::uint32_t maxInFlight = 0;           // attempts of this gateway in flight to all endpoints; 0: no limit
  Duration idleTimeout{};                  // unused connections are closed after this time; zero: never
  Duration maxRetryAfter{};                // longest Retry-After that clients honour
  Duration maxPollInterval{};              // pollDiscovery: longest time between failed polls; zero: no limit
  Duration eventInterval{};                // events arrive in batches at this interval: their longest delay
  Duration slowStartDuration{};            // time from its start until an endpoint has its full capacity
  double slowStartInitialFraction = 1;     // fraction of its capacity at its start; above 0, up to 1
  // An endpoint collapses when its load is this multiple of its capacity (above 0) for collapseWindow.
  double collapseLoadFactor = 3;
  Duration collapseWindow{};
  Duration keyCooldown{};  // serializedByKey: pause of a key after an attempt whose outcome is unknown
};

}  // namespace cairnjunction::policy

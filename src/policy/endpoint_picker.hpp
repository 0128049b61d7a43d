// Endpoint picker: which endpoint an attempt is sent to.
#pragma once

#include <optional>
#include <vector>

#include "policy/connect_backoff.hpp"
#include "policy/connection_age.hpp"
#include "policy/outlier_detection.hpp"
#include "policy/relative_latency.hpp"
#include "policy/retry_policy.hpp"
#include "policy/slow_start.hpp"

namespace cairnjunction::policy {

// Picks in this order among the candidates, which are this gateway's subset, or more of the pool while none
// of the subset is idle:
// 1. for a first attempt, an idle endpoint in slow start, where requests are few;
// 2. with key affinity, the first idle one of the few that the key hashes to (rendezvous hashing);
// 3. an idle one, by a weighted draw;
// 4. the less loaded of two draws.
class EndpointPicker {
 public:
  // What the picker reads and draws from. All must outlive it.
  struct Inputs {
    const Settings& settings;
    EndpointTable& endpoints;
    const TrafficRates& rates;
    const LatencyTracker& latency;
    const OutlierDetector& outliers;
    const SlowStart& slowStart;
    const RetryPolicy& retryPolicy;
    const ConnectionAgeTracker& connections;
    const ConnectBackoff& connectBackoff;
    Random& random;
  };

  explicit EndpointPicker(const Inputs& inputs) : in_(inputs) {}

  // nullopt: there is none that it may be sent to.
  std::optional<EndpointId> pick(const ActiveRequest& request, Timestamp now);

 private:
  // anyAllowed: only what the rules forbid or what is known to fail is left out. Better than no endpoint at
  // all.
  enum class Requirement : std::uint8_t { healthy, anyAllowed };

  void collectCandidates(const ActiveRequest& request, Requirement requirement, Timestamp now);
  bool isCandidate(const ActiveRequest& request, EndpointId id, Requirement requirement, Timestamp now) const;
  bool isHealthy(const Endpoint& endpoint, Timestamp now) const;
  bool isIdle(const Endpoint& endpoint) const;
  std::optional<EndpointId> pickSlowStarting(const ActiveRequest& request, Timestamp now);
  std::optional<EndpointId> pickByKey(std::uint64_t key);
  std::optional<EndpointId> drawIdle(std::uint32_t classIndex);
  EndpointId drawLessLoaded(std::uint32_t classIndex);

  Inputs in_;
  double idleInFlightLimit_ = 1;        // in flight to an endpoint of median latency: with fewer it is idle
  std::vector<EndpointId> candidates_;  // of the present pick
};

}  // namespace cairnjunction::policy

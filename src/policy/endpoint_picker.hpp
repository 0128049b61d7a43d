// Endpoint picker: chooses the endpoint that an attempt is sent to.
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

// Candidates are the endpoints of this gateway's subset, plus further ones of the pool while none of the
// subset is idle. Picks, in this order of preference:
// 1. for a first attempt, where requests are rare, an idle endpoint in slow start;
// 2. with key affinity, the first idle one of the few endpoints that the key hashes to (rendezvous hashing);
// 3. an idle endpoint, by a weighted random draw;
// 4. the less loaded of two endpoints drawn at random.
class EndpointPicker {
 public:
  // All referenced objects must outlive the picker.
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

  explicit EndpointPicker(const Inputs& inputs) : inputs_(inputs) {}

  // nullopt if no endpoint may receive the attempt.
  std::optional<EndpointId> pick(const ActiveRequest& request, Timestamp now);

 private:
  // anyAllowed: the fallback if no endpoint is healthy; excludes only endpoints that are not allowed or
  // certain to fail.
  enum class Requirement : std::uint8_t { healthy, anyAllowed };

  void collectCandidates(const ActiveRequest& request, Requirement requirement, Timestamp now);
  bool isCandidate(const ActiveRequest& request, EndpointId id, Requirement requirement, Timestamp now) const;
  bool isHealthy(const Endpoint& endpoint, Timestamp now) const;
  bool isIdle(const Endpoint& endpoint) const;
  std::optional<EndpointId> pickSlowStarting(const ActiveRequest& request, Timestamp now);
  std::optional<EndpointId> pickByKey(std::uint64_t key);
  std::optional<EndpointId> drawIdle(std::uint32_t classIndex);
  EndpointId drawLessLoaded(std::uint32_t classIndex);

  Inputs inputs_;
  double idleInFlightLimit_ = 1;        // an endpoint of median latency with fewer attempts in flight is idle
  std::vector<EndpointId> candidates_;  // of the current pick
};

}  // namespace cairnjunction::policy

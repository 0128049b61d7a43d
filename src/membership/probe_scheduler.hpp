// When unreachable endpoints are probed. A probe is a real request that is sent to such an endpoint as its
// first attempt, so its price is that the request may start late.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "membership/endpoint_status.hpp"
#include "membership/settings.hpp"

namespace cairnjunction {

// A token bucket: so many probes a second over all endpoints, and a small burst after a pause.
class ProbeRateLimiter {
 public:
  explicit ProbeRateLimiter(double perSecond) : perSecond_(perSecond) {}

  // Adds the tokens for the time since the last call; the first call only begins to count.
  void refill(policy::Timestamp now);
  bool available() const { return tokens_ >= 1; }
  // Takes one token; there must be one available.
  void take() { tokens_ -= 1; }

 private:
  double perSecond_;
  double tokens_ = 1;               // from 0 to the burst
  policy::Timestamp refilledAt_{};  // zero before the first refill()
};

// The pause before the next probe of an endpoint that is unreachable for `reason`, after so many probes of it
// failed in a row.
policy::Duration probeBackoff(const EndpointHealthSettings& settings, ConditionReason reason, int failures);

// Chooses whose probes are sent now.
class ProbeScheduler {
 public:
  explicit ProbeScheduler(const EndpointHealthSettings& settings) : limiter_(settings.probesPerSecond) {}

  // Of the endpoints below `count`, those that are due, as far as the rate allows. Each call begins behind
  // the last endpoint that was chosen: with many of them due, the last ones would otherwise never be probed.
  std::vector<policy::EndpointId> chooseDue(policy::Timestamp now, std::size_t count,
                                            const std::function<bool(policy::EndpointId)>& isDue);
  std::uint64_t probesStarted() const { return probesStarted_; }  // chosen since the start

 private:
  ProbeRateLimiter limiter_;
  std::size_t next_ = 0;  // where the next round begins; may be the count
  std::uint64_t probesStarted_ = 0;
};

}  // namespace cairnjunction

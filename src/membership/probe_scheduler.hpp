// Schedules the probes of unreachable endpoints. A probe is a real request whose first attempt is sent to an
// unreachable endpoint; if the probe fails, that request is delayed.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "membership/endpoint_status.hpp"
#include "membership/settings.hpp"

namespace cairnjunction {

// A token bucket that limits the probes of all endpoints together: a rate, and a small burst after a pause.
class ProbeRateLimiter {
 public:
  // `perSecond`: probes per second.
  explicit ProbeRateLimiter(double perSecond) : perSecond_(perSecond) {}

  // Adds the tokens for the time since the last call; the first call only sets the starting time.
  void refill(policy::Timestamp now);
  bool hasToken() const { return tokens_ >= 1; }
  // Removes one token; hasToken() must be true.
  void takeToken() { tokens_ -= 1; }

 private:
  double perSecond_;
  double tokens_ = 1;               // from 0 to the burst size
  policy::Timestamp refilledAt_{};  // zero before the first refill()
};

// Returns the pause before the next probe of an endpoint that is unreachable for `reason`; `failures` is the
// number of probes that have failed since it became unreachable.
policy::Duration probeBackoff(const EndpointHealthSettings& settings, ConditionReason reason, int failures);

// Chooses the endpoints to probe now.
class ProbeScheduler {
 public:
  explicit ProbeScheduler(const EndpointHealthSettings& settings) : limiter_(settings.probesPerSecond) {}

  // Returns those endpoints with ids below `count` for which `isDue` returns true, as many as the rate limit
  // allows. Each call starts after the endpoint chosen last: if many are due, those with the highest ids
  // would otherwise never be probed.
  std::vector<policy::EndpointId> chooseDue(policy::Timestamp now, std::size_t count,
                                            const std::function<bool(policy::EndpointId)>& isDue);
  std::uint64_t probesStarted() const { return probesStarted_; }  // endpoints chosen since construction

 private:
  ProbeRateLimiter limiter_;
  std::size_t nextIndex_ = 0;  // where the next call of chooseDue() starts; may equal `count`
  std::uint64_t probesStarted_ = 0;
};

}  // namespace cairnjunction

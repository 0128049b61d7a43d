// Slow start: limits the rate of attempts to endpoints that have just started, over all gateways together.
#pragma once

#include <algorithm>

#include "policy/endpoint_table.hpp"
#include "policy/random.hpp"
#include "policy/traffic_rates.hpp"

namespace cairnjunction::policy {

// An endpoint starts with a fraction of its capacity and collapses if its load from all gateways together is
// a multiple of that (Settings::collapseLoadFactor). So each gateway limits its own attempts with a token
// bucket per endpoint. The bucket fills at the rate at which an endpoint of the same machine kind past slow
// start answers this gateway, times the slow start fraction, times a safe part of the collapse load factor.
// Each attempt spends a token, including attempts that the endpoint rejects. The rate may be far below one
// attempt per collapse window: a minimum of one attempt, times hundreds of gateways, would overload the
// endpoint.
class SlowStart {
 public:
  // Both references must outlive this object.
  SlowStart(const Settings& settings, const TrafficRates& rates) : settings_(settings), rates_(rates) {}

  bool isActive(const Endpoint& endpoint, Timestamp now) const {
    const Timestamp start = startOf(endpoint);
    return start > Timestamp{} && now - start < settings_.slowStartDuration;
  }
  // Fraction of its capacity that the endpoint has: rises from slowStartInitialFraction to 1.
  double capacityFraction(const Endpoint& endpoint, Timestamp now) const;

  // Refills the endpoint's bucket and returns whether it may receive an attempt.
  bool mayAdmit(Endpoint& endpoint, const EndpointTable& endpoints, Timestamp now) const {
    return !isActive(endpoint, now) || refill(endpoint, endpoints, now) >= 1;
  }
  // Records that an attempt is sent.
  void recordSend(Endpoint& endpoint, Timestamp now) const;
  // The endpoint has a new process. Its bucket starts at a random level, so that many gateways do not send
  // their first requests simultaneously.
  static void reset(Endpoint& endpoint, Timestamp now, Random& random);

  // Updates the answer rates of each machine kind and resets every endpoint's count of answers. Must be
  // called once every kUpdateInterval.
  void update(EndpointTable& endpoints, Timestamp now) const;

 private:
  // The latest known start of the endpoint's process; zero: long ago.
  static Timestamp startOf(const Endpoint& endpoint) {
    return std::max(endpoint.info.startedAt, endpoint.startedAfter);
  }
  // Adds the tokens gained since the last refill; returns the tokens available.
  double refill(Endpoint& endpoint, const EndpointTable& endpoints, Timestamp now) const;

  const Settings& settings_;
  const TrafficRates& rates_;
};

}  // namespace cairnjunction::policy

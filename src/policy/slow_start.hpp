// Slow start: how much an endpoint that has just started may be sent, by all gateways together.
#pragma once

#include <algorithm>

#include "policy/endpoint_table.hpp"
#include "policy/random.hpp"
#include "policy/traffic_rates.hpp"

namespace cairnjunction::policy {

// An endpoint starts with a fraction of its capacity and collapses when all gateways together send it a
// multiple of that (Settings::collapseLoadFactor). So each gateway limits its own part by a token bucket for
// the endpoint. It fills at the rate at which endpoints of the same machine kind past their slow start answer
// this gateway, times the capacity fraction, times a safe share of the collapse load factor. Each attempt
// spends a token, rejected ones too. The rate may be far below one attempt in a collapse window: a floor of
// one attempt, times hundreds of gateways, would overload the endpoint.
class SlowStart {
 public:
  // Both must outlive this object.
  SlowStart(const Settings& settings, const TrafficRates& rates) : settings_(settings), rates_(rates) {}

  bool isActive(const Endpoint& endpoint, Timestamp now) const {
    const Timestamp start = startOf(endpoint);
    return start > Timestamp{} && now - start < settings_.slowStartDuration;
  }
  // Share of its capacity that the endpoint has: rises from slowStartInitialFraction to 1.
  double capacityFraction(const Endpoint& endpoint, Timestamp now) const;

  // Refills the endpoint's bucket and returns whether it may be sent an attempt.
  bool mayAdmit(Endpoint& endpoint, const EndpointTable& endpoints, Timestamp now) const {
    return !isActive(endpoint, now) || refill(endpoint, endpoints, now) >= 1;
  }
  // Notes that an attempt is sent.
  void recordSend(Endpoint& endpoint, Timestamp now) const;
  // The endpoint has a new process. Its bucket starts at a drawn level: otherwise a first request from every
  // one of many gateways would come at once.
  static void reset(Endpoint& endpoint, Timestamp now, Random& random);

  // Updates the rates that endpoints of each machine kind are proven to carry; to be called once every
  // kUpdateInterval. Begins a new count of every endpoint's answers.
  void update(EndpointTable& endpoints, Timestamp now) const;

 private:
  // The latest start that is known of.
  static Timestamp startOf(const Endpoint& endpoint) {
    return std::max(endpoint.info.startedAt, endpoint.restartedAfter);
  }
  // Returns the tokens.
  double refill(Endpoint& endpoint, const EndpointTable& endpoints, Timestamp now) const;

  const Settings& settings_;
  const TrafficRates& rates_;
};

}  // namespace cairnjunction::policy

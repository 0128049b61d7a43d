// Decisions of an HTTP load balancer that is deployed as a group of gateways: admission, choice of endpoint,
// retries and hedging.
//
// The embedding program passes events with their times to a LoadBalancer and carries out the actions that it
// returns. The LoadBalancer does no I/O, reads no clock, starts no threads and has no global state: the same
// seed, settings and events give the same actions. It is not thread-safe.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "cairnjunction/action.hpp"
#include "cairnjunction/attempt.hpp"
#include "cairnjunction/endpoint.hpp"
#include "cairnjunction/request.hpp"
#include "cairnjunction/settings.hpp"
#include "cairnjunction/time.hpp"

namespace cairnjunction::policy {

// Events that refer to an unknown request, attempt or endpoint are ignored, and so is a request whose id is
// still in use. A request of an unknown class is never retried once it may have been executed, and has the
// lowest priority.
class LoadBalancer {
 public:
  // Throws std::invalid_argument, whose text names the invalid setting. `now`: the current time.
  LoadBalancer(Settings settings, Timestamp now);
  ~LoadBalancer();
  LoadBalancer(const LoadBalancer&) = delete;
  LoadBalancer& operator=(const LoadBalancer&) = delete;
  LoadBalancer(LoadBalancer&& other) noexcept;
  LoadBalancer& operator=(LoadBalancer&& other) noexcept;

  // Replaces the settings while requests are open. Open requests keep their class index, so the class at
  // each index in use must stay the same; other indexes may be reassigned. seed, zone, gatewayIndex,
  // gatewayCount, pollDiscovery, streamsPerConnection and eventInterval keep their initial values. Throws
  // like the constructor and then changes nothing.
  void configure(Timestamp now, Settings settings);

  // An endpoint list has arrived, or could not be fetched. The entries are copied.
  void onEndpoints(Timestamp now, EndpointListKind kind, const std::vector<EndpointInfo>& entries);

  // A request arrived: it is sent, rejected, failed or queued. One answer, or none if its client disconnects.
  void onRequest(Timestamp now, const Request& request);

  // The client has received part of this attempt's response, so no other attempt can answer the request.
  void onResponseStarted(Timestamp now, RequestId request, std::uint32_t attempt);

  // An attempt has ended. Must be called once for every ActionKind::send, even if the request has already
  // been answered; until then the attempt counts as in flight and the request stays open.
  void onResult(Timestamp now, const AttemptResult& result);

  // The client has disconnected and needs no answer.
  void onClientDisconnected(Timestamp now, RequestId request);

  // The time of the last ActionKind::scheduleWake has been reached. Additional calls are harmless.
  void onWake(Timestamp now);

  // The reachability of an endpoint has changed. `startedAfter`: a lower bound for the start of its process,
  // which takes precedence over an older start in the list; zero: unknown.
  void onReachability(Timestamp now, EndpointId endpoint, Reachability reachability,
                      Timestamp startedAfter = {});

  // Reports how many connections to the endpoint are open or being opened. From the first report on the count
  // is treated as exact, so every change must be reported.
  void onConnections(EndpointId endpoint, std::uint32_t open);

  // The actions that events have appended since the caller last cleared this vector, in the order in which
  // they must be carried out. Only the caller clears it. Every event may invalidate references to its
  // elements.
  std::vector<Action>& actions();

  // The id of the endpoint with this address; kNone if it was never listed or has been forgotten.
  EndpointId findEndpoint(std::string_view address) const;

  // Empty for a forgotten endpoint. Throws std::out_of_range for an id that was never assigned.
  const std::string& address(EndpointId endpoint) const;

  // The current cutoff, 0 to 100: requests with a lower priority score are rejected.
  double cutoff() const;

  // Number of requests that are unanswered or have attempts whose result has not been reported.
  std::size_t activeRequests() const;

  // Attempts of this gateway in flight to the endpoint, and connections open to it: as reported by
  // onConnections, or an estimate before the first report. 0 for an unknown endpoint.
  std::uint32_t attemptsInFlight(EndpointId endpoint) const;
  std::uint32_t openConnections(EndpointId endpoint) const;

  // Whether the endpoint is ejected, unresponsive or not reachable. It then receives at most a probe, or
  // attempts for which no healthy endpoint is available. True for an id that was never assigned.
  bool isAvoided(EndpointId endpoint) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cairnjunction::policy

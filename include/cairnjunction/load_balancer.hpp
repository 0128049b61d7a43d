// The decisions of an HTTP load balancer run as a group of gateways: admission, endpoint choice, retries,
// hedging.
//
// The embedding program feeds a LoadBalancer with events and the time of each, and carries out the actions
// that come back. The LoadBalancer does no I/O, reads no clock, starts no thread and keeps no globals: the
// same seed, settings and events give the same actions. It is not thread-safe.
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

// Events that name an unknown request, attempt or endpoint are ignored; so is a second request under an id
// that is still open. A request of an unknown class is never repeated and has the lowest priority.
class LoadBalancer {
 public:
  // Throws std::invalid_argument that says which setting makes no sense.
  LoadBalancer(Settings settings, Timestamp now);
  ~LoadBalancer();
  LoadBalancer(const LoadBalancer&) = delete;
  LoadBalancer& operator=(const LoadBalancer&) = delete;
  LoadBalancer(LoadBalancer&& other) noexcept;
  LoadBalancer& operator=(LoadBalancer&& other) noexcept;

  // New settings while requests are open. An open request keeps its class's index, so at each index that one
  // has the class must be as it was; others may be given anew. seed, zone, gatewayIndex, gatewayCount,
  // pollDiscovery, streamsPerConnection and eventInterval stay as they were at the start. Throws like the
  // constructor, and then nothing has changed.
  void configure(Timestamp now, Settings settings);

  // An endpoint list, or news that there is none. The entries are copied.
  void onEndpoints(Timestamp now, EndpointListKind kind, const std::vector<EndpointInfo>& entries);

  // A request has come. It is sent, queued, rejected or failed by actions, and answered exactly once.
  void onRequest(Timestamp now, const Request& request);

  // The client has part of this attempt's response: no other attempt can answer it now.
  void onResponseStarted(Timestamp now, RequestId request, std::uint32_t attempt);

  // An attempt has ended. The caller must report this once for every ActionKind::send, also when the request
  // itself is already answered; until then the attempt counts as in flight and the request is kept.
  void onResult(Timestamp now, const AttemptResult& result);

  // The client is gone and needs no answer.
  void onClientDisconnected(Timestamp now, RequestId request);

  // The time of ActionKind::scheduleWake has come; extra calls do no harm.
  void onWake(Timestamp now);

  // The way to an endpoint has changed. `startedAfter`: its process is no older than this, whatever the list
  // says of its start; zero: not known.
  void onReachability(Timestamp now, EndpointId endpoint, Reachability reachability,
                      Timestamp startedAfter = {});

  // How many connections to the endpoint are open or being opened. Once reported, the count is taken for
  // exact, and every change is to be reported.
  void onConnections(EndpointId endpoint, std::uint32_t open);

  // The actions that events have added since the caller last cleared this vector, in the order in which to
  // carry them out. Only the caller clears it. Events append to it, so references to its elements do not
  // survive an event.
  std::vector<Action>& actions();

  // kNone if no list has named the address, or it was forgotten.
  EndpointId findEndpoint(std::string_view address) const;

  // Empty for one that was forgotten. Throws std::out_of_range for an id that was never given out.
  const std::string& address(EndpointId endpoint) const;

  // 0 to 100: requests with a lower priority score are rejected now.
  double cutoff() const;

  // Requests that are not answered yet, or have attempts whose result was not reported yet.
  std::size_t activeRequests() const;

  // Attempts of this gateway that are in flight to the endpoint, and its open connections: as reported by
  // onConnections, or an estimate before the first report. 0 for an unknown endpoint.
  std::uint32_t attemptsInFlight(EndpointId endpoint) const;
  std::uint32_t openConnections(EndpointId endpoint) const;

  // Ejected, unresponsive or not reachable: it is sent a probe at most, or what no healthy endpoint can take.
  // True for an id that was never given out.
  bool isAvoided(EndpointId endpoint) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace cairnjunction::policy

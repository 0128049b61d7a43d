// Backoff for new connections after connection failures.
#pragma once

#include "policy/endpoint_record.hpp"
#include "policy/random.hpp"

namespace cairnjunction::policy {

// Delays new connections: to one endpoint after a connection to it failed, and to all endpoints while this
// gateway is out of descriptors. Open connections are not affected and stay in use.
class ConnectBackoff {
 public:
  // A connection to the endpoint could not be opened. No new one is opened for 1 s, doubled with each
  // consecutive failure up to 8 s, times a random factor from 0.5 to 1.5.
  static void recordFailure(Endpoint& endpoint, Timestamp now, Random& random);
  // This gateway had no descriptor left: no new connections for 20 ms.
  void recordNoDescriptor(Timestamp now);
  // An attempt on a new connection was served.
  static void recordSuccess(Endpoint& endpoint) { endpoint.connections.connectFailures = 0; }
  // The endpoint was reported reachable: ends its backoff.
  static void allowNow(Endpoint& endpoint, Timestamp now) { endpoint.connections.connectAfter = now; }
  // The endpoint has a new process: its failures no longer count.
  static void reset(Endpoint& endpoint) { endpoint.connections.connectFailures = 0; }

  // Whether this gateway is assumed to have descriptors for new connections.
  bool hasDescriptors(Timestamp now) const { return now >= connectAfter_; }
  // Whether a new connection to the endpoint may be opened.
  static bool mayConnect(const Endpoint& endpoint, Timestamp now) {
    return now >= endpoint.connections.connectAfter;
  }

 private:
  Timestamp connectAfter_{};  // assumed to be out of descriptors before this time
};

}  // namespace cairnjunction::policy

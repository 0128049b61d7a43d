// Backoff of new connections after some could not be opened.
#pragma once

#include "policy/endpoint_record.hpp"
#include "policy/random.hpp"

namespace cairnjunction::policy {

// Keeps new connections back: to one endpoint after it could not be connected to, and to all while this
// gateway is out of descriptors. Open connections outlive the trouble of new ones and are used on.
class ConnectBackoff {
 public:
  // A connection to the endpoint could not be opened. No new one is opened for 1 s, doubled with each failure
  // in a row up to 8 s, times a random factor from 0.5 to 1.5.
  static void recordFailure(Endpoint& endpoint, Timestamp now, Random& random);
  // This gateway had no descriptor left.
  void recordNoDescriptor(Timestamp now);
  // An attempt on a new connection was served.
  static void recordSuccess(Endpoint& endpoint) { endpoint.connections.connectFailures = 0; }
  // The endpoint is said to be reachable again.
  static void allowNow(Endpoint& endpoint, Timestamp now) { endpoint.connections.connectAfter = now; }
  // The endpoint has a new process.
  static void reset(Endpoint& endpoint) { endpoint.connections.connectFailures = 0; }

  // Whether this gateway has descriptors for new connections, as far as is known.
  bool mayConnectAtAll(Timestamp now) const { return now >= connectAfter_; }
  // Whether the endpoint may be connected to.
  static bool mayConnect(const Endpoint& endpoint, Timestamp now) {
    return now >= endpoint.connections.connectAfter;
  }

 private:
  Timestamp connectAfter_{};  // out of descriptors until then
};

}  // namespace cairnjunction::policy

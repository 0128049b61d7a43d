// Tracks the connections to endpoints: how many are open and have capacity, how long they have been idle, and
// how often attempts on idle connections are lost.
#pragma once

#include <array>
#include <vector>

#include "policy/endpoint_table.hpp"

namespace cairnjunction::policy {

// A firewall or similar device may drop idle connections without notifying either end; attempts sent on such
// a connection are lost silently. The loss rate is tracked over all endpoints by idle time, in steps that
// double; connections whose idle time has a high loss rate are stale and are closed instead of used.
class ConnectionAgeTracker {
 public:
  // Effect of a send on the endpoint's connections.
  struct SendEffect {
    bool newConnection = false;    // none has capacity: one is opened for the attempt
    std::size_t idleStep = 0;      // step of the idle time of its connection; 0: new or in use
    bool closeStaleFirst = false;  // the idle connections must be closed first
  };

  // `settings` must outlive this object.
  explicit ConnectionAgeTracker(const Settings& settings) : settings_(settings) {}

  // Whether an open connection has capacity for another attempt.
  bool hasCapacity(const Endpoint& endpoint, Timestamp now) const;
  // Whether an open connection that is not stale has capacity for another attempt.
  bool hasFreshCapacity(const Endpoint& endpoint, Timestamp now) const {
    return hasCapacity(endpoint, now) && !isStale(idleStep(endpoint, now));
  }

  // Records that an attempt is sent. Must be called before the attempt is counted in Endpoint::inFlight.
  SendEffect recordSend(Endpoint& endpoint, Timestamp now);
  // Records the outcome of an attempt whose connection had been idle for `idleStep`, as returned by
  // recordSend.
  void recordOutcome(std::size_t idleStep, Outcome outcome);
  // A connection to the endpoint was closed or could not be opened.
  static void recordClosed(Endpoint& endpoint);
  // The embedding program reported the number of open connections; estimates are no longer used.
  static void recordReported(Endpoint& endpoint, std::uint32_t open);
  // The endpoint has a new process: its connections are assumed closed, unless they are reported.
  static void reset(Endpoint& endpoint);

  // Must be called once every kUpdateInterval. Appends to `toClose` the endpoints outside this gateway's
  // subset whose connections are unused: kept open, such connections of all gateways would use up the
  // endpoints' connection limits.
  void update(EndpointTable& endpoints, Timestamp now, std::vector<EndpointId>& toClose);

 private:
  static constexpr std::size_t kIdleSteps = 8;

  std::size_t idleStep(const Endpoint& endpoint, Timestamp now) const;
  bool isStale(std::size_t idleStep) const;

  const Settings& settings_;
  std::array<double, kIdleSteps>
      lossRates_{};  // fraction of attempts lost, by idle step; rises with the step
};

}  // namespace cairnjunction::policy

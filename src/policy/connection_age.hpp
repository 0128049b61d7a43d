// Connections to endpoints: which are open with room, how long they lay idle, and how often attempts are lost
// on idle ones.
#pragma once

#include <array>
#include <vector>

#include "policy/endpoint_table.hpp"

namespace cairnjunction::policy {

// Something on the way to an endpoint may drop idle connections without telling either end, and what is then
// sent on one is lost without a word. Losses are counted over all endpoints by how long the connection lay
// idle, in steps that double; connections that lay idle too long by this count are closed instead of used.
class ConnectionAgeTracker {
 public:
  // What a send does to an endpoint's connections.
  struct Use {
    bool newConnection = false;    // none has room: one is opened for the attempt
    std::size_t idleStep = 0;      // how long the connection used lay idle; 0: new or in use
    bool closeStaleFirst = false;  // the idle ones are to be closed before
  };

  // `settings` must outlive this object.
  explicit ConnectionAgeTracker(const Settings& settings) : settings_(settings) {}

  // Whether an open connection has room for another attempt.
  bool hasRoom(const Endpoint& endpoint, Timestamp now) const;
  // Whether an attempt would go on a connection that is not stale.
  bool hasFreshRoom(const Endpoint& endpoint, Timestamp now) const {
    return hasRoom(endpoint, now) && !isStale(idleStep(endpoint, now));
  }

  // Notes that an attempt is sent; to be called before it is counted in flight.
  Use recordSend(Endpoint& endpoint, Timestamp now);
  // Notes the outcome of an attempt on a connection that lay idle for `idleStep`.
  void recordOutcome(std::size_t idleStep, Outcome outcome);
  // A connection to the endpoint broke.
  static void recordClosed(Endpoint& endpoint);
  // The connections are as the embedding program says, from now on.
  static void recordReported(Endpoint& endpoint, std::uint32_t open);
  // The endpoint has a new process.
  static void reset(Endpoint& endpoint);

  // To be called once every kUpdateInterval: appends to `toClose` the endpoints beyond this gateway's subset
  // whose connections are idle. Kept, they would add up to the endpoints' limits and shut other gateways out.
  void update(EndpointTable& endpoints, Timestamp now, std::vector<EndpointId>& toClose);

 private:
  static constexpr std::size_t kIdleSteps = 8;

  std::size_t idleStep(const Endpoint& endpoint, Timestamp now) const;
  bool isStale(std::size_t idleStep) const;

  const Settings& settings_;
  std::array<double, kIdleSteps> lostShare_{};  // of the attempts, by idle step; rising with it
};

}  // namespace cairnjunction::policy

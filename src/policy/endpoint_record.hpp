// State of one endpoint: a record for each object that keeps statistics on it. Only that object writes the
// record, except where noted; others may read it.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "policy/timer_queue.hpp"

namespace cairnjunction::policy {

// State in outlier detection.
enum class EjectionState : std::uint8_t {
  healthy,
  ejected,   // receives no attempts until the ejection ends
  probation  // receives one attempt at a time, until one decides whether it is healthy
};

// Written by OutlierDetector.
struct OutlierRecord {
  EjectionState state = EjectionState::healthy;
  Timestamp overloadBackoffUntil{};  // after consecutive overloads: no attempts before this time
  Timestamp ejectedUntil{};
  int ejections = 0;                      // consecutive ejections, up to kMaxEjectionDoublings
  double failureRate = 0;                 // fraction of failed attempts, over about the last 8
  std::vector<double> classFailureRates;  // the same by class index, over about the last 4
  double outcomes = 0;                    // decayed count of attempts
  double errors = 0;                      // of those: failed or rejected as overloaded
  int consecutiveOverloads = 0;
};

// Written by ResponsivenessMonitor.
struct ResponsivenessRecord {
  bool unresponsive = false;
  Timestamp lastResponseAt{};
  std::deque<RequestRef> sentRequests;  // in order of sending; after each update the first one is in flight
};

// Written by LatencyTracker; SlowStart resets `answers`.
struct LatencyRecord {
  double relativeLatency = 1;  // latency as a multiple of the typical latency of the class; 0 to 20
  double answers = 0;          // number since the last update
};

// Written by ConnectionAgeTracker and ConnectBackoff; LoadBalancer::Impl updates lastUsedAt.
struct ConnectionRecord {
  int open = 0;                 // open connections, as reported or estimated
  bool openIsReported = false;  // `open` is reported by the embedding program and exact
  Timestamp lastUsedAt{};
  Timestamp connectAfter{};  // no new connection before this time
  int connectFailures = 0;   // consecutive, up to kMaxConnectBackoffDoublings
};

// Written by SlowStart.
struct SlowStartRecord {
  double tokens = 0;  // number of attempts that may be sent
  Timestamp refilledAt{};
};

// Written by LoadReports.
struct LoadRecord {
  double load = 1;             // 1 + requests per core, as last reported
  double selectionWeight = 1;  // factor on the probability of being picked; 0.05 to 1
};

// Members are in the order in which a pick reads them, since a pick examines every endpoint of the subset.
struct Endpoint {
  EndpointInfo info;         // as last listed; an empty address marks a free id
  Timestamp startedAfter{};  // its process is known to have started after this time
  int inFlight = 0;          // attempts of this gateway in flight to it
  Reachability reachability = Reachability::reachable;
  bool inOwnZone = false;  // in this gateway's zone
  OutlierRecord outlier;
  ResponsivenessRecord responsiveness;
  LatencyRecord latency;
  ConnectionRecord connections;
  LoadRecord loadReport;
  SlowStartRecord slowStart;
  std::vector<bool> allowedForClass;  // by class index: whether allowedZones and allowedMachineKinds allow it
  std::uint64_t addressHash = 0;      // hash of the address: the same at every gateway
  std::size_t machineKind = 0;        // into EndpointTable::machineKinds
  int references = 0;                 // number of attempts of open requests, including ended ones

  // Whether the endpoint counts towards the load and the error rate of the pool. One that is ejected, on
  // probation, unresponsive or not reachable does not.
  bool countsTowardsPool() const {
    return outlier.state == EjectionState::healthy && !responsiveness.unresponsive &&
           reachability == Reachability::reachable;
  }
};

// Statistics of the endpoints on machines of one kind.
struct MachineKind {
  std::string name;
  double relativeLatency = 1;  // mean of its endpoints; assumed for endpoints without recent answers
  double unloadedWeight = 0;   // highest listed weight: that of an endpoint without load
  double answers = 0;          // by its endpoints past slow start, since the last update
  double endpoints = 0;        // number of those endpoints
  double answerRate = 0;       // answers per second to this gateway from one endpoint past slow start
  double peakAnswerRate = 0;   // highest answerRate of about the last 30 s
};

}  // namespace cairnjunction::policy

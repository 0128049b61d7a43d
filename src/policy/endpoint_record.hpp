// What is kept of one endpoint: a record for each object that learns of it. Each record is written by its
// object alone; others may read it.
#pragma once

#include <cstdint>
#include <deque>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "policy/timer_queue.hpp"

namespace cairnjunction::policy {

enum class EjectionState : std::uint8_t {
  healthy,
  ejected,   // nothing is sent until its ejection ends
  probation  // one attempt at a time, until one says whether it is well again
};

// Of OutlierDetector.
struct OutlierRecord {
  EjectionState state = EjectionState::healthy;
  Timestamp restUntil{};  // after several overloads in a row: nothing is sent before
  Timestamp ejectedUntil{};
  int ejections = 0;                      // in a row, up to kEjectionDoublings
  double failureRate = 0;                 // share of failed attempts, over about the last eight
  std::vector<double> classFailureRates;  // the same by class index, over about the last four
  double outcomes = 0;                    // decayed count of attempts that ran
  double errors = 0;                      // of those: failed or turned away
  int consecutiveOverloads = 0;
};

// Of ResponsivenessMonitor.
struct ResponsivenessRecord {
  bool unresponsive = false;
  Timestamp lastResponseAt{};
  std::deque<RequestRef> sent;  // in order of sending; the first one is in flight after each update
};

// Of LatencyTracker.
struct LatencyRecord {
  double relativeLatency = 1;  // time taken against what is typical for the class; 0 to 20
  double answers = 0;          // since the last update
};

// Of ConnectionAgeTracker and ConnectBackoff.
struct ConnectionRecord {
  int open = 0;           // connections that are or should be open
  bool reported = false;  // `open` comes from the embedding program, and is exact
  Timestamp lastUsedAt{};
  Timestamp connectAfter{};  // no new connection is opened before
  int connectFailures = 0;   // in a row, up to kConnectDoublings
};

// Of SlowStart.
struct SlowStartRecord {
  double tokens = 0;  // attempts that may be sent
  Timestamp refilledAt{};
};

// Of LoadReports.
struct LoadRecord {
  double load = 1;            // 1 + requests per core, as last reported
  double selectionShare = 1;  // factor on its chance of being picked; 0.05 to 1
};

// In the order in which picks read it: a pick looks at every endpoint of the subset.
struct Endpoint {
  EndpointInfo info;           // as last listed; without an address the id is free
  Timestamp restartedAfter{};  // its process is no older than this, by what was seen of it
  int inFlight = 0;            // attempts of this gateway
  Reachability reachability = Reachability::reachable;
  bool local = false;  // in this gateway's zone
  OutlierRecord outlier;
  ResponsivenessRecord responsiveness;
  LatencyRecord latency;
  ConnectionRecord connections;
  LoadRecord loadReport;
  SlowStartRecord slowStart;
  std::vector<bool> allowedForClass;  // by class index: the class's placement allows this endpoint
  std::uint64_t hash = 0;             // of the address: the same at every gateway
  std::size_t machineKind = 0;        // into EndpointTable::machineKinds
  int references = 0;                 // by attempts of open requests, settled ones included

  // Whether it counts towards the load and the errors of the pool: one that is in trouble of its own must
  // not.
  bool inService() const {
    return outlier.state == EjectionState::healthy && !responsiveness.unresponsive &&
           reachability == Reachability::reachable;
  }
};

// What endpoints on machines of one kind have in common.
struct MachineKind {
  std::string name;
  double relativeLatency = 1;  // of its endpoints in the mean: what one not heard of is taken for
  double fullWeight = 0;       // the highest weight that was listed: that of an endpoint that holds nothing
  double answers = 0;          // by its endpoints past slow start since the last update,
  double endpoints = 0;        // and how many these are
  double answerRate = 0;       // answers a second that an endpoint past its slow start gives to this gateway
  double provenRate = 0;       // the best answerRate of the last half minute or so
};

}  // namespace cairnjunction::policy

// Tracks the health of each endpoint and derives its status. There are three sources of information about an
// endpoint: the endpoint list, the connections to it, and the outcomes of attempts. Each source is recorded
// separately. The status and its reason are derived from all of them, and determine whether the load balancer
// may send to the endpoint (policy::Reachability).
//
// This class does no I/O, reads no clock, and makes no load balancing decision: it only excludes endpoints
// that cannot be reached, and lets one request at a time probe whether they are reachable again.
//
// The list may be out of date, so it does not override the other sources in every case:
//  - an endpoint that is active in the list but refuses connections becomes unreachable at once;
//  - an endpoint that the list drains or removes is not reinstated by any other source;
//  - a later start time or a new address in the list discards the failures recorded for the previous process.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "membership/endpoint_record.hpp"
#include "membership/endpoint_status.hpp"
#include "membership/list_staleness.hpp"
#include "membership/probe_scheduler.hpp"
#include "membership/settings.hpp"

namespace cairnjunction {

class EndpointHealth {
 public:
  using Settings = EndpointHealthSettings;

  // A change of reachability, to be passed to the load balancer.
  struct ReachabilityChange {
    policy::EndpointId endpoint = policy::kNone;
    policy::Reachability reachability = policy::Reachability::reachable;
    // With `reachable`: the endpoint's process started after this time, as concluded from a refused
    // connection; zero if no new process was observed.
    policy::Timestamp startedAfter{};
    // Why the endpoint is unreachable, or was until now.
    ConditionReason reason = ConditionReason::connectionRefused;
    // With `reachable`: how long the endpoint was unreachable.
    policy::Duration unreachableFor{};
  };

  // An entry of the endpoint list.
  struct ListedEndpoint {
    policy::EndpointId endpoint =
        policy::kNone;  // id in the load balancer; kNone: removed, has no id any more
    policy::EndpointState state = policy::EndpointState::active;
    policy::Timestamp startedAt{};  // latest start of its process; zero: long ago
  };

  explicit EndpointHealth(const Settings& settings);
  void setSlowStartDuration(policy::Duration duration) { settings_.slowStartDuration = duration; }

  // --- Events. `now` must never decrease from one call to the next.

  // Applies an endpoint list. With `replace` and `restored`, endpoints that are not in `endpoints` are
  // removed. `restored` marks a list that was stored before this program started; `unavailable` is ignored.
  void onList(policy::Timestamp now, policy::EndpointListKind kind,
              const std::vector<ListedEndpoint>& endpoints);
  // The endpoint has a new address in the list: discards the failures recorded for the previous process, and
  // makes the endpoint reachable.
  void onAddressChanged(policy::Timestamp now, policy::EndpointId endpoint);
  // To be called at each change of `established`, the number of established connections to the endpoint;
  // connections that are still being opened do not count.
  void onConnections(policy::Timestamp now, policy::EndpointId endpoint, std::uint32_t established);
  void onAttemptStarted(policy::EndpointId endpoint, policy::RequestId request, std::uint32_t attempt);
  void onAttemptEnded(policy::Timestamp now, const policy::AttemptResult& result);
  // Deletes all that is recorded of the endpoint. Its id is free and may be assigned to another endpoint.
  void forget(policy::EndpointId endpoint);
  // Starts no probes of the endpoint before `until`, since another gateway of the fleet probes it and reports
  // the results. The delay is bounded by EndpointHealthSettings::delegationMaxDuration.
  void delegateProbing(policy::Timestamp now, policy::EndpointId endpoint, policy::Timestamp until);
  // Another gateway found that the endpoint accepts connections; `age` is the time since then. Ignored if
  // this gateway has a probe pending, or has found the endpoint unreachable or ended a probe since then.
  void onRemoteProbeResult(policy::Timestamp now, policy::EndpointId endpoint, policy::Duration age);
  // Offers the probes that are due to the load balancer; the next attempt to each endpoint is its probe. To
  // be called about every 100 ms; calling it more often does no harm.
  void onTick(policy::Timestamp now);
  // Discovery did not answer the requested resync; the next one may be requested sooner.
  void onResyncFailed(policy::Timestamp now) { staleness_.onResyncFailed(now); }

  // --- Results and queries.

  // Returns the changes since the last call, in order.
  std::vector<ReachabilityChange> takeChanges();
  // Returns whether to request a resync now, in addition to the watch, because the list contradicts the
  // observed state of the endpoints. Returns true at most once for each pause of the settings.
  bool takeResyncRequest(policy::Timestamp now);

  // Returns the condition `removed` for an endpoint that no list has named.
  EndpointStatus statusOf(policy::EndpointId endpoint, policy::Timestamp now) const;
  // Time since discovery last answered.
  policy::Duration listAge(policy::Timestamp now) const { return staleness_.age(now); }
  // The endpoints that are active or draining in the list.
  std::vector<ListedEndpoint> listedEndpoints() const;
  // The endpoints that are active in the list and unreachable.
  std::vector<policy::EndpointId> unreachableEndpoints() const;
  std::size_t activeCount() const;       // endpoints that are active in the list
  std::size_t unreachableCount() const;  // number of unreachableEndpoints()
  std::uint64_t probesStarted() const { return probes_.probesStarted(); }  // since construction

 private:
  EndpointRecord& recordFor(policy::EndpointId endpoint);
  EndpointRecord* findKnown(policy::EndpointId endpoint);
  void applyEntry(policy::Timestamp now, const ListedEndpoint& entry);
  void recordOutcome(EndpointRecord& record, policy::Timestamp now, const policy::AttemptResult& result);
  void onResponse(EndpointRecord& record, policy::Timestamp now, const policy::AttemptResult& result);
  void onConnectFailed(EndpointRecord& record, policy::Timestamp now, const policy::AttemptResult& result);
  void onProbeEnded(EndpointRecord& record, policy::Timestamp now, const policy::AttemptResult& result);
  void setUnreachable(EndpointRecord& record, policy::Timestamp now, ConditionReason reason);
  void setReachable(EndpointRecord& record, policy::Timestamp now);
  void scheduleProbe(EndpointRecord& record, policy::Timestamp now) const;
  void report(EndpointRecord& record, policy::Reachability reachability,
              policy::Duration unreachableFor = {});
  ListContradictions contradictions(policy::Timestamp now) const;

  Settings settings_;
  std::vector<EndpointRecord> records_;  // by EndpointId; ids are small numbers that are reused
  std::vector<ReachabilityChange> changes_;
  ProbeScheduler probes_;
  ListStaleness staleness_;
};

}  // namespace cairnjunction

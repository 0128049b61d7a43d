// What is known of each endpoint, and the status that follows. Three sources speak of an endpoint: the list,
// the connections to it, and the outcomes of attempts. Each is recorded by itself; the status and its reason
// are derived from all, and decide whether the load balancer may send there (policy::Reachability).
//
// This does no I/O, reads no clock, and decides nothing that the load balancer decides: it only excludes
// endpoints that can't be reached, and lets one request at a time probe whether they are back.
//
// The list may be late, so it is one source beside the others:
//  - an endpoint that the list has active and that refuses connections is unreachable at once;
//  - one that the list has drained or removed is not put back by any other source;
//  - a new start or a new address in the list ends what was recorded of the process before.
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

  // For the load balancer: whether it may send to an endpoint from now on.
  struct ReachabilityChange {
    policy::EndpointId endpoint = policy::kNone;
    policy::Reachability reachability = policy::Reachability::reachable;
    // With `reachable`: its process started after this, by what was seen of it; zero if nothing was.
    policy::Timestamp startedAfter{};
    // Why it is unreachable, or was until now.
    ConditionReason reason = ConditionReason::connectionRefused;
    // With `reachable`: how long it was not.
    policy::Duration unreachableFor{};
  };

  // An entry of the list, by the load balancer's id of its endpoint.
  struct ListedEndpoint {
    policy::EndpointId endpoint = policy::kNone;  // none: removed, and so not numbered any more
    policy::EndpointState state = policy::EndpointState::active;
    policy::Timestamp startedAt{};  // the latest start of its process; zero = long ago
  };

  explicit EndpointHealth(const Settings& settings);
  void setSlowStartDuration(policy::Duration duration) { settings_.slowStartDuration = duration; }

  // --- Events; `now` never goes back.

  // The list has come. With `replace` or `restored` an endpoint that it does not name is removed; `restored`
  // is a list from before the start of the program.
  void onList(policy::Timestamp now, policy::EndpointListKind kind,
              const std::vector<ListedEndpoint>& endpoints);
  // The list has given the endpoint another address.
  void onAddressChanged(policy::Timestamp now, policy::EndpointId endpoint);
  // `open`: connections to it that are established (not those being opened); called at each change.
  void onConnections(policy::Timestamp now, policy::EndpointId endpoint, std::uint32_t open);
  void onAttemptStarted(policy::EndpointId endpoint, policy::RequestId request, std::uint32_t attempt);
  void onAttemptEnded(policy::Timestamp now, const policy::AttemptResult& result);
  // Its number is free, and may be given to another endpoint.
  void forget(policy::EndpointId endpoint);
  // Another gateway of the fleet probes this endpoint until then, and reports what it finds.
  void delegateProbing(policy::Timestamp now, policy::EndpointId endpoint, policy::Timestamp until);
  // Another gateway found, so long ago, that it accepts connections. What this gateway has seen since counts
  // more.
  void onRemoteProbeResult(policy::Timestamp now, policy::EndpointId endpoint, policy::Duration age);
  // Starts the probes that are due. To be called every 100 ms or so; more often does no harm.
  void onTick(policy::Timestamp now);
  // The resync that was requested was not answered; it may be requested again sooner.
  void onResyncFailed(policy::Timestamp now) { staleness_.onResyncFailed(now); }

  // --- What follows.

  // The changes since the last call, in order.
  std::vector<ReachabilityChange> takeChanges();
  // Whether discovery is to be asked for the list beside the watch, since the list contradicts what is seen.
  // True at most as often as the settings allow.
  bool takeResyncRequest(policy::Timestamp now);

  // Removed, if no list has named it.
  EndpointStatus statusOf(policy::EndpointId endpoint, policy::Timestamp now) const;
  // Since discovery last answered.
  policy::Duration listAge(policy::Timestamp now) const { return staleness_.age(now); }
  // The endpoints that the list has active or draining.
  std::vector<ListedEndpoint> listedEndpoints() const;
  // The endpoints that the list has active and that are unreachable.
  std::vector<policy::EndpointId> unreachableEndpoints() const;
  std::size_t activeCount() const;       // endpoints that the list has active
  std::size_t unreachableCount() const;  // of these, unreachable
  std::uint64_t probesStarted() const { return probes_.probesStarted(); }  // since the start

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
  std::vector<EndpointRecord> records_;  // by EndpointId: small numbers, which are given out again
  std::vector<ReachabilityChange> changes_;
  ProbeScheduler probes_;
  ListStaleness staleness_;
};

}  // namespace cairnjunction

// Implementation of LoadBalancer: one object for each kind of decision, and the flow of events between them.
// See load_balancer.cpp for the order in which they are called.
#pragma once

#include <string>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "policy/action_queue.hpp"
#include "policy/admission.hpp"
#include "policy/class_state.hpp"
#include "policy/connect_backoff.hpp"
#include "policy/connection_age.hpp"
#include "policy/endpoint_list_poller.hpp"
#include "policy/endpoint_picker.hpp"
#include "policy/endpoint_table.hpp"
#include "policy/hedging.hpp"
#include "policy/key_serializer.hpp"
#include "policy/load_reports.hpp"
#include "policy/outlier_detection.hpp"
#include "policy/priority_score.hpp"
#include "policy/random.hpp"
#include "policy/relative_latency.hpp"
#include "policy/request_table.hpp"
#include "policy/responsiveness.hpp"
#include "policy/retry_policy.hpp"
#include "policy/slow_start.hpp"
#include "policy/tenant_quota.hpp"
#include "policy/timer_queue.hpp"
#include "policy/traffic_rates.hpp"

namespace cairnjunction::policy {

class LoadBalancer::Impl {
 public:
  Impl(Settings settings, Timestamp now);
  Impl(const Impl&) = delete;  // its members refer to each other
  Impl& operator=(const Impl&) = delete;
  ~Impl() = default;

  // See the functions of the same names in LoadBalancer.
  void configure(Timestamp now, Settings settings);
  void onEndpoints(Timestamp now, EndpointListKind kind, const std::vector<EndpointInfo>& entries);
  void onRequest(Timestamp now, const Request& arrival);
  void onResponseStarted(Timestamp now, RequestId id, std::uint32_t attempt);
  void onResult(Timestamp now, const AttemptResult& result);
  void onClientDisconnected(Timestamp now, RequestId id);
  void onWake(Timestamp now);
  void onReachability(Timestamp now, EndpointId id, Reachability reachability, Timestamp startedAfter);
  void onConnections(EndpointId id, std::uint32_t open);

  std::vector<Action>& actions() { return actions_.pending(); }
  const EndpointTable& endpoints() const { return endpoints_; }
  double cutoff() const { return admission_.cutoff(); }
  std::size_t activeRequests() const { return requests_.size(); }

 private:
  // Called at the end of every event.
  void finishEvent();
  void dispatchReadyKeys();
  void scheduleWake();

  // Processing of a request. `finishAttempt` records the result of one attempt; `end` marks the request as
  // ended; `closeIfFinished` releases an ended request once no attempt is in flight.

  // Initializes the request from its arrival, and counts it in the statistics of its class.
  void initialize(ActiveRequest& request, const Request& arrival);
  double priorityWeight(const ActiveRequest& request, std::uint32_t tenantIndex);
  void enqueueByKey(ActiveRequest& request);
  void dispatch(ActiveRequest& request);
  bool trySend(ActiveRequest& request);
  void finishAttempt(ActiveRequest& request, const AttemptResult& result);
  void retryOrEnd(ActiveRequest& request, const AttemptResult& result);
  void reject(const ActiveRequest& request);
  void rejectOrFail(ActiveRequest& request);
  void end(ActiveRequest& request);
  void cancelAttempts(ActiveRequest& request, std::uint32_t except = kNone);
  void closeIfFinished(ActiveRequest& request);
  bool isSerialized(const ActiveRequest& request) const;

  // State of an endpoint.
  void recordOutcome(Endpoint& endpoint, const ActiveRequest& request, const AttemptResult& result);
  bool recordExcludedFailure(Endpoint& endpoint, const AttemptResult& result);
  void recordConnectionUse(Endpoint& endpoint, Attempt& attempt, const AttemptResult& result);
  void forgetIfUnused(EndpointId id);
  void resetStatistics(Endpoint& endpoint);

  void onTimer(const Timer& timer);
  void updateStatistics();

  Settings settings_;
  Timestamp now_;  // time of the current event
  Timestamp nextUpdate_;
  Timestamp wakeAt_{};  // time of the last scheduleWake
  Random random_;
  ActionQueue actions_;
  // Those whose idle connections are to be closed. Used by updateStatistics; a member to reuse its memory.
  std::vector<EndpointId> endpointsWithUnusedConnections_;

  TrafficRates rates_;
  ClassTable classes_;
  EndpointTable endpoints_;
  RequestTable requests_;
  TimerQueue timers_;

  TenantQuota quota_;
  PriorityScorer scorer_;
  AdmissionController admission_;
  KeySerializer keys_;
  RetryPolicy retryPolicy_;
  RetryBudget retryBudget_;
  HedgingPolicy hedging_;
  EndpointListPoller poller_;
  LatencyTracker latency_;
  LoadReports loadReports_;
  OutlierDetector outliers_;
  SlowStart slowStart_;
  ConnectionAgeTracker connections_;
  ConnectBackoff connectBackoff_;
  EndpointPicker picker_;
};

}  // namespace cairnjunction::policy

// The engine manages open calls, their attempts and their final replies. It passes events between the load
// balancer, the endpoint health, the upstream and the frontends, and executes the actions of the load
// balancer. It is independent of protocols, does no I/O, and reads no clock except Runtime::now.
//
// Order of events. Each event is applied to the endpoint health first; the resulting changes of reachability
// are passed to the load balancer, and then the event itself. So the load balancer never selects an endpoint
// on older information than the engine has. Then the actions of the load balancer are executed in their
// order. Only when all of them are done, finished calls are removed and the next attempt that ended in the
// meantime is handled. An event that is raised while actions are executed is queued, never nested.
//
// The engine enforces three rules, whatever the load balancer, a frontend or an upstream does:
//  - one final reply: an accepted call gets exactly one reply, or none after its client has disconnected;
//  - no overlapping attempts: an attempt starts only after the previous one has ended, before the call's
//    deadline and before the call has its reply;
//  - no repeated effect: once an attempt may have been executed, an unsafe call is not sent again, and a
//    keyed call is written only within its dedup window, counted from the start of the first such attempt.
//    Neither is rejected then, which would tell its client that a repeat is harmless.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "core/active_call.hpp"
#include "core/attempt.hpp"
#include "core/attempt_log.hpp"
#include "core/call.hpp"
#include "core/call_table.hpp"
#include "core/class_table.hpp"
#include "core/rate_limited_log.hpp"
#include "core/reply.hpp"
#include "core/reply_counters.hpp"
#include "core/reply_deadline.hpp"
#include "core/runtime.hpp"
#include "core/upstream.hpp"
#include "membership/endpoint_health.hpp"

namespace cairnjunction {

class Engine {
 public:
  enum class AcceptResult {
    accepted,
    idInUse  // an open call has this external id: workers would take the new call for a repeat of it
  };

  struct EndpointCounts {
    std::size_t listed = 0;   // endpoints that are active or draining in the list
    std::size_t avoided = 0;  // of these, endpoints that currently receive no requests
  };
  using ReplyCounts = ReplyCounters::Counts;

  // `runtime` and `upstream` must outlive the engine. Throws std::invalid_argument on invalid settings.
  Engine(const policy::Settings& settings, Runtime& runtime, Upstream& upstream);

  // Accepts a call. `call.attributes.timeRemaining` counts from now. With AcceptResult::accepted the reply is
  // passed to `sink`, which must outlive the call, possibly before this function returns; `*id`, if `id` is
  // not null, is set to the call's id before that.
  AcceptResult accept(Call call, ReplySink& sink, std::uint64_t frontendToken, CallId* id = nullptr);
  // The client has disconnected: the call gets no reply, and a request that is not completely written is not
  // sent. Ignored for a settled call.
  void clientDisconnected(CallId id);
  // From the upstream: an attempt has ended. Ignored if the attempt is not in flight.
  void attemptEnded(AttemptOutcome outcome);
  // From the upstream: the first part of a streamed answer has arrived. The endpoint has done its work by
  // then and only the transfer remains, so the load balancer treats the attempt as ended. attemptEnded
  // follows when the transfer ends.
  void responseStarted(AttemptOutcome outcome);
  // From the upstream: an answer has begun and is not complete when it should have been. The endpoint has
  // answered by then, so the load balancer treats the attempt as ended and served, and the rest of the answer
  // is awaited. responseStarted may follow, and attemptEnded does.
  void responseDelayed(const AttemptOutcome& outcome);
  // From the upstream, at every change of the number of connections. It may be called while the upstream
  // iterates over its endpoints, so it executes no actions: its consequences are applied before the next
  // decision.
  void connectionsChanged(policy::EndpointId endpoint, EndpointConnections connections);
  // Discovery did not answer the resync requested by Runtime::requestResync.
  void resyncFailed() { endpointHealth_.onResyncFailed(runtime_.now()); }
  void endpointAddressChanged(policy::EndpointId endpoint);  // the endpoint has a new address in the list
  // From discovery. `beforeActions` is called after the load balancer has received the endpoints and before
  // its actions are executed; it has to pass the addresses of the endpoints to the upstream.
  void updateEndpoints(policy::EndpointListKind kind, const std::vector<policy::EndpointInfo>& entries,
                       const std::function<void()>& beforeActions = nullptr);
  void wake();  // to be called at the time given to Runtime::wakeAt; calls at other times are harmless
  // From the fleet, for the endpoint health; the consequences are applied before the next decision.
  void delegateProbing(policy::EndpointId endpoint, policy::Timestamp until) {
    endpointHealth_.delegateProbing(runtime_.now(), endpoint, until);
  }
  void onRemoteProbeResult(policy::EndpointId endpoint, policy::Duration age) {
    endpointHealth_.onRemoteProbeResult(runtime_.now(), endpoint, age);
  }

  // Applies new settings; classes() then gives the indexes of their classes. Open calls keep the classes that
  // they were accepted with. Returns false and changes nothing if there are more classes than the table or
  // the counters can hold. Throws std::invalid_argument like the constructor.
  bool configure(policy::Settings settings);
  // Whether the class table and the counters can hold the classes of `settings`; otherwise configure() would
  // return false.
  bool mayConfigure(const policy::Settings& settings) const { return classTableFor(settings).has_value(); }
  const ClassTable& classes() const { return classes_; }
  EndpointCounts endpointCounts() const;
  policy::Timestamp now() const { return runtime_.now(); }
  const EndpointHealth& endpointHealth() const { return endpointHealth_; }
  const policy::LoadBalancer& loadBalancer() const { return balancer_; }
  const std::string& addressOf(policy::EndpointId endpoint) const { return balancer_.address(endpoint); }
  policy::EndpointId findEndpoint(std::string_view address) const { return balancer_.findEndpoint(address); }
  // For a graceful shutdown: calls accepted from now on have their deadline within `left` from now.
  void limitTimeRemaining(policy::Duration left) { latestDeadline_ = now() + left; }
  // For a graceful shutdown: the process may be killed at `kill`. Each call has its final reply by
  // ReplyDeadline::lastReplyAt(), whatever its deadline is and its attempts do; from then on no call is sent.
  void expectKillAt(policy::Timestamp kill);
  // Calls that are not finished, including settled calls with an attempt in flight or a streaming answer.
  std::size_t activeCalls() const { return calls_.size(); }
  // Calls that are neither replied to in full nor abandoned by their client.
  std::size_t awaitingReply() const { return calls_.awaitingReply(); }
  // Replies since construction, for each name that a class has had.
  const std::vector<ReplyCounts>& replyCounts() const { return replyCounters_.counts(); }
  // Number of actions of the load balancer that were denied because they violated a rule; expected to be 0.
  std::uint64_t violations() const { return violations_; }

 private:
  void executeActions();
  void execute(const policy::Action& action);
  void startAttempt(const policy::Action& action);
  void rejectOrFail(const policy::Action& action);
  void scheduleWake(policy::Timestamp at);
  void cancelAttempts(CallId id);
  void endOverdueCalls(policy::Timestamp now);
  void endCalls(const std::vector<CallId>& ids, RefusalCause cause);
  std::optional<policy::Timestamp> nextReplyDue();
  void replyUnserved(CallId id, ActiveCall& call, RefusalCause cause);
  void finishAttempt(AttemptOutcome outcome);
  static void recordExecution(ActiveCall& call, policy::Outcome outcome);
  void finishDelayed(CallId id, ActiveCall& call, AttemptOutcome outcome);
  void finishStreamed(CallId id, ActiveCall& call, const AttemptOutcome& outcome);
  void logFailure(const ActiveCall& call, const AttemptOutcome& outcome);
  void reportToLoadBalancer(const AttemptOutcome& outcome, bool callSettled);
  void reportReachability();
  void reply(CallId id, ActiveCall& call, Reply reply, RefusalCause cause = RefusalCause::loadBalancer);
  void countReply(const ActiveCall& call, ReplyStatus status);
  // The class table for new settings; empty if there are more classes than the table or the counters can
  // hold.
  std::optional<ClassTable> classTableFor(const policy::Settings& settings) const;

  Runtime& runtime_;
  Upstream& upstream_;
  policy::LoadBalancer balancer_;
  EndpointHealth endpointHealth_;
  ClassTable classes_;           // the classes that the load balancer is configured with
  ReplyCounters replyCounters_;  // has the classes of classes_
  RateLimitedLog endpointLog_;   // for changes of reachability and requested resyncs
  AttemptLog attemptLog_;
  CallTable calls_;
  std::deque<AttemptOutcome> endedAttempts_;     // not handled yet; empty outside executeActions()
  std::vector<policy::Action> actions_;          // being executed; a member to reuse its memory
  bool executing_ = false;                       // executeActions() is running further up the stack
  std::optional<policy::Timestamp> nextWakeAt_;  // earliest time requested since the last wake()
  policy::Timestamp latestDeadline_ = policy::Timestamp::max();  // upper bound for calls accepted from now on
  ReplyDeadline replyDeadline_;
  std::uint64_t violations_ = 0;
};

}  // namespace cairnjunction

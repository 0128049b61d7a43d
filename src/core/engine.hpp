// The engine: open calls, their attempts and the one final answer. It passes events between the load
// balancer, the endpoint health, the upstream and the frontends, and carries out what the load balancer
// decides. It knows no protocol, does no I/O and reads no clock but the one that it is given.
//
// Order of events. Each event is applied to the endpoint health first, then the changes of reachability that
// follow from it are passed to the load balancer, then the event itself: so the load balancer never picks an
// endpoint on older knowledge than the engine has. After that the actions of the load balancer are carried
// out in their order; only when all of them are done, finished calls are removed and the next attempt that
// ended meanwhile is handled. An event that is raised while actions are carried out is queued, never nested.
//
// Three rules are enforced here, whatever the load balancer, a frontend or an upstream does:
//  - one final answer: an accepted call gets one reply, or none once its client has disconnected;
//  - no attempts overlap: an attempt is started only when the one before it has ended, before the call's
//    deadline and before the call has its reply;
//  - no effect twice: once an attempt may have been executed, an unsafe call is not sent again, and a keyed
//    one is written only within its dedup window, counted from the start of the first such attempt.
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
#include "core/call.hpp"
#include "core/call_table.hpp"
#include "core/class_table.hpp"
#include "core/rate_limited_log.hpp"
#include "core/reply.hpp"
#include "core/reply_counters.hpp"
#include "core/runtime.hpp"
#include "core/upstream.hpp"
#include "membership/endpoint_health.hpp"

namespace cairnjunction {

class Engine {
 public:
  enum class AcceptResult {
    accepted,
    idInUse  // an open call has this external id: workers would take the new one for a copy of it
  };

  struct EndpointCounts {
    std::size_t listed = 0;   // endpoints that the list names
    std::size_t avoided = 0;  // those of them to which nothing is sent now
  };
  using ReplyCounts = ReplyCounters::Counts;

  // `runtime` and `upstream` must outlive the engine. Throws std::invalid_argument on invalid settings.
  Engine(const policy::Settings& settings, Runtime& runtime, Upstream& upstream);

  // Takes over a call. `call.attributes.timeRemaining` counts from now. With AcceptResult::accepted `sink`,
  // which must outlive the call, is given the reply, perhaps before this returns; `id`, if given, is set
  // before that.
  AcceptResult accept(Call call, ReplySink& sink, std::uint64_t frontendToken, CallId* id = nullptr);
  // No reply is wanted, and nothing that is not written yet is sent. Ignored for a call that is settled.
  void clientDisconnected(CallId id);
  // From the upstream: an attempt has ended. Ignored if it is not in flight.
  void attemptEnded(AttemptOutcome outcome);
  // From the upstream: an answer begins that is passed on. The endpoint's work is done by then and the rest
  // is a matter of the connections, so for the load balancer the attempt is over. attemptEnded follows.
  void responseStarted(AttemptOutcome outcome);
  // From the upstream, at every change. Not an event of its own, since it may come while the upstream goes
  // through its endpoints: what follows from it is applied before the next decision.
  void connectionsChanged(policy::EndpointId endpoint, EndpointConnections connections);
  // Discovery did not answer what Runtime::requestResync had asked for.
  void resyncFailed() { endpointHealth_.onResyncFailed(runtime_.now()); }
  void endpointAddressChanged(policy::EndpointId endpoint);  // the list gave it another address
  // From discovery. `before` runs once the load balancer knows the endpoints and before its actions are
  // carried out: the upstream is to learn there which of them is where.
  void updateEndpoints(policy::EndpointListKind kind, const std::vector<policy::EndpointInfo>& entries,
                       const std::function<void()>& before = nullptr);
  void wake();  // at the time given to Runtime::wakeAt, or at any other
  // From the fleet, for the endpoint health; what follows is applied before the next decision.
  void delegateProbing(policy::EndpointId endpoint, policy::Timestamp until) {
    endpointHealth_.delegateProbing(runtime_.now(), endpoint, until);
  }
  void onRemoteProbeResult(policy::EndpointId endpoint, policy::Duration age) {
    endpointHealth_.onRemoteProbeResult(runtime_.now(), endpoint, age);
  }

  // New settings, whose classes go by classes() from now on. Open calls keep theirs. False, and nothing has
  // changed, if there are more classes than the table or the counters have room for. Throws
  // std::invalid_argument like the constructor.
  bool configure(policy::Settings settings);
  bool mayConfigure(const policy::Settings& settings) const { return classesAfter(settings).has_value(); }
  const ClassTable& classes() const { return classes_; }
  EndpointCounts endpointCounts() const;
  policy::Timestamp now() const { return runtime_.now(); }
  const EndpointHealth& endpointHealth() const { return endpointHealth_; }
  const policy::LoadBalancer& loadBalancer() const { return balancer_; }
  policy::EndpointId findEndpoint(std::string_view address) const { return balancer_.findEndpoint(address); }
  // In a graceful shutdown: calls that are accepted from now on have their deadline by then.
  void limitTimeRemaining(policy::Duration left) { latestDeadline_ = now() + left; }
  // Just before the process is killed: calls whose deadline is later get their final answer now, since nobody
  // could give them one after that.
  void failCallsPast(policy::Timestamp kill);
  std::size_t activeCalls() const { return calls_.size(); }  // also settled ones with an attempt in flight
  std::size_t awaitingReply() const { return calls_.awaitingReply(); }  // neither replied to nor left
  // Replies since the start, for each name that a class has had.
  const std::vector<ReplyCounts>& replyCounts() const { return replyCounters_.counts(); }
  // Actions of the load balancer that were denied since they would have broken a rule; 0 is expected.
  std::uint64_t violations() const { return violations_; }

 private:
  void carryOutActions();
  void carryOut(const policy::Action& action);
  void startAttempt(const policy::Action& action);
  void replyWithoutAnswer(const policy::Action& action);
  void scheduleWake(policy::Timestamp at);
  void cancelAttempts(CallId id);
  void finishAttempt(AttemptOutcome outcome);
  void reportToLoadBalancer(const AttemptOutcome& outcome, bool callSettled);
  void reportReachability();
  void reply(CallId id, ActiveCall& call, Reply reply);
  void countReply(const ActiveCall& call, ReplyStatus status);
  // Empty if there are more classes than there is room for.
  std::optional<ClassTable> classesAfter(const policy::Settings& settings) const;

  Runtime& runtime_;
  Upstream& upstream_;
  policy::LoadBalancer balancer_;
  EndpointHealth endpointHealth_;
  ClassTable classes_;           // what the load balancer was configured with
  ReplyCounters replyCounters_;  // its classes are those of classes_
  RateLimitedLog endpointLog_;   // of the reachability of endpoints
  CallTable calls_;
  std::deque<AttemptOutcome> endedAttempts_;     // not handled yet; empty when no actions are carried out
  std::vector<policy::Action> actions_;          // being carried out; a member to keep its memory
  bool carryingOut_ = false;                     // carryOutActions() is at work further up the stack
  std::optional<policy::Timestamp> nextWakeAt_;  // the earliest time asked for since the last wake()
  policy::Timestamp latestDeadline_ = policy::Timestamp::max();  // of calls that are accepted
  std::uint64_t violations_ = 0;
};

}  // namespace cairnjunction

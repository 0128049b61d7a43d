// The engine: open calls, their attempts and the one final answer. It feeds the decision module with what
// happens, with what Membership believes of the hosts, and carries out what the module decides. It knows no
// protocol, does no I/O and reads no clock but the one that it is given, so a test may run it in a time of
// its own.
//
// Three rules are enforced here, whatever the module, a front or an upstream does:
//  - one final answer: a call that was taken gets one reply, or none once its front has abandoned it;
//  - no attempts overlap: an attempt is started only when the one before it has ended, before the call's
//    time is up and before the call has its reply;
//  - no effect twice: once an attempt may have run, an unsafe call is not sent again, and a keyed one is
//    written only within its window, counted from the start of the first such attempt.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "core/call.hpp"
#include "core/class_table.hpp"
#include "membership/endpoint_health.hpp"

namespace cairnjunction {

// What the engine needs of the program around it.
class Runtime {
 public:
  virtual policy::Timestamp now() const = 0;      // never goes back
  virtual void wakeAt(policy::Timestamp at) = 0;  // Engine::wake is to be called then; replaces the last
  virtual void pollEndpoints() = 0;               // the list of hosts is to be asked for
  virtual void requestResync() = 0;               // and once more beside: it is not what is seen
  virtual void log(const std::string& line) = 0;  // a line of the module's

 protected:
  ~Runtime() = default;
};

class Engine {
 public:
  enum class AcceptResult {
    accepted,
    idInUse  // an open call has this name: passed on, it would be a second copy of that one to the workers
  };

  struct EndpointCounts {  // hosts that the list names, and those of them to which nothing is sent now
    std::size_t listed = 0, avoided = 0;
  };
  struct ReplyCounts {  // of the classes of one name
    std::string className;
    std::uint64_t ok = 0, rejected = 0, failed = 0;
  };

  // All three must outlive the engine. Throws std::invalid_argument on settings that make no sense.
  Engine(const policy::Settings& settings, Runtime& runtime, Upstream& upstream);

  // `call.facts.left` counts from now. With Taken::yes `sink` is given the reply, perhaps before this
  // returns; `id`, if given, is set before that.
  AcceptResult accept(Call call, ReplySink& sink, std::uint64_t ticket, CallId* id = nullptr);
  // Its client left: no reply is wanted, and nothing that is not written yet is sent. A call that is over is
  // ignored.
  void clientDisconnected(CallId id);
  void attemptEnded(AttemptOutcome end);  // from the upstream
  // From the upstream: from here on the host's work is done, and what is left is a matter of the connections,
  // so for the module the attempt is over. Its end is told by attemptEnded.
  void responseStarted(AttemptOutcome end);
  // From the upstream, at every change.
  void connectionsChanged(policy::EndpointId host, EndpointConnections connections);
  void resyncFailed() { membership_.onResyncFailed(runtime_.now()); }  // discovery did not answer it
  void endpointAddressChanged(policy::EndpointId host);                // the list gave it another address
  // `before` runs once the module knows the hosts and before its actions are carried out: the upstream is to
  // learn there which of them is where.
  void updateEndpoints(policy::EndpointListKind kind, const std::vector<policy::EndpointInfo>& entries,
                       const std::function<void()>& before = nullptr);
  void wake();
  // Of a fleet, as Membership has them; what follows is applied before the next decision.
  void delegateProbing(policy::EndpointId host, policy::Timestamp until) {
    membership_.delegateProbing(runtime_.now(), host, until);
  }
  void onRemoteProbeResult(policy::EndpointId host, policy::Duration age) {
    membership_.onRemoteProbeResult(runtime_.now(), host, age);
  }

  // New settings; their classes go by `classes()` from now on. Open calls keep theirs. False, and nothing has
  // changed, if there are more classes than the table or the figures have room for. Throws
  // std::invalid_argument like the constructor.
  bool configure(policy::Settings settings);
  bool mayConfigure(const policy::Settings& settings) const { return nextClasses(settings).has_value(); }
  const ClassTable& classes() const { return classes_; }
  EndpointCounts endpointCounts() const;
  policy::Timestamp now() const { return runtime_.now(); }
  const EndpointHealth& endpointHealth() const { return membership_; }
  const policy::LoadBalancer& loadBalancer() const { return balancer_; }
  policy::EndpointId findEndpoint(std::string_view address) const { return balancer_.findEndpoint(address); }
  // In a stop: calls that are taken from now on are over by then.
  void limitTimeRemaining(policy::Duration left) { answerBy_ = now() + left; }
  // And just ahead of the kill: calls that have time beyond it, such as those whose hosts hang, get their
  // final answer now. From the kill on nobody could give them one.
  void failCallsPast(policy::Timestamp kill);
  std::size_t activeCalls() const { return calls_.size(); }  // also those whose attempt is not over yet
  std::size_t awaitingReply() const { return unanswered_; }  // neither replied to nor abandoned
  // Replies by their verdict since the start, for each name that a class has had.
  const std::vector<ReplyCounts>& replyCounts() const { return tallies_; }
  std::uint64_t violations() const { return violations_; }  // actions that would have broken a rule; want 0

 private:
  struct Open {
    Call call;
    ReplySink* sink = nullptr;
    std::uint64_t ticket = 0;
    policy::Timestamp deadline{};
    std::uint32_t out = 0;                          // attempts
    std::uint32_t latest = 0;                       // attempt that was started
    policy::Timestamp sentAt{};                     // when that was
    std::optional<policy::Timestamp> mayHaveRunAt;  // start of the first attempt that may have
    bool ended = false;                             // replied to, or abandoned
    bool passing =
        false;  // its answer is being passed on: its name stays taken, and it is counted at the end
  };

  void run();
  void applyBeliefs();
  void logLimited(const std::string& line);
  void carryOut(const policy::Action& action);
  void send(const policy::Action& action);
  // Until when the call's next attempt may be written; now or earlier: not at all.
  policy::Timestamp writableUntil(const Open& open) const;
  void giveUp(const policy::Action& action);
  void letGo(CallId id);
  void settle(AttemptOutcome end);
  void judge(const AttemptOutcome& end, const Open& open);
  void reply(CallId id, Open& open, Reply reply);
  void count(const Open& open, ReplyStatus verdict);
  void dropOver();
  void renewTallies();
  std::optional<ClassTable> nextClasses(const policy::Settings& settings) const;

  Runtime& runtime_;
  Upstream& upstream_;
  policy::LoadBalancer balancer_;
  EndpointHealth membership_;
  std::unordered_map<CallId, Open> calls_;
  std::unordered_set<std::string_view> names_;  // of calls_, which hold the text
  std::vector<CallId> over_;                    // may be dropped once the actions are done
  std::deque<AttemptOutcome> ends_;             // raised while actions are carried out
  std::vector<policy::Action> actions_;         // being carried out; kept for its memory
  policy::Timestamp wakeAt_{}, answerBy_ = policy::Timestamp::max();
  ClassTable classes_;
  std::vector<ReplyCounts> tallies_;
  std::vector<std::size_t> tallyOf_;  // into tallies_, by class
  std::size_t unanswered_ = 0;
  CallId lastCall_ = 0;
  std::uint64_t violations_ = 0;
  policy::Timestamp linesAt_{};   // begin of the second in which
  int lines_ = 0;                 // so many were logged,
  std::size_t linesLeftOut_ = 0;  // and so many not
  bool carrying_ = false;
};

}  // namespace cairnjunction

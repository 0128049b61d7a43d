// What is believed of each host, and why. Three sources speak of a host: the list, the connections to it, and
// the answers that come over them. Membership keeps what each one says and derives one state with its reason;
// from the state follows whether the decision module may send there (policy::Reach).
//
// It does no I/O, reads no clock, and decides nothing that the module decides: it only takes hosts out that
// can't be reached, and lets one request at a time find out whether they are back.
//
// The list may be late. So it is evidence beside the other two:
//  - a host that the list names and that refuses connections is taken out at once;
//  - one that the list has drained or dropped is never put back by any other source (the drain
//    rule counts from what was told);
//  - news in the list of a host (a new start, a new address) ends what was believed of its last process.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction {

enum class EndpointCondition {
  serving,
  warmingUp,    // serves, within the cold time of its start
  suspect,      // something speaks against it; it is still sent to
  unreachable,  // no connection to it can be had: sent to by single probes only
  draining,     // told so by the list: nothing new
  removed       // told so by the list, or left out by a whole one
};
std::string_view nameOf(EndpointCondition standing);

enum class ConditionReason {
  listed,             // the list names it and nothing speaks against it
  justStarted,        // lately, by the list
  connectionRefused,  // it refused a connection, and none is open
  connectionLimit,    // it refused a connection while others are open: it holds as many as it wants
  connectTimeout,     // a new connection didn't come up, and nothing was heard since it was begun
  connectionLost,     // a connection broke under an attempt, and nothing was heard since
  attemptTimeout,     // an attempt ran out of time, and nothing was heard since it was sent
  overloaded,         // it answers, and has for a while turned away all that it was sent
  listUpdate          // by the list
};
std::string_view nameOf(ConditionReason reason);

struct EndpointStatus {
  EndpointCondition condition = EndpointCondition::serving;
  ConditionReason reason = ConditionReason::listed;
};

class EndpointHealth {
 public:
  struct Settings {
    policy::Duration slowStartDuration{};  // after a start
    // Probes of one unreachable host: the first after this, each further one after twice as long.
    policy::Duration probeInitialBackoff = std::chrono::milliseconds(100);
    policy::Duration probeMaxBackoff = std::chrono::milliseconds(800);
    // One that says nothing costs its probe the time for connecting, so it is asked less often.
    policy::Duration silentProbeInitialBackoff = std::chrono::milliseconds(500);
    policy::Duration silentProbeMaxBackoff = std::chrono::seconds(4);
    // Over all hosts: each probe is a request that starts late, so many may do so at a time.
    double probesPerSecond = 20;
    // New connections that stay silent on end, with nothing heard, before the host is taken out.
    int connectTimeoutLimit = 2;
    // So many turned away on end, over at least this time with nothing served, are no short peak.
    int overloadedStreak = 8;
    policy::Duration overloadedDuration = std::chrono::milliseconds(500);
    // Of a fleet: how long another gateway's word stands in for own probes of a host at most, since this
    // gateway last tried it. Whoever is wrong, or lies, keeps a host out no longer; drawn down to half by
    // `spread`.
    policy::Duration delegationMaxDuration = std::chrono::seconds(10);
    // The list is doubted once a host that it has serving can't be reached, or turns all away, for so long;
    policy::Duration staleAfter = std::chrono::milliseconds(400);
    // asked about again after this, and each further time after twice as long,
    policy::Duration resyncInitialBackoff = std::chrono::seconds(2);
    int resyncMaxDoublings = 3;  // up to so often;
    policy::Duration resyncRetryAfterFailure =
        std::chrono::seconds(1);  // and after this if discovery did not answer.
    // From 0 to 1, another one at each gateway: those that see the same failure are not to ask in one moment.
    double jitter = 0.5;
  };

  struct ReachabilityChange {
    policy::EndpointId endpoint = policy::kNone;
    policy::Reachability reachability = policy::Reachability::reachable;
    // With Reach::open: its process is no older than this, by what was seen of it; zero: nothing was seen.
    policy::Timestamp startedAfter{};
    ConditionReason reason = ConditionReason::connectionRefused;  // it was taken out
    policy::Duration unreachableFor{};                            // with Reach::open: since it was
  };

  struct ListedEndpoint {  // an entry of the list, with the module's name of its host
    policy::EndpointId endpoint = policy::kNone;
    policy::EndpointState state = policy::EndpointState::active;
    policy::Timestamp startedAt{};  // latest start; zero = long past
  };

  explicit EndpointHealth(Settings settings) : settings_(settings) {}
  void setSlowStartDuration(policy::Duration coldTime) { settings_.slowStartDuration = coldTime; }

  // The list, whole or in part; a host that a whole one leaves out is gone. `restored`: from before our
  // start.
  void onList(policy::Timestamp now, policy::EndpointListKind kind, const std::vector<ListedEndpoint>& hosts);
  void onAddressChanged(policy::Timestamp now, policy::EndpointId host);  // the list gave it another address
  // How many connections to it are established; told at each change.
  void onConnections(policy::Timestamp now, policy::EndpointId host, std::uint32_t up);
  void onAttemptStarted(policy::EndpointId host, policy::RequestId request, std::uint32_t attempt);
  void onAttemptEnded(policy::Timestamp now, const policy::AttemptResult& result);
  void forget(policy::EndpointId host);
  // Of a fleet: another gateway tries this host for all until then, and says what it finds.
  void delegateProbing(policy::Timestamp now, policy::EndpointId host, policy::Timestamp until);
  // It was found taking connections so long ago. What this gateway saw later by itself goes before.
  void onRemoteProbeResult(policy::Timestamp now, policy::EndpointId host, policy::Duration age);
  std::vector<policy::EndpointId> unreachableEndpoints() const;  // listed to serve, and unreachable
  // What falls due by time: probes. Wanted every 100 ms or so; extra calls do no harm.
  void onTick(policy::Timestamp now);

  // Since the last take, in order: what the module is to be told.
  std::vector<ReachabilityChange> takeChanges();
  // Whether discovery should be asked beside the watch, since what the list says is not what is seen. True at
  // most as often as the settings space it.
  bool takeResyncRequest(policy::Timestamp now);
  // The question came to nothing: it may be asked again sooner.
  void onResyncFailed(policy::Timestamp now);

  EndpointStatus statusOf(policy::EndpointId host,
                          policy::Timestamp now) const;           // gone, if it was never named
  policy::Duration listAge(policy::Timestamp now) const;          // since discovery last spoke, by any answer
  std::vector<ListedEndpoint> listedEndpoints() const;            // by the list: serving or draining
  std::size_t activeCount() const;                                // told to serve
  std::uint64_t probesStarted() const { return probesOffered_; }  // offered since the start
  std::size_t unreachableCount() const;                           // of these

 private:
  struct Host {
    bool known = false;
    // The list.
    policy::EndpointState phase = policy::EndpointState::removed;
    policy::Timestamp upSince{};
    // The connections.
    std::uint32_t up = 0;
    int silentDials = 0;  // on end
    bool crowded = false;
    // The answers.
    policy::Timestamp heardAt{}, lostAt{}, waitedAt{}, turnedAwayAt{};  // the last one: the first of the row
    int turnedAway = 0;                                                 // on end
    // Being out.
    bool out = false, probing = false;
    ConditionReason why = ConditionReason::connectionRefused;
    int probes = 0;  // that failed
    policy::Timestamp outAt{}, probeAt{}, refusedAt{}, startedAfter{};
    policy::Timestamp triedAt{}, othersUntil{};  // by this gateway, last; by others
    policy::RequestId probeRequest = 0;
    std::uint32_t probeAttempt = 0;
    policy::Reachability reach = policy::Reachability::reachable;  // as the module was told
  };

  Host* find(policy::EndpointId host);
  EndpointStatus derive(const Host& h, policy::Timestamp now) const;
  void tell(Host& h, policy::Reachability reach, policy::Duration away = {});
  void takeOut(Host& h, policy::Timestamp now, ConditionReason why);
  void bringBack(Host& h, policy::Timestamp now);
  void schedule(Host& h, policy::Timestamp now);
  void heard(Host& h, policy::Timestamp now, const policy::AttemptResult& result);
  void failedToConnect(Host& h, policy::Timestamp now, const policy::AttemptResult& result);
  bool turnsAllAway(const Host& h, policy::Timestamp now) const;
  bool listDoubtful(policy::Timestamp now) const;

  Settings settings_;
  std::vector<Host> hosts_;  // by HostId: these are small numbers, and given out again
  std::vector<ReachabilityChange> changes_;
  double probeTokens_ = 1;
  std::uint64_t probesOffered_ = 0;
  policy::Timestamp tokensAt_{}, listAt_{}, doubtAt_{};
  int doubts_ = 0;         // on end
  std::size_t first_ = 0;  // the host at which the next round of probes begins
};

}  // namespace cairnjunction

// What is believed of each host, and why. Three sources speak of a host: the list, the connections to it, and
// the answers that come over them. Membership keeps what each one says and derives one state with its reason;
// from the state follows whether the decision module may send there (ochrehill::Reach).
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

#include "ochrehill/ochrehill.hpp"

namespace cairnjunction {

enum class Standing {
  serving,
  cold,         // serves, within the cold time of its start
  suspect,      // something speaks against it; it is still sent to
  unreachable,  // no connection to it can be had: sent to by single probes only
  draining,     // told so by the list: nothing new
  gone          // told so by the list, or left out by a whole one
};
std::string_view nameOf(Standing standing);

enum class Reason {
  listed,      // the list names it and nothing speaks against it
  started,     // lately, by the list
  refused,     // it refused a connection, and none is open
  crowded,     // it refused a connection while others are open: it holds as many as it wants
  dialSilent,  // a new connection didn't come up, and nothing was heard since it was begun
  lost,        // a connection broke under an attempt, and nothing was heard since
  waiting,     // an attempt ran out of time, and nothing was heard since it was sent
  turnedAway,  // it answers, and has for a while turned away all that it was sent
  told         // by the list
};
std::string_view nameOf(Reason reason);

struct Belief {
  Standing state = Standing::serving;
  Reason reason = Reason::listed;
};

class Membership {
 public:
  struct Settings {
    ochrehill::Duration coldTime{};  // after a start
    // Probes of one unreachable host: the first after this, each further one after twice as long.
    ochrehill::Duration probeFirst = std::chrono::milliseconds(100);
    ochrehill::Duration probeMost = std::chrono::milliseconds(800);
    // One that says nothing costs its probe the time for connecting, so it is asked less often.
    ochrehill::Duration silentFirst = std::chrono::milliseconds(500);
    ochrehill::Duration silentMost = std::chrono::seconds(4);
    // Over all hosts: each probe is a request that starts late, so many may do so at a time.
    double probesPerSecond = 20;
    // New connections that stay silent on end, with nothing heard, before the host is taken out.
    int silentDials = 2;
    // So many turned away on end, over at least this time with nothing served, are no short peak.
    int turnedAwayRow = 8;
    ochrehill::Duration turnedAwayFor = std::chrono::milliseconds(500);
    // Of a fleet: how long another gateway's word stands in for own probes of a host at most, since this
    // gateway last tried it. Whoever is wrong, or lies, keeps a host out no longer; drawn down to half by
    // `spread`.
    ochrehill::Duration othersMost = std::chrono::seconds(10);
    // The list is doubted once a host that it has serving can't be reached, or turns all away, for so long;
    ochrehill::Duration doubtAfter = std::chrono::milliseconds(400);
    // asked about again after this, and each further time after twice as long,
    ochrehill::Duration doubtFirst = std::chrono::seconds(2);
    int doubtDoublings = 3;                                    // up to so often;
    ochrehill::Duration doubtRetry = std::chrono::seconds(1);  // and after this if discovery did not answer.
    // From 0 to 1, another one at each gateway: those that see the same failure are not to ask in one moment.
    double spread = 0.5;
  };

  struct Change {
    ochrehill::HostId host = ochrehill::kNone;
    ochrehill::Reach reach = ochrehill::Reach::open;
    // With Reach::open: its process is no older than this, by what was seen of it; zero: nothing was seen.
    ochrehill::Time startedAfter{};
    Reason why = Reason::refused;  // it was taken out
    ochrehill::Duration away{};    // with Reach::open: since it was
  };

  struct Named {  // an entry of the list, with the module's name of its host
    ochrehill::HostId host = ochrehill::kNone;
    ochrehill::Phase phase = ochrehill::Phase::in;
    ochrehill::Time upSince{};  // latest start; zero = long past
  };

  explicit Membership(Settings settings) : settings_(settings) {}
  void setColdTime(ochrehill::Duration coldTime) { settings_.coldTime = coldTime; }

  // The list, whole or in part; a host that a whole one leaves out is gone. `restored`: from before our
  // start.
  void onList(ochrehill::Time now, ochrehill::ListKind kind, const std::vector<Named>& hosts);
  void onMoved(ochrehill::Time now, ochrehill::HostId host);  // the list gave it another address
  // How many connections to it are established; told at each change.
  void onConnections(ochrehill::Time now, ochrehill::HostId host, std::uint32_t up);
  void onSent(ochrehill::HostId host, ochrehill::RequestId request, std::uint32_t attempt);
  void onAttempt(ochrehill::Time now, const ochrehill::AttemptResult& result);
  void forget(ochrehill::HostId host);
  // Of a fleet: another gateway tries this host for all until then, and says what it finds.
  void leaveToOthers(ochrehill::Time now, ochrehill::HostId host, ochrehill::Time until);
  // It was found taking connections so long ago. What this gateway saw later by itself goes before.
  void foundByOthers(ochrehill::Time now, ochrehill::HostId host, ochrehill::Duration age);
  std::vector<ochrehill::HostId> outHosts() const;  // listed to serve, and unreachable
  // What falls due by time: probes. Wanted every 100 ms or so; extra calls do no harm.
  void onTime(ochrehill::Time now);

  // Since the last take, in order: what the module is to be told.
  std::vector<Change> takeChanges();
  // Whether discovery should be asked beside the watch, since what the list says is not what is seen. True at
  // most as often as the settings space it.
  bool takeDoubt(ochrehill::Time now);
  // The question came to nothing: it may be asked again sooner.
  void onDoubtFailed(ochrehill::Time now);

  Belief of(ochrehill::HostId host, ochrehill::Time now) const;  // gone, if it was never named
  ochrehill::Duration listAge(ochrehill::Time now) const;        // since discovery last spoke, by any answer
  std::vector<Named> named() const;                              // by the list: serving or draining
  std::size_t listed() const;                                    // told to serve
  std::uint64_t probes() const { return probesOffered_; }        // offered since the start
  std::size_t unreachable() const;                               // of these

 private:
  struct Host {
    bool known = false;
    // The list.
    ochrehill::Phase phase = ochrehill::Phase::out;
    ochrehill::Time upSince{};
    // The connections.
    std::uint32_t up = 0;
    int silentDials = 0;  // on end
    bool crowded = false;
    // The answers.
    ochrehill::Time heardAt{}, lostAt{}, waitedAt{}, turnedAwayAt{};  // the last one: the first of the row
    int turnedAway = 0;                                               // on end
    // Being out.
    bool out = false, probing = false;
    Reason why = Reason::refused;
    int probes = 0;  // that failed
    ochrehill::Time outAt{}, probeAt{}, refusedAt{}, startedAfter{};
    ochrehill::Time triedAt{}, othersUntil{};  // by this gateway, last; by others
    ochrehill::RequestId probeRequest = 0;
    std::uint32_t probeAttempt = 0;
    ochrehill::Reach reach = ochrehill::Reach::open;  // as the module was told
  };

  Host* find(ochrehill::HostId host);
  Belief derive(const Host& h, ochrehill::Time now) const;
  void tell(Host& h, ochrehill::Reach reach, ochrehill::Duration away = {});
  void takeOut(Host& h, ochrehill::Time now, Reason why);
  void bringBack(Host& h, ochrehill::Time now);
  void schedule(Host& h, ochrehill::Time now);
  void heard(Host& h, ochrehill::Time now, const ochrehill::AttemptResult& result);
  void failedToConnect(Host& h, ochrehill::Time now, const ochrehill::AttemptResult& result);
  bool turnsAllAway(const Host& h, ochrehill::Time now) const;
  bool listDoubtful(ochrehill::Time now) const;

  Settings settings_;
  std::vector<Host> hosts_;  // by HostId: these are small numbers, and given out again
  std::vector<Change> changes_;
  double probeTokens_ = 1;
  std::uint64_t probesOffered_ = 0;
  ochrehill::Time tokensAt_{}, listAt_{}, doubtAt_{};
  int doubts_ = 0;         // on end
  std::size_t first_ = 0;  // the host at which the next round of probes begins
};

}  // namespace cairnjunction

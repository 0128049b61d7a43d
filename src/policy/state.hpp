// Plain state of the decision module; nothing is decided here.
#pragma once

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "common/numeric.hpp"

namespace cairnjunction::policy {

constexpr std::size_t kTries = 8;  // attempts kept for one request

enum class Health { good, ejected, trial };

struct Host {
  EndpointInfo entry;
  std::uint64_t hash = 0;
  bool local = false;
  int inflight = 0;
  int named = 0;    // by attempts of open requests, also those that are over
  double pace = 1;  // time taken against the class's usual time
  double fails = 0;
  double served = 0;                // answers since the last sweep
  std::size_t kind = 0;             // into kinds
  std::vector<bool> open;           // by class: its placement allows this host
  std::vector<double> classFails;   // by class: share of the recent attempts that failed
  double outcomes = 0, errors = 0;  // decayed counts, for the pool's error rate
  Health health = Health::good;
  Timestamp until{};  // end of the ejection
  int ejections = 0;
  double crowd = 1, share = 1;  // one and what it holds a core, as last told; of its draws kept
  bool silent = false;
  int lines = 0;  // connections that should be open; as told, if exact
  bool exact = false;
  Reachability reach = Reachability::reachable;
  Timestamp startedAfter{};  // by what was seen of it
  Timestamp heard{}, used{};
  int fulls = 0;                       // "full" answers on end
  Timestamp restUntil{}, dialAfter{};  // nothing is sent before; no new connection is opened before
  int dialFails = 0;                   // connections on end that could not be opened
  double coldTokens = 0;
  Timestamp coldAt{};
  std::deque<std::pair<std::uint32_t, std::uint32_t>> sent;  // (slot, generation) in order of sending
};

struct Try {
  EndpointId host = kNone;
  Timestamp at{};
  bool out = false, mayHaveRun = false, cancelled = false, dialled = false;
  std::size_t age = 0;  // of the connection used: how long it lay idle, as a step of Lost; 0 = fresh or new
};

struct Open {
  RequestId id = 0;
  std::uint32_t generation = 0;
  std::uint32_t cls = kNone;
  Timestamp deadline{}, aimAt{};
  double cost = 0;   // against the class's mean
  double score = 0;  // 1 to 100
  std::uint64_t key = 0;
  bool hasKey = false, live = false, ended = false, bound = false;
  std::array<Try, kTries> tries;
  std::uint32_t count = 0, out = 0, most = kTries;
};

struct Kind {  // machines of one size
  std::string name;
  double pace = 1;               // of its hosts in the mean: what a host not heard of is taken for
  double weight = 0;             // of an empty host
  double served = 0, count = 0;  // by warm hosts since the last sweep, and how many they are
  double rate = 0, proven = 0;   // answers a second that a warm host of this kind gives us; kept for a while
};

struct Level {  // requests of one worth, for the ranks
  double worth = 0, seen = 0;
};

struct ClassState {
  ClassSettings set;
  double norm = 0;      // seconds; zero until the first answer
  double meanCost = 0;  // seconds, of the hints
  double fails = 0;     // share of failed attempts, over all hosts
  Duration usualLeft{};
  std::size_t usualPlace = 0;
  std::array<double, 64> leftSeen{};  // requests by the time they had, faded: over the last fifty

  // Where the time of this one lies, in steps; of places with as many, the later is the usual one.
  std::size_t noteLeft(double steps) {
    const double last = static_cast<double>(leftSeen.size() - 1);
    const auto place = static_cast<std::size_t>(std::clamp(steps, 0.0, last));
    for (double& seen : leftSeen) seen *= 0.98;
    leftSeen[place] += 1;
    const auto fullest =
        std::max_element(leftSeen.rbegin(), leftSeen.rend(), [](double a, double b) { return a < 0.9 * b; });
    usualPlace = static_cast<std::size_t>(leftSeen.rend() - fullest) - 1;
    return place;
  }
};

struct Turn {  // of one key: who waits, in order of arrival; the first one has the turn
  std::deque<std::uint32_t> queue;
  Timestamp restUntil{};
};

enum class Due { answer, copy, turn };  // last moment for an answer; a second copy; a look at the key's turn

struct Guard {
  Timestamp at;
  std::uint32_t slot, generation;
  Due due;
  bool operator>(const Guard& o) const { return at != o.at ? at > o.at : slot > o.slot; }
};

struct Guards : std::priority_queue<Guard, std::vector<Guard>, std::greater<>> {
  std::size_t most = 1024;  // dropped from then on: twice as many as were left the last time
  template <class Dead>
  void drop(Dead dead) {
    std::erase_if(c, dead);
    std::make_heap(c.begin(), c.end(), comp);
    most = std::max<std::size_t>(1024, 2 * c.size());
  }
};

}  // namespace cairnjunction::policy

// Named sessions: what was answered, so that a call that is repeated by its id after a dropped connection has
// the answer of its first run and is never run again. Decides only: no I/O, no clock.
//
// A session is attached while a connection has it. Time to live: an answer is held for `ttl` after it was
// given, and at least until `ttl` after the session was last attached or detached. A detached session is
// forgotten `ttl` after its connection dropped, with all that it holds; resuming it then says so.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::jsonrpc {

// What came of a call, as JSON: the value of `result`, or of `error`.
struct Result {
  bool isError = false;
  std::string json;
};

class SessionTable {
 public:
  using Time = policy::Timestamp;
  using Id = std::uint64_t;  // of a session; never used again

  struct Limits {
    std::size_t sessions = 1024;
    std::size_t entries = 65536;      // over all sessions
    std::size_t entriesOfOne = 8192;  // one client can't take the place of all others
    std::size_t bytes = 8 << 20;      // of ids and answers, with kEntryCost for each entry
    policy::Duration ttl = std::chrono::seconds(60);
  };
  static constexpr std::size_t kEntryCost = 160;  // bytes, of the containers

  enum class Opened { fresh, resumed, notHeld, full };
  enum class Begun {
    first,      // to be run; the entry is held from now on
    running,    // its first run is not over: `ticket` is that one's
    answered,   // `answer` is the first run's
    different,  // the id was used for something else
    full        // no room to hold it, so it must not be run
  };
  struct Found {
    Begun begun = Begun::full;
    std::uint64_t ticket = 0;
    const Result* answer = nullptr;  // until the table is changed
  };

  explicit SessionTable(const Limits& limits) : limits_(limits) {}

  // Attaches a session by its name. `resume`: only one that is held. Whoever had it before has it no longer.
  Opened open(Time now, std::string_view name, bool resume, Id& id);
  void detach(Time now, Id id);  // its connection dropped

  // A call with id `key`. `print`: a hash of what it asks. With Begun::first, `ticket` is kept for it.
  Found begin(Time now, Id id, const std::string& key, std::uint64_t print, std::uint64_t ticket);
  void answered(Time now, Id id, const std::string& key, Result answer);
  void neverRan(Id id, const std::string& key);  // refused: a repeat is a first run

  void expire(Time now);  // forgets what is due; to be called now and then

  std::size_t sessions() const { return sessions_.size(); }
  std::size_t entries() const { return entries_; }
  std::size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    std::uint64_t print = 0, ticket = 0;
    Result answer;
    bool done = false;
    Time due{};
  };
  struct Session {
    std::string name;
    bool attached = true;
    Time touched{};  // attached or detached
    std::unordered_map<std::string, Entry> entries;
  };
  struct Due {
    Time at{};
    Id session = 0;
    std::string key;  // empty: the session itself
    bool operator>(const Due& o) const { return at > o.at; }
  };

  Entry* find(Id id, const std::string& key);
  void drop(Session& session, const std::string& key);

  Limits limits_;
  std::unordered_map<Id, Session> sessions_;
  std::unordered_map<std::string, Id> byName_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>> due_;  // one for each answered entry or detach
  std::size_t entries_ = 0, bytes_ = 0;
  Id last_ = 0;
};

}  // namespace cairnjunction::jsonrpc

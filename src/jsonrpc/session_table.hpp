// Results of named sessions: a call that is repeated with its id after a broken connection gets the result of
// its first run and never runs again. Decides only: no I/O, no clock.
//
// A session is attached while a connection uses it. A result is kept for `ttl` after it was set, and at least
// until `ttl` after the session was last attached or detached. A detached session is removed `ttl` after it
// was detached, but not before its last call has ended and the last result has expired; resuming it then
// fails with Opened::notHeld.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::jsonrpc {

// A call's result, as JSON: the value of `result`, or of `error`.
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
    std::size_t entriesOfOne = 8192;  // of one session, so that it can't fill the table
    std::size_t bytes = 8 << 20;      // of ids and results, plus kEntryCost for each entry
    policy::Duration ttl = std::chrono::seconds(60);
  };
  static constexpr std::size_t kEntryCost = 160;  // bytes of the containers for an entry

  enum class Opened { fresh, resumed, notHeld, full };
  enum class Begun {
    first,      // run it; the entry is kept from now on
    running,    // its first run, with `ticket`, is in flight
    answered,   // `answer` is the result of the first run
    different,  // the id was used for another request
    full        // no room for its entry, so it must not run
  };
  struct Found {
    Begun begun = Begun::full;
    std::uint64_t ticket = 0;
    const Result* answer = nullptr;  // until the table is changed
  };

  explicit SessionTable(const Limits& limits) : limits_(limits) {}

  // Attaches a session by its name; with `resume` only an existing one. The caller closes a connection that
  // had it before.
  Opened open(Time now, std::string_view name, bool resume, Id& id);
  void detach(Time now, Id id);  // its connection closed

  // Begins a call with id `key`. `print`: hash of its method and params. With Begun::first, `ticket` is
  // stored.
  Found begin(Time now, Id id, const std::string& key, std::uint64_t print, std::uint64_t ticket);
  // What is known of a call; empty if nothing is, so that it would be a first run. Begins nothing.
  std::optional<Found> find(Id id, const std::string& key, std::uint64_t print) const;
  void answered(Time now, Id id, const std::string& key, Result answer);
  void neverRan(Id id, const std::string& key);  // rejected: a repeat counts as the first run

  void expire(Time now);  // removes what has expired; to be called periodically

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

  const Entry* entryOf(Id id, const std::string& key) const;
  void drop(Id id, Session& session, const std::string& key);
  void expireEntry(Time now, Due due, Session& session);
  void expireSession(Time now, Id id, const Session& session);

  Limits limits_;
  std::unordered_map<Id, Session> sessions_;
  std::unordered_map<std::string, Id> byName_;
  std::priority_queue<Due, std::vector<Due>, std::greater<>>
      due_;  // of finished entries and detached sessions
  std::size_t entries_ = 0, bytes_ = 0;
  Id last_ = 0;
};

}  // namespace cairnjunction::jsonrpc

// Results of named sessions: a call that is repeated with its id after a broken connection gets the result of
// its first run and never runs again. Decides only: no I/O, no clock.
//
// A session is attached while a connection uses it. A result is kept for `ttl` after it was set, and at least
// until `ttl` after the session was last attached or detached. A detached session is removed `ttl` after it
// was detached, but not before its last call has ended and the last result has expired; resuming it then
// fails with OpenResult::notHeld.
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
    std::size_t entries = 65536;           // over all sessions
    std::size_t entriesPerSession = 8192;  // of one session, so that it can't fill the table
    std::size_t bytes = 8 << 20;           // of ids and results, plus kBytesPerEntry for each entry
    policy::Duration ttl = std::chrono::seconds(60);
  };
  static constexpr std::size_t kBytesPerEntry = 160;  // bytes of the containers for an entry

  enum class OpenResult { fresh, resumed, notHeld, full };
  enum class CallStatus {
    first,      // run it; the entry is kept from now on
    running,    // its first run, with `ticket`, is in flight
    answered,   // `answer` is the result of the first run
    different,  // the id was used for another request
    full        // no room for its entry, so it must not run
  };
  struct KnownCall {
    CallStatus status = CallStatus::full;
    std::uint64_t ticket = 0;
    const Result* answer = nullptr;  // until the table is changed
  };

  explicit SessionTable(const Limits& limits) : limits_(limits) {}

  // Attaches a session by its name; with `resume` only an existing one. The caller closes a connection that
  // had it before.
  OpenResult open(Time now, std::string_view name, bool resume, Id& id);
  void detach(Time now, Id id);  // its connection closed

  // Begins a call with id `key`. `fingerprint`: hash of its method and params. With CallStatus::first,
  // `ticket` is stored.
  KnownCall begin(Time now, Id id, const std::string& key, std::uint64_t fingerprint, std::uint64_t ticket);
  // What is known of a call; empty if nothing is, so that it would be a first run. Begins nothing.
  std::optional<KnownCall> find(Id id, const std::string& key, std::uint64_t fingerprint) const;
  void recordResult(Time now, Id id, const std::string& key, Result answer);
  void recordNotRun(Id id, const std::string& key);  // rejected: a repeat counts as the first run

  void expire(Time now);  // removes what has expired; to be called periodically

  std::size_t sessions() const { return sessions_.size(); }
  std::size_t entries() const { return entries_; }
  std::size_t bytes() const { return bytes_; }

 private:
  struct Entry {
    std::uint64_t fingerprint = 0, ticket = 0;
    Result answer;
    bool done = false;
    Time expiresAt{};
  };
  struct Session {
    std::string name;
    bool attached = true;
    Time attachmentChangedAt{};  // attached or detached
    std::unordered_map<std::string, Entry> entries;
  };
  struct Expiry {
    Time at{};
    Id session = 0;
    std::string key;  // empty: the session itself
    bool operator>(const Expiry& other) const { return at > other.at; }
  };

  const Entry* entryOf(Id id, const std::string& key) const;
  void erase(Id id, Session& session, const std::string& key);
  void expireEntry(Time now, Expiry expiry, Session& session);
  void expireSession(Time now, Id id, const Session& session);

  Limits limits_;
  std::unordered_map<Id, Session> sessions_;
  std::unordered_map<std::string, Id> byName_;
  // Of finished entries and detached sessions.
  std::priority_queue<Expiry, std::vector<Expiry>, std::greater<>> expiries_;
  std::size_t entries_ = 0, bytes_ = 0;
  Id last_ = 0;
};

}  // namespace cairnjunction::jsonrpc

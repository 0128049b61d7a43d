// The interfaces of a replicated, durable log that a few voters agree on, and of the state machine that it
// drives. They hide the consensus algorithm, the I/O and the library. All functions must be called on the
// event loop's thread, which also runs all callbacks.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cairnjunction::consensus {

// Twice the size of a batch with renewals of all members.
inline constexpr std::size_t kMaxEntryBytes = 256 << 10;

// The log can't be opened or used: its folder or its identity file is wrong, or its data is damaged. The text
// has the file's path. The voter has not voted with this log.
struct LogError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Applies the entries. Each voter's machine gets the same entries in the same order, and its state must
// depend on nothing else.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  // `entry` is valid during the call only. Must not throw: an entry that can't be decoded is skipped, as it
  // is by every voter.
  virtual void apply(std::string_view entry) = 0;
  // Returns the whole state, encoded.
  virtual std::string snapshot() const = 0;
  // Replaces the state by one that snapshot() has encoded, here or at another voter. Throws
  // std::invalid_argument if it can't be decoded; the voter then ends.
  virtual void restore(std::string_view snapshot) = 0;
};

class ReplicatedLog {
 public:
  // `committed`: the machine has just applied the entry, and nothing after it. If false, leadership was lost,
  // and it is unknown whether the entry will ever be applied.
  using Done = std::function<void(bool committed)>;

  virtual ~ReplicatedLog() = default;
  // Proposes an entry of at most kMaxEntryBytes; calls `done` once. Calls done(false) before it returns if
  // isLeader() is false or the entry is longer. Entries are applied in the order in which they were proposed.
  virtual void propose(std::string entry, Done done) = 0;
  // Whether this voter leads, and its machine has applied all entries that earlier leaders committed.
  virtual bool isLeader() const = 0;
  // Number of the voter that leads, as far as this voter knows; 0: none.
  virtual int leader() const = 0;
  // `changed` is called each time isLeader() changes. To be set before the event loop first runs.
  virtual void onLeadershipChange(std::function<void()> changed) = 0;
  // Why this voter is paused, with the file's path if its disk fails; empty: it is not paused. A voter is
  // paused while its disk fails or too many writes are pending. It does not lead, and acknowledges nothing,
  // until the pending writes are on the disk.
  virtual std::optional<std::string> pauseReason() const = 0;
  // `changed` is called each time a pause begins or ends. To be set before the event loop first runs.
  virtual void onPauseChange(std::function<void()> changed) = 0;
  // Transfers leadership to another voter if possible, then closes the log and calls `done` once. A second
  // call does nothing.
  virtual void stop(std::function<void()> done) = 0;
};

}  // namespace cairnjunction::consensus

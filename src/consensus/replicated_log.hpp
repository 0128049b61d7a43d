// A replicated, durable log that a few voters agree on, and the state machine that it drives. No consensus,
// no I/O and no library shows through this header. Everything here is called on the event loop's thread, and
// calls back on it.
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cairnjunction::consensus {

// Bytes of an entry: twice what a batch of renewals of all members has.
inline constexpr std::size_t kEntryMost = 256 << 10;

// The log can't be had: its folder, its identity, or damage; the text has the file's name. The voter did not
// vote with it.
struct LogError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What the entries mean. Each voter's machine is given the same entries in the same order, so it must come to
// the same state by them alone.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  // `entry` is good during the call only. Must not throw: what it can't read it passes over, as every voter
  // does.
  virtual void apply(std::string_view entry) = 0;
  // The whole state as bytes.
  virtual std::string snapshot() const = 0;
  // In place of all entries before: the state that snapshot() wrote, here or at another voter. Throws
  // std::invalid_argument on other bytes, and then the voter ends.
  virtual void restore(std::string_view snapshot) = 0;
};

class ReplicatedLog {
 public:
  // `committed`: the machine has applied the entry, just now, and nothing after it. Otherwise it is not known
  // whether the entry will ever be applied: leadership was lost.
  using Done = std::function<void(bool committed)>;

  virtual ~ReplicatedLog() = default;
  // Takes the entry, of at most kEntryMost bytes, and calls `done` once. Without isLeader(), or with a longer
  // entry, done(false) is called before it returns. Entries are applied in the order of their proposals.
  virtual void propose(std::string entry, Done done) = 0;
  // This voter leads, and its machine has applied all that earlier leaders had committed.
  virtual bool isLeader() const = 0;
  // Number of the voter that leads, as far as this one knows; 0: none.
  virtual int leader() const = 0;
  // `changed` is called each time that isLeader() changes. Set before the event loop's first turn.
  virtual void onLeadershipChange(std::function<void()> changed) = 0;
  // Why this voter is paused, with the file's name: its disk fails, or is far behind. It does not lead, and
  // acknowledges nothing, until it has written what waits. Nothing: it is not paused.
  virtual std::optional<std::string> pauseReason() const = 0;
  // `changed` is called each time that a pause begins or ends. Set before the event loop's first turn.
  virtual void onPauseChange(std::function<void()> changed) = 0;
  // Hands leadership to another voter if it can, then ends, after which `done` is called once. A second call
  // does nothing.
  virtual void stop(std::function<void()> done) = 0;
};

}  // namespace cairnjunction::consensus

// A replicated, durable log that a few keepers agree on, and the machine that it drives. No consensus, no I/O
// and no library shows through this header.
#pragma once

#include <cstddef>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace cairnjunction::consensus {

inline constexpr std::size_t kEntryMost = 256
                                          << 10;  // bytes; what a batch of renewals of all members has, twice

// The log can't be had: its folder, its identity, or damage, with the file's name. Nothing was voted with it.
struct LogError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// What the entries mean. Each keeper's machine is given the same entries in the same order, so it must come
// to the same state by them alone. Called on the event loop's thread.
class StateMachine {
 public:
  virtual ~StateMachine() = default;
  virtual void apply(std::string_view entry) = 0;  // must not throw
  virtual std::string snapshot() const = 0;
  virtual void restore(std::string_view snapshot) = 0;  // throws std::invalid_argument: the keeper ends
};

class ReplicatedLog {
 public:
  // `committed`: the machine has applied the entry, just now, and nothing after it. Otherwise it is not known
  // whether the entry will ever be applied: leadership was lost.
  using Done = std::function<void(bool committed)>;

  virtual ~ReplicatedLog() = default;
  // Only while leads(): otherwise done(false) comes at once. Entries are applied in the order of their
  // proposals.
  virtual void propose(std::string entry, Done done) = 0;
  // This keeper leads, and its machine has applied all that earlier leaders had committed.
  virtual bool isLeader() const = 0;
  virtual int leader() const = 0;  // number of the keeper that leads, as far as is known; 0: none
  // Each time that leads() changes. Set before the first turn of the event loop.
  virtual void onLeadershipChange(std::function<void()> changed) = 0;
  // Hands leadership to another keeper if it can, then ends; `done` is called on the event loop.
  virtual void stop(std::function<void()> done) = 0;
};

}  // namespace cairnjunction::consensus

// Serialization by key: requests with the same key run one at a time, in order of arrival.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::policy {

// Keeps a queue of requests (by slot in the RequestTable) for each key. A request stays in its queue until it
// has ended and none of its attempts is in flight, and only the head may be sent: so two requests of a key
// are never in flight at once, and they run in order. An attempt whose outcome is unknown may still be
// running, so the key then has a cooldown.
class KeySerializer {
 public:
  // First request of a queue, and the earliest time of its first attempt.
  struct Head {
    std::uint32_t slot = 0;
    Timestamp notBefore{};
  };

  // Appends a request to its key's queue; returns how many are ahead of it.
  std::size_t enqueue(std::uint64_t key, std::uint32_t slot);
  // Removes an ended request from its key's queue and marks the key.
  void remove(std::uint64_t key, std::uint32_t slot);
  // Delays the key's next request until `until`.
  void coolDown(std::uint64_t key, Timestamp until) { queues_[key].cooldownUntil = until; }
  // Marks the key because the head of its queue may be ready to run: nextHead will return it.
  void markChanged(std::uint64_t key) { changedKeys_.push_back(key); }

  // Unmarks the next marked key and returns the head of its queue; nullopt once no key is marked. Also covers
  // keys that are marked between calls.
  std::optional<Head> nextHead(Timestamp now);

  // Drops keys without a request or cooldown; must be called once every kUpdateInterval.
  void update(Timestamp now);

  std::size_t keyCount() const { return queues_.size(); }

 private:
  struct KeyQueue {
    std::deque<std::uint32_t> slots;  // in order of arrival
    Timestamp cooldownUntil{};        // no attempt before this time
  };

  std::unordered_map<std::uint64_t, KeyQueue> queues_;
  std::vector<std::uint64_t> changedKeys_;  // marked keys, in order
  std::size_t nextChanged_ = 0;             // index of the next key to return
};

}  // namespace cairnjunction::policy

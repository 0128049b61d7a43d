// Serialization by key: requests that name one key run one at a time, in order of arrival.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::policy {

// A queue of requests (by slot in the RequestTable) for each key. A request stays in its queue until it is
// over and all its attempts are settled, and only the head may be sent: two requests of a key are never at
// the endpoints at once, and they run in order. After an attempt whose end is not known the key cools down,
// since the attempt may still be running.
class KeySerializer {
 public:
  // A queue's head, and when its first attempt may be sent.
  struct Head {
    std::uint32_t slot = 0;
    Timestamp notBefore{};
  };

  // Appends a request to its key's queue; returns how many are ahead of it.
  std::size_t enqueue(std::uint64_t key, std::uint32_t slot);
  // Takes a request that is over out of its key's queue.
  void remove(std::uint64_t key, std::uint32_t slot);
  // Keeps the key's next request back until then.
  void coolDown(std::uint64_t key, Timestamp until) { queues_[key].cooldownUntil = until; }
  // The head of the key's queue may have become free to run: nextHead will return it.
  void markChanged(std::uint64_t key) { changedKeys_.push_back(key); }

  // The head of the next key that was marked since; nullopt when all are done. Keys that are marked meanwhile
  // are returned too.
  std::optional<Head> nextHead(Timestamp now);

  // Forgets keys with no request and no cooldown left.
  void update(Timestamp now);

  std::size_t keyCount() const { return queues_.size(); }

 private:
  struct KeyQueue {
    std::deque<std::uint32_t> slots;  // in order of arrival
    Timestamp cooldownUntil{};        // nothing is sent before
  };

  std::unordered_map<std::uint64_t, KeyQueue> queues_;
  std::vector<std::uint64_t> changedKeys_;  // marked in this event
  std::size_t nextChanged_ = 0;             // into changedKeys_
};

}  // namespace cairnjunction::policy

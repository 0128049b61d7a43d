#include "policy/key_serializer.hpp"

#include <algorithm>

namespace cairnjunction::policy {

std::size_t KeySerializer::enqueue(std::uint64_t key, std::uint32_t slot) {
  std::deque<std::uint32_t>& slots = queues_[key].slots;
  const std::size_t ahead = slots.size();
  slots.push_back(slot);
  return ahead;
}

void KeySerializer::remove(std::uint64_t key, std::uint32_t slot) {
  std::erase(queues_[key].slots, slot);
  markChanged(key);
}

std::optional<KeySerializer::Head> KeySerializer::nextHead(Timestamp now) {
  while (nextChanged_ < changedKeys_.size()) {
    const auto it = queues_.find(changedKeys_[nextChanged_++]);
    if (it == queues_.end()) continue;
    const KeyQueue& queue = it->second;
    if (!queue.slots.empty()) return Head{queue.slots.front(), queue.cooldownUntil};
    if (now >= queue.cooldownUntil) queues_.erase(it);
  }
  changedKeys_.clear();
  nextChanged_ = 0;
  return std::nullopt;
}

void KeySerializer::update(Timestamp now) {
  std::erase_if(queues_, [&](const auto& entry) {
    const KeyQueue& queue = entry.second;
    return queue.slots.empty() && now >= queue.cooldownUntil;
  });
}

}  // namespace cairnjunction::policy

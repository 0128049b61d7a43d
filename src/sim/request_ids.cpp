#include "sim/request_ids.hpp"

namespace cairnjunction::sim {

policy::RequestId RequestIds::open(std::string_view name) {
  std::uint32_t index = 0;
  if (freeSlots_.empty()) {
    index = static_cast<std::uint32_t>(slots_.size());
    slots_.emplace_back();
  } else {
    index = freeSlots_.back();
    freeSlots_.pop_back();
  }
  Slot& slot = slots_[index];
  slot.name.assign(name);
  ++slot.generation;
  slot.attemptsInFlight = 0;
  slot.ended = false;
  slotByName_.emplace(slot.name, index);
  return idOf(index);
}

std::optional<policy::RequestId> RequestIds::find(std::string_view name) const {
  const auto it = slotByName_.find(name);
  if (it == slotByName_.end()) return std::nullopt;
  return idOf(it->second);
}

void RequestIds::recordResult(policy::RequestId id) {
  Slot& slot = slots_[slotOf(id)];
  if (slot.attemptsInFlight > 0) --slot.attemptsInFlight;
}

void RequestIds::dropIfOver(policy::RequestId id) {
  const std::uint32_t index = slotOf(id);
  Slot& slot = slots_[index];
  if (slot.name.empty() || idOf(index) != id || !slot.ended || slot.attemptsInFlight > 0) return;
  slotByName_.erase(slot.name);
  slot.name.clear();
  freeSlots_.push_back(index);
}

}  // namespace cairnjunction::sim

// The receiver's gate.
#include "lease/fencing_gate.hpp"

namespace cairnjunction::lease {

std::string_view nameOf(FencingResult verdict) {
  switch (verdict) {
    case FencingResult::accepted: return "taken";
    case FencingResult::notReady: return "not told yet how far the fleet is";
    case FencingResult::staleEpoch: return "an older epoch";
    case FencingResult::staleSequence: return "an older order of the same epoch";
    case FencingResult::conflictingHolder: return "a second sender under one epoch";
    case FencingResult::tooManyKeys: return "more duties than are kept";
  }
  return "";
}

void FencingGate::learn(const std::map<LeaseKey, FencingMark>& marks) {
  ready_ = true;
  for (const auto& [key, mark] : marks) {
    if (!marks_.count(key) && marks_.size() >= kKeysMost) return;
    FencingMark& known = marks_[key];
    if (mark.epoch > known.epoch) known = mark;
    else if (mark.epoch == known.epoch && mark.sequence > known.sequence) known.sequence = mark.sequence;
  }
}

FencingResult FencingGate::admit(const FencingToken& order) {
  const auto refuse = [this](FencingResult verdict) {
    ++refused_;
    return verdict;
  };
  if (!ready_) return refuse(FencingResult::notReady);
  const auto it = marks_.find(order.key);
  if (it == marks_.end()) {
    if (marks_.size() >= kKeysMost) return refuse(FencingResult::tooManyKeys);
    marks_[order.key] = {order.epoch, order.sequence, order.holder};
    return FencingResult::accepted;
  }
  FencingMark& known = it->second;
  if (order.epoch < known.epoch) return refuse(FencingResult::staleEpoch);
  if (order.epoch == known.epoch) {
    if (!known.holder.name.empty() && order.holder != known.holder)
      return refuse(FencingResult::conflictingHolder);
    if (order.sequence <= known.sequence) return refuse(FencingResult::staleSequence);
  }
  known = {order.epoch, order.sequence, order.holder};
  return FencingResult::accepted;
}

}  // namespace cairnjunction::lease

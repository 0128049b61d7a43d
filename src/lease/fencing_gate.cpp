// Compares fencing tokens with the marks of a receiver.
#include "lease/fencing_gate.hpp"

#include <algorithm>

namespace cairnjunction::lease {

void FencingGate::raiseMarks(const std::map<LeaseKey, FencingMark>& marks) {
  ready_ = true;
  for (const auto& [key, mark] : marks) {
    if (!marks_.contains(key) && marks_.size() >= kMaxKeys) return;
    FencingMark& known = marks_[key];
    if (mark.epoch > known.epoch) known = mark;
    else if (mark.epoch == known.epoch) known.sequence = std::max(known.sequence, mark.sequence);
  }
}

FencingResult FencingGate::admit(const FencingToken& token) {
  const FencingResult result = check(token);
  if (result == FencingResult::accepted) marks_[token.key] = {token.epoch, token.sequence, token.holder};
  else ++rejectedCount_;
  return result;
}

FencingResult FencingGate::check(const FencingToken& token) const {
  if (!ready_) return FencingResult::notReady;
  const auto found = marks_.find(token.key);
  if (found == marks_.end())
    return marks_.size() < kMaxKeys ? FencingResult::accepted : FencingResult::tooManyKeys;
  const FencingMark& known = found->second;
  if (token.epoch < known.epoch) return FencingResult::staleEpoch;
  if (token.epoch > known.epoch) return FencingResult::accepted;
  if (!known.holder.name.empty() && token.holder != known.holder) return FencingResult::conflictingHolder;
  return token.sequence > known.sequence ? FencingResult::accepted : FencingResult::staleSequence;
}

}  // namespace cairnjunction::lease

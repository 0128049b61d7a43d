// The receiver's gate.
#include "duty/fence.hpp"

namespace cairnjunction::duty {

std::string_view nameOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::taken: return "taken";
    case Verdict::unready: return "not told yet how far the fleet is";
    case Verdict::olderEpoch: return "an older epoch";
    case Verdict::olderSequence: return "an older order of the same epoch";
    case Verdict::otherSender: return "a second sender under one epoch";
    case Verdict::unknown: return "more duties than are kept";
  }
  return "";
}

void Fence::learn(const std::map<Key, Mark>& marks) {
  ready_ = true;
  for (const auto& [key, mark] : marks) {
    if (!marks_.count(key) && marks_.size() >= kKeysMost) return;
    Mark& known = marks_[key];
    if (mark.epoch > known.epoch) known = mark;
    else if (mark.epoch == known.epoch && mark.sequence > known.sequence) known.sequence = mark.sequence;
  }
}

Verdict Fence::admit(const OrderId& order) {
  const auto refuse = [this](Verdict verdict) {
    ++refused_;
    return verdict;
  };
  if (!ready_) return refuse(Verdict::unready);
  const auto it = marks_.find(order.key);
  if (it == marks_.end()) {
    if (marks_.size() >= kKeysMost) return refuse(Verdict::unknown);
    marks_[order.key] = {order.epoch, order.sequence, order.from};
    return Verdict::taken;
  }
  Mark& known = it->second;
  if (order.epoch < known.epoch) return refuse(Verdict::olderEpoch);
  if (order.epoch == known.epoch) {
    if (!known.from.name.empty() && order.from != known.from) return refuse(Verdict::otherSender);
    if (order.sequence <= known.sequence) return refuse(Verdict::olderSequence);
  }
  known = {order.epoch, order.sequence, order.from};
  return Verdict::taken;
}

}  // namespace cairnjunction::duty

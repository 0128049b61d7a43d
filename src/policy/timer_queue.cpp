#include "policy/timer_queue.hpp"

namespace cairnjunction::policy {

void TimerQueue::schedule(Timestamp at, RequestRef request, TimerKind kind) {
  heap_.push_back({at, request, kind});
  std::push_heap(heap_.begin(), heap_.end(), isLater);
}

std::optional<Timer> TimerQueue::popDue(Timestamp now) {
  if (heap_.empty() || heap_.front().at > now) return std::nullopt;
  const Timer timer = heap_.front();
  popFirst();
  return timer;
}

void TimerQueue::popFirst() {
  std::pop_heap(heap_.begin(), heap_.end(), isLater);
  heap_.pop_back();
}

}  // namespace cairnjunction::policy

// Timers of open requests, and the one wake-up that the embedding program keeps for them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::policy {

// Names a request by its slot in the RequestTable; the generation tells it from those that had the slot
// before.
struct RequestRef {
  std::uint32_t slot = 0;
  std::uint32_t generation = 0;
};

enum class TimerKind : std::uint8_t {
  answerDeadline,  // last moment at which the client can still be answered
  hedge,           // the first attempt has run for long: a second one may be sent beside it
  keyDispatch      // the request at the head of its key's queue is to be looked at
};

struct Timer {
  Timestamp at;
  RequestRef request;
  TimerKind kind;
};

// Timers by due time. Timers are not taken back: those of requests that are over are dropped when they come
// to the head of the queue, or all together once they have become many.
class TimerQueue {
 public:
  void schedule(Timestamp at, RequestRef request, TimerKind kind);

  // Takes out the next timer that is due; nullopt if there is none.
  std::optional<Timer> popDue(Timestamp now);

  // Drops what is over and returns the time of the next timer; nullopt without one. `isOver` takes a
  // RequestRef.
  template <class IsOver>
  std::optional<Timestamp> nextAt(const IsOver& isOver) {
    while (!heap_.empty() && isOver(heap_.front().request)) popFirst();
    // Most requests end long before their deadlines, and their timers would be kept until then.
    if (heap_.size() > purgeAbove_) {
      std::erase_if(heap_, [&](const Timer& timer) { return isOver(timer.request); });
      std::make_heap(heap_.begin(), heap_.end(), isLater);
      purgeAbove_ = std::max(kPurgeLeast, 2 * heap_.size());
    }
    if (heap_.empty()) return std::nullopt;
    return heap_.front().at;
  }

  std::size_t size() const { return heap_.size(); }

 private:
  static constexpr std::size_t kPurgeLeast = 1024;  // timers; fewer cost more to look through than to keep

  static bool isLater(const Timer& left, const Timer& right) {
    return left.at != right.at ? left.at > right.at : left.request.slot > right.request.slot;
  }
  void popFirst();

  std::vector<Timer> heap_;               // by isLater: the next one first
  std::size_t purgeAbove_ = kPurgeLeast;  // twice the timers that the last purge left
};

}  // namespace cairnjunction::policy

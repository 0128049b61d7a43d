// Timers of open requests. The embedding program keeps a single wake-up for the next one.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction::policy {

// Refers to a request by its slot in the RequestTable; the generation distinguishes it from earlier requests
// in that slot.
struct RequestRef {
  std::uint32_t slot = 0;
  std::uint32_t generation = 0;
};

// Purpose of a timer.
enum class TimerKind : std::uint8_t {
  answerDeadline,  // last time at which the client can still be answered
  hedge,           // the first attempt is slow: a hedge may be sent
  keyDispatch      // check whether the request at the head of its key's queue can be sent
};

struct Timer {
  Timestamp at;
  RequestRef request;
  TimerKind kind;
};

// Queue of timers by due time, then by slot. Timers cannot be cancelled: those of ended requests are dropped
// when they reach the head of the queue, or all together once the queue has grown large.
class TimerQueue {
 public:
  void schedule(Timestamp at, RequestRef request, TimerKind kind);

  // Removes and returns the next timer that is due; nullopt if there is none.
  std::optional<Timer> popDue(Timestamp now);

  // Drops timers of ended requests and returns the time of the next timer; nullopt if there is none.
  // `isEnded` takes a RequestRef and returns whether that request has ended.
  template <class IsEnded>
  std::optional<Timestamp> nextAt(const IsEnded& isEnded) {
    while (!heap_.empty() && isEnded(heap_.front().request)) popFirst();
    // Most requests end long before their deadlines; without the purge their timers would stay until then.
    if (heap_.size() > purgeAbove_) {
      std::erase_if(heap_, [&](const Timer& timer) { return isEnded(timer.request); });
      std::make_heap(heap_.begin(), heap_.end(), isLater);
      purgeAbove_ = std::max(kMinPurgeSize, 2 * heap_.size());
    }
    if (heap_.empty()) return std::nullopt;
    return heap_.front().at;
  }

  std::size_t size() const { return heap_.size(); }

 private:
  static constexpr std::size_t kMinPurgeSize = 1024;  // timers; purging fewer is not worth the scan

  static bool isLater(const Timer& left, const Timer& right) {
    return left.at != right.at ? left.at > right.at : left.request.slot > right.request.slot;
  }
  void popFirst();

  std::vector<Timer> heap_;                 // heap by isLater: the next timer first
  std::size_t purgeAbove_ = kMinPurgeSize;  // twice the number of timers left by the last purge
};

}  // namespace cairnjunction::policy

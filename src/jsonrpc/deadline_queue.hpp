// Deadlines of calls in the order of their time. A call's deadline may change or go with the call: former
// ones stay in the queue and are passed over.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

namespace cairnjunction::jsonrpc {

class DeadlineQueue {
 public:
  using Time = std::chrono::steady_clock::time_point;
  struct Deadline {
    Time time;
    std::uint64_t call = 0;
    bool operator>(const Deadline& other) const { return time > other.time; }
  };

  void add(const Deadline& deadline) { deadlines_.push(deadline); }
  // The earliest deadline that `isCurrent(deadline)` holds for; empty: there is none.
  template <class IsCurrent>
  std::optional<Time> earliest(IsCurrent isCurrent) {
    while (!deadlines_.empty() && !isCurrent(deadlines_.top())) deadlines_.pop();
    return deadlines_.empty() ? std::nullopt : std::optional(deadlines_.top().time);
  }
  // Removes the earliest current deadline that is due, and says whose it was; empty: none is due.
  template <class IsCurrent>
  std::optional<std::uint64_t> takeDue(Time now, IsCurrent isCurrent) {
    while (!deadlines_.empty() && deadlines_.top().time <= now) {
      const Deadline due = deadlines_.top();
      deadlines_.pop();
      if (isCurrent(due)) return due.call;
    }
    return std::nullopt;
  }
  // Most calls end long before their deadline, so former deadlines pile up. Whether there are so many of
  // them, with `calls` open calls, that the queue is to be made anew by replace().
  bool hasTooManyFormer(std::size_t calls) const { return deadlines_.size() > kFormerAllowed + 2 * calls; }
  void replace(std::vector<Deadline> current) { deadlines_ = Queue(std::greater<>(), std::move(current)); }

 private:
  using Queue = std::priority_queue<Deadline, std::vector<Deadline>, std::greater<>>;
  static constexpr std::size_t kFormerAllowed = 64;  // beside as many as there are calls

  Queue deadlines_;  // the current deadline of each call, and former ones
};

}  // namespace cairnjunction::jsonrpc

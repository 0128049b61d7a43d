// The failures of each member at each task. A member that fails repeatedly backs off from the task for longer
// and longer, and other members are granted it first.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "lease/lease.hpp"

namespace cairnjunction::lease {

// The failures of one member at one task.
struct FailureHistory {
  std::uint32_t consecutiveFailures = 0;  // since recordSuccess() was last called
  LogTime backoffUntil{};                 // until then other members are preferred for the task
  bool operator==(const FailureHistory&) const = default;
};

// The failure histories of all members. They are part of the lease table's state, so they depend on log
// entries only.
class FailureHistories {
 public:
  // At this limit, a new history replaces the one whose backoff ends first.
  static constexpr std::size_t kMaxHistories = 4096;
  // The backoff after the first failure. It doubles with each further failure, up to kMaxBackoff.
  static constexpr Duration kInitialBackoff{2'000};
  static constexpr Duration kMaxBackoff{300'000};

  using MemberTask = std::pair<std::string, std::string>;  // names of the member and of the task

  FailureHistories() = default;
  // Restores the histories of a snapshot: at most kMaxHistories.
  explicit FailureHistories(std::map<MemberTask, FailureHistory> histories)
      : histories_(std::move(histories)) {}

  // To be called when the member's lease expired, or was released as failed.
  void recordFailure(const std::string& member, const std::string& task, LogTime now);
  // To be called when the member has shown that it can do the task. Erases the failure history.
  void recordSuccess(const std::string& member, const std::string& task);

  // Without a failure: an empty history, whose backoff is over.
  FailureHistory find(const std::string& member, const std::string& task) const;
  const std::map<MemberTask, FailureHistory>& all() const { return histories_; }
  bool operator==(const FailureHistories&) const = default;

 private:
  void evictOne();  // the history whose backoff ends first

  std::map<MemberTask, FailureHistory> histories_;  // each with at least one failure
};

}  // namespace cairnjunction::lease

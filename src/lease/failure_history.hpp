// Which member failed at which task, so that one which fails again and again is granted it ever later.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "lease/lease.hpp"

namespace cairnjunction::lease {

// Of one member at one task.
struct FailureHistory {
  std::uint32_t consecutiveFailures = 0;  // since it last held the task for long enough
  LogTime backoffUntil{};                 // until then others are granted the task first
  bool operator==(const FailureHistory&) const = default;
};

// The histories of all members; a part of the lease table's state, so it depends on the log only.
class FailureHistories {
 public:
  // Past this the history whose backoff ends first is forgotten.
  static constexpr std::size_t kHistoriesMost = 4096;
  // The backoff after the first failure; it doubles with each further one, up to the most.
  static constexpr Duration kBackoffFirst{2'000};
  static constexpr Duration kBackoffMost{300'000};

  using MemberTask = std::pair<std::string, std::string>;  // names of the member and of the task

  FailureHistories() = default;
  // As a snapshot has them: at most kHistoriesMost.
  explicit FailureHistories(std::map<MemberTask, FailureHistory> histories)
      : histories_(std::move(histories)) {}

  // The member's lease of the task ended unrenewed, or it gave it back as failed.
  void recordFailure(const std::string& member, const std::string& task, LogTime now);
  // The member has shown that it can do the task: its history of it is forgotten.
  void recordSuccess(const std::string& member, const std::string& task);

  // With no failure: an empty one, whose backoff is over.
  FailureHistory find(const std::string& member, const std::string& task) const;
  const std::map<MemberTask, FailureHistory>& all() const { return histories_; }
  bool operator==(const FailureHistories&) const = default;

 private:
  void forgetOne();

  std::map<MemberTask, FailureHistory> histories_;  // only of those with failures
};

}  // namespace cairnjunction::lease

// The leader's access to the replicated log: proposes lease changes, each with the log's time, and returns
// the results. The log's time advances only while a coordinator leads (docs/design/fleet.md).
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "common/callback_guard.hpp"
#include "consensus/replicated_log.hpp"
#include "fleet/lease_state_machine.hpp"
#include "lease/lease_table.hpp"

namespace cairnjunction::fleet {

class LeaseLog {
 public:
  explicit LeaseLog(const LeaseStateMachine& machine) : machine_(machine) {}

  // There is no log before this coordinator votes, or after it has stopped. An attached log must outlive this
  // object or be detached first.
  void attach(consensus::ReplicatedLog& log) { log_ = &log; }
  void detach() { log_ = nullptr; }
  bool isAttached() const { return log_ != nullptr; }

  bool isLeader() const { return log_ != nullptr && log_->isLeader(); }
  // Why this coordinator is paused as a voter; empty if it is not paused or no log is attached.
  std::optional<std::string> pauseReason() const { return log_ ? log_->pauseReason() : std::nullopt; }
  // Number of the leader; 0 if unknown.
  int leader() const { return log_ ? log_->leader() : 0; }

  // This coordinator has become the leader: the log's time continues from that of the last entry.
  void onLeadershipAcquired();
  // The log's time, by the leader's count. Between two entries it advances by no more than the real time that
  // passed, also across leaders.
  lease::LogTime now() const;
  // Time since onLeadershipAcquired().
  lease::Duration timeAsLeader() const { return now() - leadershipStart_; }

  const lease::LeaseTable& table() const { return machine_.table(); }
  // Proposes a change with the current log time. `onApplied` is called once, with the result, right after the
  // entry was applied. It is never called if leadership is lost or no log is attached; after a loss of
  // leadership it is not known whether the entry will be applied.
  void propose(lease::Change change, std::function<void(const lease::ApplyResult&)> onApplied);

 private:
  const LeaseStateMachine& machine_;
  consensus::ReplicatedLog* log_ = nullptr;  // null if not attached
  lease::LogTime leadershipStart_{};         // the log's time at onLeadershipAcquired()
  lease::BootTime leadershipStartBoot_{};    // this machine's boot time at the same moment
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet

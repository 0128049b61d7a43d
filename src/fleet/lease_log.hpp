// What the leader does with the replicated log: it proposes changes of leases, each with the log's time, and
// reads what came of them. The log's time goes on only while a coordinator leads (docs/design/fleet.md).
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

  // Until this coordinator votes, and after it has stopped, there is no log. The log outlives this, or is
  // detached.
  void attach(consensus::ReplicatedLog& log) { log_ = &log; }
  void detach() { log_ = nullptr; }
  bool isAttached() const { return log_ != nullptr; }

  bool isLeader() const { return log_ != nullptr && log_->isLeader(); }
  // Why this coordinator takes no part in votes at present; nothing: it does, or has no log.
  std::optional<std::string> pauseReason() const { return log_ ? log_->pauseReason() : std::nullopt; }
  // Number of the coordinator that leads; 0: not known.
  int leader() const { return log_ ? log_->leader() : 0; }

  // This coordinator leads from now on: the log's time goes on from the last entry, from this moment.
  void beginLeading();
  // By the leader's count. Between two entries it grows by no more than real time has passed, across leaders
  // too.
  lease::LogTime now() const;
  // Since beginLeading().
  lease::Duration sinceLeading() const { return now() - startedAt_; }

  const lease::LeaseTable& table() const { return machine_.table(); }
  // `onApplied` is called once the change is applied, at this very entry; never if leadership was lost, when
  // it is not known whether it will be.
  void propose(lease::Change change, std::function<void(const lease::ApplyResult&)> onApplied);

 private:
  const LeaseStateMachine& machine_;
  consensus::ReplicatedLog* log_ = nullptr;  // null: not attached
  lease::LogTime startedAt_{};               // the log's time at beginLeading(),
  lease::BootTime startedAtBoot_{};          // and this machine's
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet

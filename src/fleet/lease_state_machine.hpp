// The lease table as the state machine of the replicated log.
#pragma once

#include <string>
#include <string_view>

#include "consensus/replicated_log.hpp"
#include "lease/lease_table.hpp"

namespace cairnjunction::fleet {

class LeaseStateMachine final : public consensus::StateMachine {
 public:
  // An entry that can't be decoded was written by another version. It is ignored, on every coordinator alike;
  // lastResult() is then a rejection as invalid.
  void apply(std::string_view entry) override;
  std::string snapshot() const override { return table_.snapshot(); }
  void restore(std::string_view bytes) override { table_.restore(bytes); }

  const lease::LeaseTable& table() const { return table_; }
  // Result of the last applied entry.
  const lease::ApplyResult& lastResult() const { return lastResult_; }

 private:
  lease::LeaseTable table_;
  lease::ApplyResult lastResult_;
};

}  // namespace cairnjunction::fleet

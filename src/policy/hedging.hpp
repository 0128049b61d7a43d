// Hedging: a second attempt beside one that takes long.
#pragma once

#include <optional>

#include "policy/class_state.hpp"
#include "policy/request_table.hpp"

namespace cairnjunction::policy {

// An endpoint that is slow without this gateway knowing it yet would use up a request's whole objective.
// While there is room, what may run twice is sent to another one too.
class HedgingPolicy {
 public:
  // `settings` must outlive this object.
  explicit HedgingPolicy(const Settings& settings) : settings_(settings) {}

  // How long after its first attempt a request may be hedged; nullopt: never.
  std::optional<Duration> delay(const ActiveRequest& request, const ClassState& requestClass) const;

 private:
  const Settings& settings_;
};

}  // namespace cairnjunction::policy

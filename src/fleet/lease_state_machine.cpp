#include "fleet/lease_state_machine.hpp"

#include <stdexcept>

#include "lease/codec.hpp"

namespace cairnjunction::fleet {

void LeaseStateMachine::apply(std::string_view entry) {
  try {
    lastResult_ = table_.apply(lease::decode(entry));
  } catch (const std::invalid_argument&) {
    lastResult_ = {lease::RejectionReason::invalid, {}};
  }
}

}  // namespace cairnjunction::fleet

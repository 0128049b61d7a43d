// The texts of the package's enums, for logs and answers to operators.
#include "lease/fencing_gate.hpp"
#include "lease/lease_table.hpp"

namespace cairnjunction::lease {

std::string_view nameOf(LeaseChangeReason reason) {
  switch (reason) {
    case LeaseChangeReason::vacant: return "vacant";
    case LeaseChangeReason::expired: return "expired";
    case LeaseChangeReason::released: return "released";
    case LeaseChangeReason::failed: return "failed";
    case LeaseChangeReason::left: return "left";
  }
  return "";
}

// Coordinators send these texts to members that they reject, so they stay as they are.
std::string_view nameOf(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::none: return "none";
    case RejectionReason::alreadyHeld: return "held by another member";
    case RejectionReason::notHolder: return "not its owner";
    case RejectionReason::staleIncarnation: return "another process has this member's name";
    case RejectionReason::tableFull: return "no room";
    case RejectionReason::invalid: return "nonsense";
  }
  return "";
}

std::string_view nameOf(FencingResult result) {
  switch (result) {
    case FencingResult::accepted: return "taken";
    case FencingResult::notReady: return "the fencing marks are not known yet";
    case FencingResult::staleEpoch: return "stale epoch";
    case FencingResult::staleSequence: return "stale sequence within the epoch";
    case FencingResult::conflictingHolder: return "a second holder under one epoch";
    case FencingResult::tooManyKeys: return "too many keys";
  }
  return "";
}

}  // namespace cairnjunction::lease

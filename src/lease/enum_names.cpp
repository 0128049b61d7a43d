// The texts of the package's enums, as they stand in logs and answers to operators.
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

std::string_view nameOf(RejectionReason reason) {
  switch (reason) {
    case RejectionReason::none: return "none";
    case RejectionReason::heldByAnother: return "held by another member";
    case RejectionReason::notHolder: return "not its owner";
    case RejectionReason::supplanted: return "another process has this member's name";
    case RejectionReason::full: return "no room";
    case RejectionReason::invalid: return "nonsense";
  }
  return "";
}

std::string_view nameOf(FencingResult result) {
  switch (result) {
    case FencingResult::accepted: return "taken";
    case FencingResult::notReady: return "not told yet how far the fleet is";
    case FencingResult::staleEpoch: return "an older epoch";
    case FencingResult::staleSequence: return "an older order of the same epoch";
    case FencingResult::conflictingHolder: return "a second sender under one epoch";
    case FencingResult::tooManyKeys: return "more duties than are kept";
  }
  return "";
}

}  // namespace cairnjunction::lease

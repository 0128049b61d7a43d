// The invariants of the lease table's state, and of each change from one entry to the next. The tests check
// both after every step; a debug build checks those of the state after each entry.
#pragma once

#include <string>
#include <vector>

#include "lease/lease_table_state.hpp"

namespace cairnjunction::lease {

class LeaseTableInvariants {
 public:
  // One line for each invariant that the state violates, such as "list/0: a lease ends after it was granted".
  static std::vector<std::string> violationsIn(const LeaseTableState& state);
  // The same for the change from `before` to `after`, made by applying one entry.
  static std::vector<std::string> violationsBetween(const LeaseTableState& before,
                                                    const LeaseTableState& after);
};

}  // namespace cairnjunction::lease

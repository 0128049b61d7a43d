// What holds for a lease table at any time, and from one entry to the next. The tests check both after every
// step; a debug build checks the first after each entry.
#pragma once

#include <string>
#include <vector>

#include "lease/lease_table_state.hpp"

namespace cairnjunction::lease {

class LeaseTableInvariants {
 public:
  // One line for each invariant that the state breaks; empty: none.
  static std::vector<std::string> violationsIn(const LeaseTableState& state);
  // The same for one entry: `after` is what it made of `before`.
  static std::vector<std::string> violationsBetween(const LeaseTableState& before,
                                                    const LeaseTableState& after);
};

}  // namespace cairnjunction::lease

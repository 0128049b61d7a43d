// Who is to be granted what is free: evenly over the members, those that failed last. Decides only; the lease
// table checks each grant again.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lease/lease_table.hpp"

namespace cairnjunction::lease {

// A task of the fleet, as its settings have it.
struct TaskSpec {
  std::string task;
  std::uint32_t shards = 1;  // each is leased on its own
  Duration leaseDuration{3000};
  // A task whose holder this one goes to first: it is a warm standby. Empty: none.
  std::string preferredSuccessor;
  // A task whose holder this one goes to last. Empty: none.
  std::string antiAffinity;
};

// A member that is connected and willing.
struct Candidate {
  Member member;
};

// The grants that are due at `now`, at most one for each key that is free; none without a candidate. A
// candidate that backs off from a task gets it only where no other one is left.
std::vector<LeaseGranted> assignLeases(const LeaseTable& table, const std::vector<TaskSpec>& specs,
                                       const std::vector<Candidate>& candidates, LogTime now);

}  // namespace cairnjunction::lease

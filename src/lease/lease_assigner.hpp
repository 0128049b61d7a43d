// Chooses the members to which free keys are granted: it spreads leases evenly and avoids members that failed
// at the task. It only proposes grants; the lease table checks each one when it is applied.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lease/lease_table.hpp"

namespace cairnjunction::lease {

// A task of the fleet, as configured.
struct TaskSpec {
  std::string task;
  std::uint32_t shards = 1;  // each is leased separately
  Duration leaseDuration{3000};
  // Name of the task whose holder is preferred for this one, because it is a warm standby. Empty: none.
  std::string preferredSuccessor;
  // Name of the task whose holder is avoided for this one. Empty: none.
  std::string antiAffinity;
};

// A member that is connected and eligible for grants.
struct Candidate {
  Member member;
};

// The grants to propose at `now`: one for each key of `specs` that no member holds; none without a candidate.
// A candidate that backs off from a task is chosen only if all candidates do.
std::vector<LeaseGranted> assignLeases(const LeaseTable& table, const std::vector<TaskSpec>& specs,
                                       const std::vector<Candidate>& candidates, LogTime now);

}  // namespace cairnjunction::lease

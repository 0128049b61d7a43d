// Who is to be granted what is free: fair over the members, past those that fail. Decides only; the registry
// checks each grant again.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lease/lease_table.hpp"

namespace cairnjunction::lease {

struct TaskSpec {  // a duty of the fleet
  std::string task;
  std::uint32_t shards = 1;
  Duration leaseDuration{3000};
  // Of the one duty whose owner this one goes to, if that owner can be had: a warm standby.
  std::string preferredSuccessor;
  // No member owns both, while there are others.
  std::string antiAffinity;
};

struct Candidate {  // a member that is connected and willing
  Member member;
};

// The grants that are due at `now`, at most one for each key. A member that was passed over gets one only
// where no other candidate is left.
std::vector<LeaseGranted> assignLeases(const LeaseTable& registry, const std::vector<TaskSpec>& specs,
                                       const std::vector<Candidate>& candidates, LogTime now);

}  // namespace cairnjunction::lease

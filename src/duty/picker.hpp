// Who is to be granted what is free: fair over the members, past those that fail. Decides only; the registry
// checks each grant again.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "duty/registry.hpp"

namespace cairnjunction::duty {

struct Spec {  // a duty of the fleet
  std::string duty;
  std::uint32_t shards = 1;
  Time lease{3000};
  // Of the one duty whose owner this one goes to, if that owner can be had: a warm standby.
  std::string heirs;
  // No member owns both, while there are others.
  std::string apartFrom;
};

struct Candidate {  // a member that is connected and willing
  Member member;
};

// The grants that are due at `now`, at most one for each key. A member that was passed over gets one only
// where no other candidate is left.
std::vector<Granted> pick(const Registry& registry, const std::vector<Spec>& specs,
                          const std::vector<Candidate>& candidates, Time now);

}  // namespace cairnjunction::duty

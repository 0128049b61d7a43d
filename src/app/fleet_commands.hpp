// `cairnjunction fleet ...`: what operators ask of a keeper on its machine, and the keeper itself.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace cairnjunction {

struct FleetWords {
  std::string socket;  // of the keeper: control.sock in its folder
  bool json = false;
  std::string duty;  // to hand over
  unsigned shard = 0;
  std::vector<std::string> keeper;  // words for the keeper's program
};

// Exit codes: 0 answered; 1 not.
int fleetStatus(const FleetWords& words, std::ostream& out);
int fleetDuties(const FleetWords& words, std::ostream& out);
int fleetHandOver(const FleetWords& words, std::ostream& out);
// Becomes the keeper's program, which lies beside this one; returns only if it is not there: throws
// std::runtime_error.
[[noreturn]] void becomeKeeper(const FleetWords& words);

}  // namespace cairnjunction

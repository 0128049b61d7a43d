// What operators are shown of a coordinator, as JSON. The names of the fields are those of the admin socket,
// and mapped to the code's here alone.
#pragma once

#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "fleet/connection_table.hpp"
#include "fleet/lease_log.hpp"

namespace cairnjunction::fleet {

struct CoordinatorStatus {
  std::string fleet;
  int number = 0;                       // of this coordinator
  std::uint64_t forwardedCommands = 0;  // since its start
  std::uint64_t rejectedPeers = 0;      // since its start
  std::uint64_t pauses = 0;             // of its part in votes, since its start
};

nlohmann::json statusJson(const CoordinatorStatus& status, const LeaseLog& log,
                          const ConnectionTable& connections);
// All keys that were ever granted. At a coordinator that does not lead: as of the last entry of its log.
nlohmann::json leasesJson(const LeaseLog& log);

}  // namespace cairnjunction::fleet

// The status of a coordinator as JSON for operators. Field names belong to the admin socket's protocol; this
// is the only place that maps them to the names used in the code.
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
  std::uint64_t forwardedCommands = 0;  // since startup
  std::uint64_t rejectedPeers = 0;      // since startup
  std::uint64_t votingPauses = 0;       // times that this voter was paused, since startup
};

nlohmann::json statusJson(const CoordinatorStatus& status, const LeaseLog& log,
                          const ConnectionTable& connections);
// A row for each key that was ever granted. On a coordinator that does not lead, expiry is relative to the
// time of its last applied log entry.
nlohmann::json leasesJson(const LeaseLog& log);

}  // namespace cairnjunction::fleet

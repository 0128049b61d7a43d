// Which servers of a pool of fixed addresses are offered to its load balancer: not those marked down, backups
// only while no primary is available, and none for a time after repeated failures (as nginx documents
// `server` in ngx_http_upstream_module). The load balancer picks among those that are offered. No I/O, reads
// no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "route/routes.hpp"

namespace cairnjunction::pools {

// Whether an attempt's outcome counts as a failure of its server: no response, or none that could be read.
bool isServerFailure(policy::Outcome outcome, policy::FailureReason reason);

class PassiveHealthFilter {
 public:
  explicit PassiveHealthFilter(std::vector<route::PoolServer> servers);

  // Both return whether offered() has changed. `now` never goes back.
  bool onResult(policy::Timestamp now, std::size_t server, bool failure);
  bool onTick(policy::Timestamp now);

  // By server. While every server that is not down is unavailable for its failures, all of them are offered:
  // an attempt that may fail beats none.
  const std::vector<bool>& offered() const { return offered_; }
  std::optional<policy::Timestamp> nextReturnAt() const;  // when onTick is due; nothing: it is not

 private:
  struct ServerState {
    std::uint32_t failures = 0;  // within the server's failTimeout of firstFailureAt
    policy::Timestamp firstFailureAt{};
    policy::Timestamp unavailableUntil{};  // zero: it is available
  };
  bool updateOffered();  // whether it has changed
  // Of the servers that are not marked down, by server.
  std::vector<bool> serversThat(const std::function<bool(std::size_t)>& holds) const;

  std::vector<route::PoolServer> servers_;
  std::vector<ServerState> serverStates_;
  std::vector<bool> offered_;
};

}  // namespace cairnjunction::pools

// Passive health filter: decides which servers of a pool with fixed addresses are offered to its load
// balancer, as nginx documents `server` in ngx_http_upstream_module. Servers marked down are not offered,
// backups only while no primary is available, and after repeated failures a server is not offered for a time.
// Does no I/O and reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "route/routes.hpp"

namespace cairnjunction::pools {

// Whether an attempt's outcome counts as a failure of its server: it gave no response, or a malformed one.
bool isServerFailure(policy::Outcome outcome, policy::FailureReason reason);

class PassiveHealthFilter {
 public:
  explicit PassiveHealthFilter(std::vector<route::PoolServer> servers);

  // onResult() and onTick() return whether offered() has changed. `now` must not decrease between calls.

  // Records whether an attempt at the server of this index failed.
  bool onResult(policy::Timestamp now, std::size_t server, bool failure);
  // Makes servers available again whose failTimeout is over.
  bool onTick(policy::Timestamp now);

  // Whether each server is offered, by index. If all servers that are not marked down are unavailable, all of
  // them are offered, since an attempt that may fail is better than none.
  const std::vector<bool>& offered() const { return offered_; }
  std::optional<policy::Timestamp> nextReturnAt() const;  // when onTick() is due; nullopt: never

 private:
  struct ServerState {
    std::uint32_t failures = 0;  // within the server's failTimeout of firstFailureAt
    policy::Timestamp firstFailureAt{};
    policy::Timestamp unavailableUntil{};  // zero: available
  };
  bool updateOffered();  // returns whether it has changed
  // Whether each server is not marked down and fulfills `predicate`, by index.
  std::vector<bool> selectServers(const std::function<bool(std::size_t)>& predicate) const;

  std::vector<route::PoolServer> servers_;
  std::vector<ServerState> serverStates_;
  std::vector<bool> offered_;
};

}  // namespace cairnjunction::pools

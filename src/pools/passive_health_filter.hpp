// Which servers of a pool of fixed addresses are offered to its decision module, by what the routes say of
// them: down, backup, and taken out for a time after failures (nginx's documents, ngx_http_upstream_module,
// `server`). The module decides among those that are offered. No I/O, reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "route/routes.hpp"

namespace cairnjunction::pools {

// Whether an attempt's end counts as a failure of its server: nobody answered, or the answer was none.
bool failed(policy::Outcome outcome, policy::FailureReason fault);

class PassiveHealthFilter {
 public:
  explicit PassiveHealthFilter(std::vector<route::PoolServer> servers);

  // Both return whether offered() has changed. Times never go back.
  bool onResult(policy::Timestamp now, std::size_t server, bool failure);
  bool onTime(policy::Timestamp now);

  // By server. Where every one that could serve is out for failures, all of them are offered: any beats none.
  // Backups are offered only while no other one is in.
  const std::vector<bool>& offered() const { return offered_; }
  std::optional<policy::Timestamp> next() const;  // when onTime is due; nothing: it is not

 private:
  struct State {
    std::uint32_t fails = 0;
    policy::Timestamp since{}, outUntil{};  // first of these failures; zero: it is in
  };
  bool settle();

  std::vector<route::PoolServer> servers_;
  std::vector<State> states_;
  std::vector<bool> offered_;
};

}  // namespace cairnjunction::pools

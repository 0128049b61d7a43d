// Rates and numbers of requests under way by a key, as limit_req and limit_conn count them. No I/O, reads no
// clock.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "route/router.hpp"

namespace cairnjunction::limits {

using Time = std::chrono::nanoseconds;  // since any fixed start; never goes back

class Limiter {
 public:
  // Of a zone's memory, for one key: an estimate of what the tables hold for it beside its text. Past the
  // zone's bytes the key that was not used for the longest time is forgotten.
  static constexpr std::size_t kEntryBytes = 192;

  explicit Limiter(const route::Routes& routes);

  // Counts a request in all the zones that its route names, or in none: 0, or the status that it is turned
  // down with. An admitted one is over by over(), with the same decision.
  int admit(Time now, const route::Decision& decision);
  void over(const std::vector<route::Decision::Counted>& connections);
  std::size_t keys() const;  // that are held in all

 private:
  struct Rate {
    double excess = 0;  // requests above the rate, that have not drained yet
    Time at{};
    std::list<std::string>::iterator used;
  };
  struct RateZone {
    double perSecond = 1;
    std::size_t most = 1;  // keys
    std::unordered_map<std::string, Rate> rates;
    std::list<std::string> order;  // the one that was used last is last
  };

  std::vector<RateZone> rateZones_;
  std::vector<std::unordered_map<std::string, std::uint32_t>>
      connectionZones_;  // bounded by what is under way
};

}  // namespace cairnjunction::limits

// Limits on the rate and on the number of active requests by key, as nginx documents them for `limit_req` and
// `limit_conn`. No I/O, reads no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "cairnjunction/time.hpp"
#include "route/router.hpp"

namespace cairnjunction::limits {

class RequestLimiter {
 public:
  // Memory that a key takes in a zone's tables beside its text, estimated. A zone whose bytes are used up
  // drops the key that was used least recently.
  static constexpr std::size_t kBytesPerKey = 192;

  // `routes` declares the zones; decisions given to admit() name them by index.
  explicit RequestLimiter(const route::Routes& routes);

  // Counts a request in all the zones that its route names, or in none. Nothing: it is admitted, and
  // onRequestEnded() is owed for its connections. Otherwise the HTTP status to reject it with. `now` never
  // goes back.
  std::optional<int> admit(policy::Timestamp now, const route::Decision& decision);
  void onRequestEnded(const std::vector<route::Decision::Counted>& connections);
  std::size_t keyCount() const;  // keys held in all zones

 private:
  // Drains at the zone's rate; a request adds one.
  struct LeakyBucket {
    double excess = 0;  // requests above the rate that have not drained yet, at updatedAt
    policy::Timestamp updatedAt{};
    std::list<std::string>::iterator position;  // of its key in RateZone::leastRecentlyUsed
  };
  struct RateZone {
    double requestsPerSecond = 1;
    std::size_t maxKeys = 1;
    std::unordered_map<std::string, LeakyBucket> buckets;  // by key; as many as there are in the list
    std::list<std::string> leastRecentlyUsed;              // first
  };

  std::optional<std::vector<double>> excessAfter(policy::Timestamp now,
                                                 const route::Decision& decision) const;
  bool hasRoomForConnections(const route::Decision& decision) const;
  static void record(policy::Timestamp now, RateZone& zone, const std::string& key, double excess);

  std::vector<RateZone> rateZones_;
  // Active requests by key, for each zone; bounded by the requests that are active.
  std::vector<std::unordered_map<std::string, std::uint32_t>> connectionZones_;
};

}  // namespace cairnjunction::limits

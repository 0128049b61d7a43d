// Limits the rate and the number of active requests for each key, as nginx documents it for `limit_req` and
// `limit_conn`. Does no I/O and reads no clock.
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
  // Estimated memory that a key takes in a zone's tables, in bytes, without its text. A rate zone with no
  // capacity left evicts its least recently used key.
  static constexpr std::size_t kBytesPerKey = 192;

  // `routes` declares the zones. The decisions given to admit() refer to them by index.
  explicit RequestLimiter(const route::Routes& routes);

  // Admits a request if all zones of its route have capacity for it, and counts it in all of them; otherwise
  // counts it in none. Returns nullopt if it is admitted; the caller must then call onRequestEnded() with its
  // connections. Otherwise returns the HTTP status to reject it with. `now` must not decrease between calls.
  std::optional<int> admit(policy::Timestamp now, const route::Decision& decision);
  void onRequestEnded(const std::vector<route::Decision::Counted>& connections);
  std::size_t keyCount() const;  // keys stored in all zones

 private:
  // The leaky bucket of one key. It drains at the zone's rate, and each request adds one.
  struct LeakyBucket {
    double excess = 0;  // requests above the rate that had not drained at updatedAt
    policy::Timestamp updatedAt{};
    std::list<std::string>::iterator position;  // of its key in RateZone::leastRecentlyUsed
  };
  struct RateZone {
    double requestsPerSecond = 1;
    std::size_t maxKeys = 1;
    std::unordered_map<std::string, LeakyBucket> buckets;  // by key; the same keys as in the list
    std::list<std::string> leastRecentlyUsed;              // keys; least recent first
  };

  std::optional<std::vector<double>> excessAfter(policy::Timestamp now,
                                                 const route::Decision& decision) const;
  bool hasConnectionCapacity(const route::Decision& decision) const;
  static void record(policy::Timestamp now, RateZone& zone, const std::string& key, double excess);

  std::vector<RateZone> rateZones_;
  // Active requests by key, for each zone. The number of keys is bounded by the number of active requests.
  std::vector<std::unordered_map<std::string, std::uint32_t>> connectionZones_;
};

}  // namespace cairnjunction::limits

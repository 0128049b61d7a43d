// Counts requests in rate zones (leaky buckets) and connection zones.
#include "limits/request_limiter.hpp"

#include <algorithm>
#include <chrono>

namespace cairnjunction::limits {

using policy::Timestamp;

RequestLimiter::RequestLimiter(const route::Routes& routes)
    : connectionZones_(routes.connectionZones.size()) {
  for (const route::RateZone& declared : routes.rateZones) {
    RateZone& zone = rateZones_.emplace_back();
    zone.requestsPerSecond = static_cast<double>(declared.perMinute) / 60;
    zone.maxKeys = std::max<std::size_t>(declared.bytes / kBytesPerKey, 1);
  }
}

std::optional<int> RequestLimiter::admit(Timestamp now, const route::Decision& decision) {
  const std::optional<std::vector<double>> excess = excessAfter(now, decision);
  if (!excess) return decision.location->rateStatus;
  if (!hasConnectionCapacity(decision)) return decision.location->connectionStatus;
  for (std::size_t i = 0; i < decision.rates.size(); ++i)
    record(now, rateZones_[decision.rates[i].zone], decision.rates[i].key, (*excess)[i]);
  for (const auto& counted : decision.connections) ++connectionZones_[counted.zone][counted.key];
  return std::nullopt;
}

// Returns the excess of each bucket including this request, or nullopt if one would exceed its burst. A key
// without a bucket is at its rate, so its first request adds no excess.
std::optional<std::vector<double>> RequestLimiter::excessAfter(Timestamp now,
                                                               const route::Decision& decision) const {
  std::vector<double> excess;
  for (const auto& [zoneIndex, key, burst] : decision.rates) {
    const RateZone& zone = rateZones_[zoneIndex];
    const auto known = zone.buckets.find(key);
    double after = 0;
    if (known != zone.buckets.end()) {
      const LeakyBucket& bucket = known->second;
      const double elapsed = std::chrono::duration<double>(now - bucket.updatedAt).count();
      after = std::max(bucket.excess - elapsed * zone.requestsPerSecond + 1, 0.0);
    }
    if (after > static_cast<double>(burst)) return std::nullopt;
    excess.push_back(after);
  }
  return excess;
}

bool RequestLimiter::hasConnectionCapacity(const route::Decision& decision) const {
  return std::all_of(decision.connections.begin(), decision.connections.end(), [&](const auto& counted) {
    const auto known = connectionZones_[counted.zone].find(counted.key);
    return known == connectionZones_[counted.zone].end() || known->second < counted.most;
  });
}

void RequestLimiter::record(Timestamp now, RateZone& zone, const std::string& key, double excess) {
  const auto [entry, added] = zone.buckets.emplace(key, LeakyBucket{});
  LeakyBucket& bucket = entry->second;
  std::list<std::string>& order = zone.leastRecentlyUsed;
  if (added) bucket.position = order.insert(order.end(), key);
  else order.splice(order.end(), order, bucket.position);
  bucket.excess = excess;
  bucket.updatedAt = now;
  if (zone.buckets.size() > zone.maxKeys) {
    zone.buckets.erase(order.front());
    order.pop_front();
  }
}

void RequestLimiter::onRequestEnded(const std::vector<route::Decision::Counted>& connections) {
  for (const auto& counted : connections) {
    auto& active = connectionZones_[counted.zone];
    const auto known = active.find(counted.key);
    if (known != active.end() && --known->second == 0) active.erase(known);
  }
}

std::size_t RequestLimiter::keyCount() const {
  std::size_t count = 0;
  for (const RateZone& zone : rateZones_) count += zone.buckets.size();
  for (const auto& zone : connectionZones_) count += zone.size();
  return count;
}

}  // namespace cairnjunction::limits

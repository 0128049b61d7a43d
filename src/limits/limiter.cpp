// Rates and numbers of requests under way by a key.
#include "limits/limiter.hpp"

#include <algorithm>

namespace cairnjunction::limits {

Limiter::Limiter(const route::Routes& routes) : connectionZones_(routes.connectionZones.size()) {
  for (const route::RateZone& zone : routes.rateZones) {
    RateZone& to = rateZones_.emplace_back();
    to.perSecond = static_cast<double>(zone.perMinute) / 60;
    to.most = std::max<std::size_t>(zone.bytes / kEntryBytes, 1);
  }
}

// As documented for limit_req: a key has a leaky bucket that drains at the rate; what would fill it beyond
// the burst is turned down, and does not count.
int Limiter::admit(Time now, const route::Decision& decision) {
  std::vector<double> excess;
  for (const auto& [zone, key, most] : decision.rates) {
    RateZone& in = rateZones_[zone];
    const auto known = in.rates.find(key);
    double after = 0;
    if (known != in.rates.end()) {
      const double passed = std::chrono::duration<double>(now - known->second.at).count();
      after = std::max(known->second.excess - passed * in.perSecond + 1, 0.0);
    }
    if (after > static_cast<double>(most)) return decision.location->rateStatus;
    excess.push_back(after);
  }
  for (const auto& [zone, key, most] : decision.connections) {
    const auto known = connectionZones_[zone].find(key);
    if (known != connectionZones_[zone].end() && known->second >= most)
      return decision.location->connectionStatus;
  }
  for (std::size_t i = 0; i < decision.rates.size(); ++i) {
    RateZone& in = rateZones_[decision.rates[i].zone];
    const auto [it, fresh] = in.rates.emplace(decision.rates[i].key, Rate{});
    if (fresh) it->second.used = in.order.insert(in.order.end(), it->first);
    else in.order.splice(in.order.end(), in.order, it->second.used);
    it->second.excess = excess[i];
    it->second.at = now;
    if (in.rates.size() > in.most) {
      in.rates.erase(in.order.front());
      in.order.pop_front();
    }
  }
  for (const auto& [zone, key, most] : decision.connections) ++connectionZones_[zone][key];
  return 0;
}

void Limiter::over(const std::vector<route::Decision::Counted>& connections) {
  for (const auto& [zone, key, most] : connections)
    if (const auto known = connectionZones_[zone].find(key); known != connectionZones_[zone].end())
      if (--known->second == 0) connectionZones_[zone].erase(known);
}

std::size_t Limiter::keys() const {
  std::size_t n = 0;
  for (const RateZone& zone : rateZones_) n += zone.rates.size();
  for (const auto& zone : connectionZones_) n += zone.size();
  return n;
}

}  // namespace cairnjunction::limits

// Score: a request's worth as a rank from 1 to 100 within the recent traffic.
#include <algorithm>

#include "policy/module.hpp"

namespace cairnjunction::policy {

// Worth of what the request can still earn, by request or by unit of work as the worth is counted.
double Module::worthOf(const Open& r, std::uint32_t tenant) {
  const ClassSettings& c = classes[r.cls].set;
  double worth = c.priorityWeight;
  if (now >= r.aimAt) worth *= c.lateValueFraction;
  if (tenant < set.tenants.size() && set.tenants[tenant].quotaPerSecond > 0) {
    const double share = set.tenants[tenant].quotaPerSecond / set.gatewayCount;
    const double passed = toSeconds(now - quotaAt);
    quotaAt = now;
    for (std::size_t i = 0; i < quotaTokens.size(); ++i)
      quotaTokens[i] = std::min(quotaTokens[i] + passed * set.tenants[i].quotaPerSecond / set.gatewayCount,
                                set.tenants[i].quotaPerSecond / set.gatewayCount);
    if (share > 0 && quotaTokens[tenant] >= 1) quotaTokens[tenant] -= 1;
    else worth *= set.overQuotaWeightFactor;
  }
  return worth;
}

// Rank within the recent traffic: a cutoff of c refuses about c per cent. A seeded draw spreads each
// level over its own band, so equal worth shares the loss and higher worth is never cut first.
double Module::scoreOf(double worth) {
  std::size_t at = 0;
  while (at < levels.size() && levels[at].worth < worth * 0.999) ++at;
  if (at == levels.size() || levels[at].worth > worth * 1.001 + 1e-12)
    levels.insert(levels.begin() + static_cast<std::ptrdiff_t>(at), Level{worth, 0});
  levels[at].seen += 1;
  double below = 0, all = 0;
  for (std::size_t i = 0; i < levels.size(); ++i) {
    all += levels[i].seen;
    if (i < at) below += levels[i].seen;
  }
  return 1 + 99 * (below + drawUnit() * levels[at].seen) / all;
}

void Module::sweepScores() {
  for (Level& l : levels) l.seen *= 1 - kSlowGain;
  std::erase_if(levels, [](const Level& l) { return l.seen < 0.01; });
}

}  // namespace cairnjunction::policy

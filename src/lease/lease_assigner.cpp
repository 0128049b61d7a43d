// Who is to be granted what is free.
#include "lease/lease_assigner.hpp"

#include <algorithm>
#include <map>
#include <tuple>

#include "lease/stable_hash.hpp"

namespace cairnjunction::lease {
namespace {

// A new leader goes on as the last one did.
std::uint64_t mix(const std::string& text, std::uint64_t salt) {
  const std::uint64_t h = stableHash(text, salt);
  return h ^ (h >> 29);
}

}  // namespace

std::vector<LeaseGranted> assignLeases(const LeaseTable& registry, const std::vector<TaskSpec>& specs,
                                       const std::vector<Candidate>& candidates, LogTime now) {
  std::vector<LeaseGranted> grants;
  if (candidates.empty()) return grants;
  std::map<Member, std::size_t> load;
  std::map<std::string, std::vector<Member>> owners;  // by duty
  for (const Candidate& c : candidates) load[c.member] = 0;
  for (const auto& [key, holding] : registry.holdings()) {
    if (!holding.heldAt(now)) continue;
    owners[key.task].push_back(holding.holder);
    if (const auto it = load.find(holding.holder); it != load.end()) ++it->second;
  }
  const auto owns = [&](const Member& member, const std::string& duty) {
    const auto it = owners.find(duty);
    return it != owners.end() && std::count(it->second.begin(), it->second.end(), member) > 0;
  };
  for (const TaskSpec& spec : specs) {
    for (std::uint32_t shard = 0; shard < spec.shards; ++shard) {
      const LeaseKey key{spec.task, shard};
      const LeaseRecord* holding = registry.find(key);
      if (holding && holding->heldAt(now)) continue;
      const Epoch next = (holding ? holding->epoch : 0) + 1;
      // Whoever is not passed over goes before whoever is; then the heir; then who holds least; a draw that
      // changes with the epoch settles the rest.
      const auto rank = [&](const Candidate& c) {
        const LogTime over = registry.recordOf(c.member.name, spec.task).backoffUntil;
        return std::make_tuple(std::max(over, now),
                               !spec.antiAffinity.empty() && owns(c.member, spec.antiAffinity),
                               spec.preferredSuccessor.empty() || !owns(c.member, spec.preferredSuccessor),
                               load[c.member], mix(c.member.name, next * 1000003 + shard));
      };
      const auto best = std::min_element(candidates.begin(), candidates.end(),
                                         [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
      grants.push_back({key, best->member, spec.leaseDuration});
      ++load[best->member];
      owners[spec.task].push_back(best->member);
    }
  }
  return grants;
}

}  // namespace cairnjunction::lease

// Ranks the candidates for each free key.
#include "lease/lease_assigner.hpp"

#include <algorithm>
#include <compare>
#include <map>
#include <set>

#include "lease/stable_hash.hpp"

namespace cairnjunction::lease {
namespace {

// Ranks a candidate for a key. The candidate with the lowest rank is granted it; fields are compared in
// order.
struct CandidateRank {
  LogTime backoffUntil;        // `now` for a candidate that does not back off
  bool violatesAntiAffinity;   // it holds the task of TaskSpec::antiAffinity
  bool notPreferredSuccessor;  // it does not hold the task of TaskSpec::preferredSuccessor
  std::size_t leasesHeld;      // of all tasks
  std::uint64_t tieBreak;      // depends on the epoch, and is the same on every coordinator
  // NOLINTNEXTLINE(modernize-use-nullptr,readability-implicit-bool-conversion): so in a defaulted <=>
  auto operator<=>(const CandidateRank&) const = default;
};

std::uint64_t tieBreakOf(const std::string& member, Epoch epoch, std::uint32_t shard) {
  constexpr std::uint64_t epochFactor = 1000003;
  const std::uint64_t hash = stableHash(member, epoch * epochFactor + shard);
  return hash ^ (hash >> 29);
}

// Tracks which leases are held. A grant that it proposes counts as held for the next ones.
class LeaseAssigner {
 public:
  LeaseAssigner(const LeaseTable& table, const std::vector<Candidate>& candidates, LogTime now)
      : table_(table), candidates_(candidates), now_(now) {
    for (const Candidate& candidate : candidates) leasesHeld_[candidate.member] = 0;
    for (const auto& [key, record] : table.records())
      if (record.isHeldAt(now)) countHeld(key.task, record.holder);
  }

  std::vector<LeaseGranted> assign(const std::vector<TaskSpec>& specs) {
    std::vector<LeaseGranted> grants;
    if (candidates_.empty()) return grants;
    for (const TaskSpec& spec : specs)
      for (std::uint32_t shard = 0; shard < spec.shards; ++shard) {
        const LeaseKey key{spec.task, shard};
        const LeaseRecord* record = table_.find(key);
        if (record && record->isHeldAt(now_)) continue;
        const Member& member = bestCandidate(spec, shard, (record ? record->epoch : 0) + 1);
        grants.push_back({key, member, spec.leaseDuration});
        countHeld(spec.task, member);
      }
    return grants;
  }

 private:
  void countHeld(const std::string& task, const Member& holder) {
    holders_[task].insert(holder);
    if (const auto found = leasesHeld_.find(holder); found != leasesHeld_.end()) ++found->second;
  }

  bool holds(const Member& member, const std::string& task) const {
    const auto found = holders_.find(task);
    return found != holders_.end() && found->second.contains(member);
  }

  const Member& bestCandidate(const TaskSpec& spec, std::uint32_t shard, Epoch epoch) const {
    const auto best =
        std::min_element(candidates_.begin(), candidates_.end(), [&](const auto& left, const auto& right) {
          return rankOf(left.member, spec, shard, epoch) < rankOf(right.member, spec, shard, epoch);
        });
    return best->member;
  }

  CandidateRank rankOf(const Member& member, const TaskSpec& spec, std::uint32_t shard, Epoch epoch) const {
    return {
        .backoffUntil = std::max(table_.failureHistory(member.name, spec.task).backoffUntil, now_),
        .violatesAntiAffinity = !spec.antiAffinity.empty() && holds(member, spec.antiAffinity),
        .notPreferredSuccessor = spec.preferredSuccessor.empty() || !holds(member, spec.preferredSuccessor),
        .leasesHeld = leasesHeld_.at(member),
        .tieBreak = tieBreakOf(member.name, epoch, shard)};
  }

  const LeaseTable& table_;
  const std::vector<Candidate>& candidates_;
  const LogTime now_;
  std::map<Member, std::size_t> leasesHeld_;         // by candidate
  std::map<std::string, std::set<Member>> holders_;  // by task
};

}  // namespace

std::vector<LeaseGranted> assignLeases(const LeaseTable& table, const std::vector<TaskSpec>& specs,
                                       const std::vector<Candidate>& candidates, LogTime now) {
  return LeaseAssigner(table, candidates, now).assign(specs);
}

}  // namespace cairnjunction::lease

// Turns: requests of one key go one at a time, in order of arrival.
#include "policy/module.hpp"

namespace cairnjunction::policy {

// Danger: two requests of one key at a host at once, or out of order. A request stays in its key's queue
// until it is over and all its attempts are settled; only the first is sent, and after an attempt whose
// end is not sure the key rests.
void Module::passTurns() {
  for (std::size_t i = 0; i < turnsDue.size(); ++i) {  // what ends here passes the turn on once more
    const auto it = turns.find(turnsDue[i]);
    if (it == turns.end()) continue;
    Turn& turn = it->second;
    if (turn.queue.empty()) {
      if (now >= turn.restUntil) turns.erase(it);
      continue;
    }
    const std::uint32_t slot = turn.queue.front();
    Open& r = slots[slot];
    if (r.ended || r.count > 0) continue;
    if (now < turn.restUntil) guards.push({turn.restUntil, slot, r.generation, Due::turn});
    else dispatch(r);
  }
  turnsDue.clear();
}

// Danger: one that waits for its turn past its use holds up its key and is a late failure in the end.
bool Module::hopeless(const Open& r, std::size_t ahead) const {
  return now + static_cast<Duration::rep>(ahead + 1) * usualTime(r) >= lastUse(r);
}

void Module::enqueue(Open& r, std::uint32_t slot) {
  Turn& turn = turns[r.key];
  const std::size_t ahead = turn.queue.size();
  turn.queue.push_back(slot);
  if (ahead > 0 && hopeless(r, ahead)) return finish(r);
  guards.push({r.deadline - set.eventInterval, slot, r.generation, Due::answer});
  guards.push({lastUse(r) - usualTime(r), slot, r.generation, Due::turn});
  turnsDue.push_back(r.key);
}

void Module::sweepTurns() {
  std::erase_if(turns, [&](const auto& t) { return t.second.queue.empty() && now >= t.second.restUntil; });
}

}  // namespace cairnjunction::policy

// External ids of calls that may have been executed and whose clients have no answer: such a call must not be
// accepted again under its id, since that would execute it twice. Bounded in time and number. No clock.
#pragma once

#include <cstddef>
#include <deque>
#include <string_view>
#include <unordered_set>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction {

class UnresolvedIds {
 public:
  void add(policy::Timestamp now, std::string_view externalId);
  bool contains(policy::Timestamp now, std::string_view externalId);
  std::size_t size() const { return hashes_.size(); }

 private:
  struct Entry {
    std::size_t hash = 0;  // of the id, which may be long
    policy::Timestamp addedAt{};
  };

  void removeOldest();
  void removeExpired(policy::Timestamp now);

  std::deque<Entry> entries_;  // oldest first
  std::unordered_set<std::size_t> hashes_;
};

}  // namespace cairnjunction

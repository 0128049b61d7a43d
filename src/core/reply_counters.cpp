#include "core/reply_counters.hpp"

#include <algorithm>

namespace cairnjunction {
namespace {

// Maximum number of class names with counts. Without a limit, a configuration generator that uses new names
// at each reload would exhaust the memory.
constexpr std::size_t kMaxClassNames = 4096;

}  // namespace

bool ReplyCounters::hasCapacityFor(std::size_t names) const {
  return counts_.size() + names <= kMaxClassNames;
}

void ReplyCounters::setClasses(const std::vector<policy::ClassSettings>& byIndex) {
  countsIndex_.clear();
  for (const policy::ClassSettings& callClass : byIndex) {
    const auto known = std::find_if(counts_.begin(), counts_.end(),
                                    [&](const Counts& counts) { return counts.className == callClass.name; });
    countsIndex_.push_back(static_cast<std::size_t>(known - counts_.begin()));
    if (known == counts_.end()) counts_.push_back({callClass.name});
  }
}

void ReplyCounters::add(std::uint32_t classIndex, ReplyStatus status) {
  if (classIndex >= countsIndex_.size()) return;
  Counts& counts = counts_[countsIndex_[classIndex]];
  switch (status) {
    case ReplyStatus::ok: ++counts.ok; break;
    case ReplyStatus::rejected: ++counts.rejected; break;
    case ReplyStatus::failed: ++counts.failed; break;
  }
}

}  // namespace cairnjunction

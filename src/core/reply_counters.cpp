#include "core/reply_counters.hpp"

#include <algorithm>

namespace cairnjunction {
namespace {

// Names whose counts are kept. Without a bound a program that makes up names on each reload would fill the
// memory.
constexpr std::size_t kMaxClassNames = 4096;

}  // namespace

bool ReplyCounters::hasRoomFor(std::size_t names) const { return counts_.size() + names <= kMaxClassNames; }

void ReplyCounters::setClasses(const std::vector<policy::ClassSettings>& byIndex) {
  countOfClass_.clear();
  for (const policy::ClassSettings& callClass : byIndex) {
    const auto known = std::find_if(counts_.begin(), counts_.end(),
                                    [&](const Counts& counts) { return counts.className == callClass.name; });
    countOfClass_.push_back(static_cast<std::size_t>(known - counts_.begin()));
    if (known == counts_.end()) counts_.push_back({callClass.name});
  }
}

void ReplyCounters::add(std::uint32_t classIndex, ReplyStatus status) {
  if (classIndex >= countOfClass_.size()) return;
  Counts& counts = counts_[countOfClass_[classIndex]];
  switch (status) {
    case ReplyStatus::ok: ++counts.ok; break;
    case ReplyStatus::rejected: ++counts.rejected; break;
    case ReplyStatus::failed: ++counts.failed; break;
  }
}

}  // namespace cairnjunction

// Classes by index, through changes of the settings.
#include "core/class_table.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cairnjunction {

using policy::ClassSettings;

namespace {

auto all(const ClassSettings& c) {
  return std::tie(c.name, c.latencyObjective, c.clientTimeout, c.dedupWindow, c.idempotency, c.dedupScope,
                  c.priorityWeight, c.lateValueFraction, c.objectiveCostFactor, c.serializedByKey,
                  c.allowedZones, c.allowedMachineKinds);
}

}  // namespace

ClassTable::ClassTable(std::vector<ClassSettings> classes) : byIndex_(std::move(classes)) {
  for (std::size_t i = 0; i < byIndex_.size(); ++i)
    current_.emplace(byIndex_[i].name, static_cast<std::uint32_t>(i));
}

std::optional<ClassTable> ClassTable::with(const std::vector<ClassSettings>& classes,
                                           const std::function<bool(std::uint32_t)>& held) const {
  ClassTable next({});
  next.byIndex_ = byIndex_;
  std::vector<bool> taken(byIndex_.size(), false);
  std::vector<const ClassSettings*> changed;
  for (const ClassSettings& c : classes) {
    const auto known = current_.find(c.name);
    if (known == current_.end() || all(byIndex_[known->second]) != all(c)) {
      changed.push_back(&c);
      continue;
    }
    taken[known->second] = true;
    next.current_.emplace(c.name, known->second);
  }
  std::uint32_t at = 0;
  for (const ClassSettings* c : changed) {
    while (at < taken.size() && (taken[at] || held(at))) ++at;
    if (at >= kMost) return std::nullopt;
    if (at == next.byIndex_.size()) next.byIndex_.push_back(*c);
    else next.byIndex_[at] = *c;
    next.current_.emplace(c->name, at++);
  }
  return next;
}

}  // namespace cairnjunction

#include "core/class_table.hpp"

#include <tuple>
#include <utility>

namespace cairnjunction {

using policy::ClassSettings;

namespace {

// All fields that define a class: two classes with equal definitions are the same class.
auto definitionOf(const ClassSettings& settings) {
  return std::tie(settings.name, settings.latencyObjective, settings.clientTimeout, settings.dedupWindow,
                  settings.idempotency, settings.dedupScope, settings.priorityWeight,
                  settings.lateValueFraction, settings.objectiveCostFactor, settings.serializedByKey,
                  settings.allowedZones, settings.allowedMachineKinds);
}

}  // namespace

ClassTable::ClassTable(std::vector<ClassSettings> classes) : byIndex_(std::move(classes)) {
  for (std::size_t i = 0; i < byIndex_.size(); ++i)
    current_.emplace(byIndex_[i].name, static_cast<std::uint32_t>(i));
}

std::optional<ClassTable> ClassTable::withClasses(const std::vector<ClassSettings>& classes,
                                                  const std::function<bool(std::uint32_t)>& isInUse) const {
  ClassTable next({});
  next.byIndex_ = byIndex_;
  std::vector<bool> unchanged(byIndex_.size(), false);
  std::vector<const ClassSettings*> changed;
  for (const ClassSettings& settings : classes) {
    const auto known = current_.find(settings.name);
    if (known == current_.end() || definitionOf(byIndex_[known->second]) != definitionOf(settings)) {
      changed.push_back(&settings);
      continue;
    }
    unchanged[known->second] = true;
    next.current_.emplace(settings.name, known->second);
  }
  std::uint32_t index = 0;
  for (const ClassSettings* settings : changed) {
    while (index < unchanged.size() && (unchanged[index] || isInUse(index))) ++index;
    if (index >= kMaxClasses) return std::nullopt;
    if (index == next.byIndex_.size()) next.byIndex_.push_back(*settings);
    else next.byIndex_[index] = *settings;
    next.current_.emplace(settings->name, index);
    ++index;
  }
  return next;
}

}  // namespace cairnjunction

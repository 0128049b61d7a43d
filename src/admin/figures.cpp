#include "admin/figures.hpp"

#include <algorithm>
#include <string_view>

namespace cairnjunction::admin {
namespace {

constexpr std::string_view kMetricPrefix = "edge_gw.";

// Appends the line of one metric to `text`.
void appendMetric(std::string& text, std::string_view name, std::uint64_t value) {
  text.append(kMetricPrefix).append(name).append("=").append(std::to_string(value)).append("\n");
}

}  // namespace

std::string reportText(const Figures& figures) {
  std::string text;
  for (const ClassFigures& counts : figures.classes) {
    std::string name = "replies." + counts.name;
    std::replace_if(
        name.begin(), name.end(), [](char byte) { return byte <= ' ' || byte >= 0x7f || byte == '='; }, '_');
    appendMetric(text, name + ".success", counts.success);
    appendMetric(text, name + ".overload", counts.overload);
    appendMetric(text, name + ".error", counts.error);
  }
  appendMetric(text, "dispatches", figures.dispatches);
  appendMetric(text, "concurrent", figures.concurrent);
  appendMetric(text, "targets", figures.targets);
  appendMetric(text, "targets_disabled", figures.targetsDisabled);
  appendMetric(text, "reload_success", figures.reloadSuccess);
  appendMetric(text, "reload_failure", figures.reloadFailure);
  for (const auto& [name, value] : figures.more) appendMetric(text, name, value);
  return text;
}

}  // namespace cairnjunction::admin

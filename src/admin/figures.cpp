#include "admin/figures.hpp"

#include <algorithm>
#include <string_view>

namespace cairnjunction::admin {
namespace {

constexpr std::string_view kPrefix = "edge_gw.";

void line(std::string& text, std::string_view name, std::uint64_t value) {
  text.append(kPrefix).append(name).append("=").append(std::to_string(value)).append("\n");
}

}  // namespace

std::string reportText(const Figures& figures) {
  std::string text;
  for (const ClassFigures& counts : figures.classes) {
    std::string name = "replies." + counts.name;
    std::replace_if(
        name.begin(), name.end(), [](char byte) { return byte <= ' ' || byte >= 0x7f || byte == '='; }, '_');
    line(text, name + ".success", counts.success);
    line(text, name + ".overload", counts.overload);
    line(text, name + ".error", counts.error);
  }
  line(text, "dispatches", figures.dispatches);
  line(text, "concurrent", figures.concurrent);
  line(text, "targets", figures.targets);
  line(text, "targets_disabled", figures.targetsDisabled);
  line(text, "reload_success", figures.reloadSuccess);
  line(text, "reload_failure", figures.reloadFailure);
  for (const auto& [name, value] : figures.more) line(text, name, value);
  return text;
}

}  // namespace cairnjunction::admin

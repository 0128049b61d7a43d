// The figures as text.
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
  for (const ClassFigures& c : figures.classes) {
    std::string name = "replies." + c.name;
    std::replace_if(
        name.begin(), name.end(), [](char b) { return b <= ' ' || b >= 0x7f || b == '='; }, '_');
    line(text, name + ".success", c.success);
    line(text, name + ".overload", c.overload);
    line(text, name + ".error", c.error);
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

// The table of directives: how each is treated, before its arguments are looked at. The operators' page has
// the same table, and a test keeps them the same.
#pragma once

#include <span>
#include <string_view>

#include "import/nginx/report.hpp"

namespace cairnjunction::import_nginx {

enum class Treatment {
  lowered,   // converted by code of its own, which checks its arguments
  harmless,  // left out: affects neither routing nor access
  guard,     // left out: controls access, so its locations answer 501
  handler,   // left out: serves a location in another way, so that one answers 501
  process    // left out: concerns the nginx process itself
};

struct DirectiveRow {
  std::string_view name;
  Treatment treatment;
  std::string_view note;  // for people: of a lowered one what may differ, of others why it is left out
};

// Sorted by name.
std::span<const DirectiveRow> directiveTable();
const DirectiveRow* findRow(std::string_view name);  // null: not known

}  // namespace cairnjunction::import_nginx

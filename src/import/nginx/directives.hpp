// The table of directives: what becomes of each by itself, before its arguments are looked at. The operators'
// page has the same table, and a test keeps them the same.
#pragma once

#include <span>
#include <string_view>

#include "import/nginx/report.hpp"

namespace cairnjunction::import_nginx {

enum class Treatment {
  lowered,   // by code of its own, which judges its arguments
  harmless,  // left out: decides neither where a request goes nor whether it may
  guard,     // left out: decides whether a request may pass, so the locations it holds for answer 501
  handler,   // left out: serves a location by other means, so that location answers 501
  process    // left out: of the process of nginx itself
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

// An nginx file as Routes, with a report on each of its directives.
#pragma once

#include <string>
#include <vector>

#include "import/nginx/report.hpp"
#include "import/nginx/syntax.hpp"
#include "route/routes.hpp"

namespace cairnjunction::import_nginx {

struct Imported {
  route::Routes routes;
  Report report;
  std::vector<std::string> warnings;  // for people: names that clash
};

// Of what parse() read; the directives must outlive the result's report. Throws BadSyntax for what nginx
// itself would turn down (a location twice, an upstream with no server, an expression that is none).
Imported lower(const std::vector<Directive>& directives, const Source& source);

}  // namespace cairnjunction::import_nginx

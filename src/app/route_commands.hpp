// `cairnjunction import nginx` and `cairnjunction route`.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace cairnjunction {

struct ImportOptions {
  std::string file;
  std::string out;     // empty: routes go to the output, unless the report does
  std::string report;  // empty: a summary on the error output; "-": the output
  bool strict = false;
};

// Returns the exit code: 0 all carried over, 1 with differences or left-outs, 2 not readable (and with
// `strict` also where 1 would be, and then no routes are written).
int importNginx(const ImportOptions& options, std::ostream& out, std::ostream& errors);

struct RouteOptions {
  std::string file, host, method = "GET";
  std::vector<std::string> paths;
};

// One JSON object a line for each path. Returns 0, or 2 if the file is bad.
int showRoutes(const RouteOptions& options, std::ostream& out, std::ostream& errors);

}  // namespace cairnjunction

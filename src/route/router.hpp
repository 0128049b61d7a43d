// Routes, compiled: which server, location, pool and URI a request has. Made once and never changed; it does
// no I/O and reads no clock. Not for two threads at once (route/regex.hpp).
//
// The way of a request: its canonical path; the server, by port and name; the server's rewrite steps; then,
// at most kCyclesMost times, a location and its steps, until no step asks for another location; then that
// location's fallback, proxy or status. What nginx's documents say of each directive is kept, but for what
// docs/operators/nginx-import.md names.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "route/path.hpp"
#include "route/routes.hpp"
#include "route/variables.hpp"

namespace cairnjunction::route {

struct BadRoutes : std::runtime_error {  // what and where: "servers/2/locations/0: ..."
  using std::runtime_error::runtime_error;
};

struct Decision {
  struct Counted {         // a request counts in a zone under a key
    std::size_t zone = 0;  // into Routes::rateZones or Routes::connectionZones
    std::string key;
    std::uint32_t most = 0;  // the burst, or how many may be under way
  };
  enum class Kind {
    proxy,   // to `pool`, as `uri`
    answer,  // with `status`, by the route itself
    close    // without a word
  };
  Kind kind = Kind::answer;
  int status = 404;
  std::string text;                    // answer: the body, or of a redirect the target
  PathFault fault = PathFault::none;   // why the path was refused (status 400)
  const char* why = "";                // of a status of 400 or more that no step asked for; for people
  std::string_view server;             // its first name; empty: it has none
  const Location* location = nullptr;  // null: none was reached
  std::string_view locationText;       // as written, with its modifier; empty: none
  std::string pool;
  std::string path;       // proxy: canonical, as the worker is sent it, decoded
  std::string uri;        // proxy: the same on the wire, with its query
  std::string className;  // proxy: the location's, or the first part of `path`
  std::vector<std::pair<std::string, std::string>> headers;  // proxy: to set; an empty value: to leave out
  std::vector<Counted> rates,
      connections;  // proxy: by the location's limits; without those whose key is empty
};

class Router {
 public:
  // Searches for a location for one request; then status 500, as nginx's documents say.
  static constexpr int kCyclesMost = 10;

  // Throws BadRoutes.
  explicit Router(Routes routes);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  Decision route(const Request& request) const;
  const Routes& routes() const;
  std::uint16_t defaultPort() const;  // 80 if some server listens there, or else that of the first server
  std::vector<std::string> warnings() const;  // names that clash, for people

 private:
  struct Compiled;
  std::unique_ptr<Compiled> compiled_;
};

// What keeps a location from standing in another, as nginx's documents and its own checks have it.
enum class NestingFault { none, takesNone, named, outside };
NestingFault nestingFault(const Location& nested, const Location& parent);
std::string textOf(NestingFault fault, const Location& nested, const Location& parent);

// As written, with its modifier: "^~ /a/", "@name", "/".
std::string textOf(const Location& location);

}  // namespace cairnjunction::route

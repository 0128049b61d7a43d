// Compiled routes: find a request's server, location, pool and URI. Immutable; no I/O, no clock. Not
// thread-safe (route/regex.hpp).
//
// Steps for a request: its canonical path; the server, by port and name; the server's rewrite steps; then, at
// most kCyclesMost times, a location and its steps, until no step asks for another location; then that
// location's fallback, proxy or status. Each directive works as nginx documents it, with the exceptions in
// docs/operators/nginx-import.md.
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
    std::uint32_t most = 0;  // the burst, or the bound on requests in flight
  };
  enum class Kind {
    proxy,   // to `pool`, as `uri`
    answer,  // with `status`, by the route itself
    close    // close the connection without a response
  };
  Kind kind = Kind::answer;
  int status = 404;
  std::string text;                    // answer: response body, or target of a redirect
  PathFault fault = PathFault::none;   // why the path was rejected (status 400)
  const char* why = "";                // for logs: why the status is 400 or more, if no step set it
  std::string_view server;             // its first name; empty: it has none
  const Location* location = nullptr;  // null: none was reached
  std::string_view locationText;       // as written, with its modifier; empty: none
  std::string pool;
  std::string path;       // proxy: canonical path for the worker, decoded
  std::string uri;        // proxy: the same on the wire, with its query
  std::string className;  // proxy: the location's, or the first part of `path`
  std::vector<std::pair<std::string, std::string>> headers;  // proxy: to set; an empty value: to leave out
  std::vector<Counted> rates,
      connections;  // proxy: by the location's limits; without those whose key is empty
};

class Router {
 public:
  // Location searches for one request; above it status 500, as nginx documents.
  static constexpr int kCyclesMost = 10;

  // Throws BadRoutes.
  explicit Router(Routes routes);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;

  Decision route(const Request& request) const;
  const Routes& routes() const;
  std::uint16_t defaultPort() const;  // 80 if some server listens there, or else that of the first server
  std::vector<std::string> warnings() const;  // server names that conflict, for logs

 private:
  struct Compiled;
  std::unique_ptr<Compiled> compiled_;
};

// Why a location may not be nested in another, by nginx's documentation and checks.
enum class NestingFault { none, takesNone, named, outside };
NestingFault nestingFault(const Location& nested, const Location& parent);
std::string textOf(NestingFault fault, const Location& nested, const Location& parent);

// As written, with its modifier: "^~ /a/", "@name", "/".
std::string textOf(const Location& location);

}  // namespace cairnjunction::route

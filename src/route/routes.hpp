// Routes as plain data: written by an importer, edited by operators, compiled by Router. Nothing is checked
// here; docs/routes.schema.json is the same as JSON. "With variables" marks texts that may contain "$name" or
// "${name}"; route/variables.hpp lists the variables.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace cairnjunction::route {

// Bounds on a routes file, far above known ones; a larger file is rejected.
inline constexpr std::size_t kServersMost = 20'000;
inline constexpr std::size_t kLocationsMost = 400'000;
inline constexpr std::size_t kDepthMost = 16;       // of nested locations
inline constexpr std::size_t kStepsMost = 100'000;  // rewrite steps, all together
inline constexpr std::size_t kPoolsMost = 4'096;
inline constexpr std::size_t kMapEntriesMost = 400'000;

struct Origin {  // where it was written; line 0: nowhere
  std::string file;
  std::uint32_t line = 0;
};

struct Condition {
  enum class Kind { truthy, equal, notEqual, matches, notMatches };
  Kind kind = Kind::truthy;
  std::string subject;  // with variables
  std::string operand;  // equal: text with variables; matches: an expression
  bool caseless = false;
};

struct Step {  // of rewriting, in their order
  enum class Kind { rewrite, answer, set, stop, when };
  enum class Flag { none, last, stop, redirect, permanent };
  Kind kind = Kind::stop;
  std::string pattern;  // rewrite: an expression, matched against the path
  std::string
      text;  // rewrite: replacement; answer: body, or target of a redirect; set: value. With variables
  Flag flag = Flag::none;  // rewrite
  int status = 0;          // answer: 100 to 599; 444: the connection is closed without one
  std::string variable;    // set: its name
  Condition condition;     // when
  std::vector<Step> then;  // when
};

struct Proxy {
  std::string pool;  // with variables: the name of a pool
  std::optional<std::string>
      uri;  // replaces the part of the path that the location names; with variables: all
  std::vector<std::pair<std::string, std::string>> headers;  // set on the way to the worker; value with
                                                             // variables; an empty value: not sent
  std::optional<std::chrono::milliseconds> connectTimeout;
  std::optional<std::chrono::milliseconds> timeout;  // for the response; shortens the class's
  std::optional<std::uint32_t> attempts;  // at most, the first one included; 0: the module's own bound
};

struct RateLimit {
  std::string zone;
  std::uint32_t burst = 0;
};
struct ConnectionLimit {
  std::string zone;
  std::uint32_t most = 0;
};

struct Location {
  enum class Modifier { prefix, exact, preferred, regex, regexCaseless, named };  // "", =, ^~, ~, ~*, @
  Modifier modifier = Modifier::prefix;
  std::string pattern;    // decoded; of a named one its name without '@'
  std::string className;  // empty: by the first part of the canonical path
  std::vector<Step> steps;
  std::optional<Proxy> proxy;
  bool slashRedirect =
      false;  // the path without this one's last '/' is redirected here, as where there is a proxy
  bool internal = false;  // only for paths that a rewrite or a fallback made; others get 404
  std::string fallback;   // tried instead of files: "@name", "=404" or a URI with variables; empty: none
  int status = 0;         // answered where there is neither proxy nor fallback; 0: 404
  std::optional<std::uint64_t> bodyMost;  // bytes of a request's body; 0: no bound of its own
  std::vector<RateLimit> rates;
  std::vector<ConnectionLimit> connections;
  int rateStatus = 503, connectionStatus = 503;
  std::vector<Location> nested;
  Origin origin;
};

struct Listen {
  std::string address;  // "*" for any
  std::uint16_t port = 80;
  bool isDefault = false;
};

struct Server {
  std::vector<std::string> names;  // as written: exact, "*.a.b", "a.*", ".a.b", "~expression"; empty: none
  std::vector<Listen> listens;
  bool mergeSlashes = true;
  std::vector<Step> steps;
  std::vector<Location> locations;
  Origin origin;
};

struct PoolServer {
  std::string address;  // host:port
  std::uint32_t weight = 1;
  bool backup = false, down = false;
  std::uint32_t connectionsMost = 0;  // 0: no bound of its own
  std::uint32_t failsMost = 1;        // 0: never taken out for failures
  std::chrono::milliseconds failTimeout{10'000};
};

struct Pool {
  enum class Source { fixed, discovery };
  std::string name;
  Source source = Source::fixed;
  std::vector<PoolServer> servers;  // fixed
  std::string balance = "idle";     // what was asked for: the module decides by its own rules
  std::string hashKey;              // with variables; empty: none. What requests that belong together share
  std::uint32_t idleMost = 0;       // idle connections kept; 0: no bound of its own
  Origin origin;
};

struct Map {
  struct Entry {
    enum class Kind { exact, hostWildcard, regex };
    Kind kind = Kind::exact;
    std::string pattern;
    bool caseless = false;
    std::string value;  // with variables
  };
  std::string variable;  // that it gives
  std::string source;    // with variables
  std::string otherwise;
  std::vector<Entry> entries;
  bool hostnames = false;
  Origin origin;
};

struct RateZone {
  std::string name, key;           // key with variables; requests whose key is empty are not counted
  std::uint64_t perMinute = 0;     // rate
  std::uint64_t bytes = 10 << 20;  // of memory for its keys
};
struct ConnectionZone {
  std::string name, key;
  std::uint64_t bytes = 10 << 20;
};

struct Routes {
  std::vector<Server> servers;
  std::vector<Pool> pools;
  std::vector<Map> maps;
  std::vector<RateZone> rateZones;
  std::vector<ConnectionZone> connectionZones;
};

}  // namespace cairnjunction::route

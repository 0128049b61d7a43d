// Converts directives to Routes: main, http and server, and directives allowed at every level.
#include "import/nginx/lowering.hpp"

#include <algorithm>

#include "import/nginx/units.hpp"
#include "route/names.hpp"
#include "route/regex.hpp"
#include "route/router.hpp"

namespace cairnjunction::import_nginx {

// Blocks whose lines are no directives but entries.
static bool entriesOnly(const Directive& d) {
  static constexpr std::string_view kBlocks[] = {"map", "types", "geo", "split_clients", "charset_map"};
  return std::find(std::begin(kBlocks), std::end(kBlocks), d.name) != std::end(kBlocks);
}

// Of those that are known.
static bool mayHaveBlock(const Directive& d) {
  static constexpr std::string_view kBlocks[] = {
      "http", "events", "server",      "location", "upstream",      "if",  "stream", "limit_except",
      "mail", "perl",   "charset_map", "geo",      "split_clients", "map", "types"};
  return std::find(std::begin(kBlocks), std::end(kBlocks), d.name) != std::end(kBlocks);
}

// Stands in servers and locations only.
static bool ofServers(std::string_view name) {
  static constexpr std::string_view kNames[] = {"location", "listen",    "server_name", "proxy_pass",
                                                "rewrite",  "return",    "if",          "set",
                                                "break",    "try_files", "internal",    "http"};
  return std::find(std::begin(kNames), std::end(kNames), name) != std::end(kNames);
}

Imported lower(const std::vector<Directive>& directives, const Source& source) {
  return Lowering(source).run(directives);
}

Imported Lowering::run(const std::vector<Directive>& directives) {
  expectAll(directives);
  collectVariables(directives);
  settleMaps();
  http(directives, Level::main);
  if (routes_.servers.empty() && routes_.pools.empty() && !directives.empty())
    throw BadSyntax(directives.front().at, "there is neither a server nor an upstream in it");
  for (auto& [block, map] : maps_) routes_.maps.push_back(std::move(map));
  Imported out{std::move(routes_), std::move(report_), {}};
  try {  // what only the whole shows: names that clash, two default servers
    out.warnings = route::Router(out.routes).warnings();
  } catch (const route::BadRoutes& bad) {
    throw BadSyntax(directives.empty() ? Position{} : directives.front().at, bad.what());
  }
  return out;
}

void Lowering::expectAll(const std::vector<Directive>& directives) {
  for (const Directive& d : directives) {
    report_.expect(d);
    if (d.block && findRow(d.name) && !mayHaveBlock(d))
      throw BadSyntax(d.at, "'" + d.name + "' has no block");
    if (d.name == "include") carried(d);  // what it names stands behind it
    if (!entriesOnly(d)) expectAll(d.inner);
  }
}

// --- Helpers ----------------------------------------------------------------------------------------------

const Argument& Lowering::argument(const Directive& d, std::size_t i) const {
  if (i >= d.arguments.size()) throw BadSyntax(d.at, "'" + d.name + "' wants more words");
  return d.arguments[i];
}

void Lowering::wants(const Directive& d, std::size_t least, std::size_t most) const {
  if (d.arguments.size() < least) throw BadSyntax(d.at, "'" + d.name + "' wants more words");
  if (d.arguments.size() > most)
    throw BadSyntax(d.arguments[most].at,
                    "'" + d.name + "' wants no more than " + std::to_string(most) + " words");
}

route::Origin Lowering::origin(const Directive& d) const {
  return {d.at.file < source_.files.size() ? source_.files[d.at.file]->path : "", d.at.line};
}

bool Lowering::flag(const Directive& d) {
  wants(d, 1, 1);
  if (d.arguments[0].text == "on") return true;
  if (d.arguments[0].text == "off") return false;
  throw BadSyntax(d.arguments[0].at, "'" + d.name + "' is 'on' or 'off'");
}

void Lowering::leaveOut(const Directive& d, const std::string& reason) {
  leftOut(d, reason);
  if (entriesOnly(d)) return;
  for (const Directive& inner : d.inner) leaveOut(inner, "inside '" + d.name + "', which is left out");
}

route::Regex Lowering::regex(const std::string& pattern, bool caseless, Position at) const {
  try {
    return route::Regex(pattern, caseless);
  } catch (const route::BadRegex& bad) {
    throw BadSyntax(at, std::string("no expression: ") + bad.what());
  }
}

std::string Lowering::unknownIn(const std::string& text, Position at) const {
  try {
    for (const std::string& name : route::variablesIn(text))
      if (!texts_.known(name) && !mapNames_.contains(name)) return "the variable $" + name + " is not known";
  } catch (const route::BadText& bad) {
    throw BadSyntax(at, bad.what());
  }
  return {};
}

// Names that texts anywhere in the file may use: they are known whatever the order of lines.
void Lowering::collectVariables(const std::vector<Directive>& directives) {
  const auto groups = [&](const std::string& pattern, Position at) {
    if (pattern.find("(?") != std::string::npos) texts_.namedSlots(regex(pattern, true, at));
  };
  for (const Directive& d : directives) {
    if (d.name == "set" && !d.arguments.empty() && d.arguments[0].text.size() > 1)
      texts_.slot(std::string_view(d.arguments[0].text).substr(1));
    if (d.name == "rewrite" && !d.arguments.empty()) groups(d.arguments[0].text, d.arguments[0].at);
    if (d.name == "real_ip_header" || d.name == "set_real_ip_from") realIp_ = true;
    if (d.name == "if" && d.arguments.size() >= 3) {
      std::string pattern = d.arguments[2].text;
      if (!pattern.empty() && pattern.back() == ')' && !d.arguments[2].quoted) pattern.pop_back();
      if (d.arguments[1].text.find('~') != std::string::npos) groups(pattern, d.arguments[2].at);
    }
    if (d.name == "server_name")
      for (const Argument& a : d.arguments)
        if (!a.text.empty() && a.text[0] == '~') groups(a.text.substr(1), a.at);
    if (d.name == "location" && !d.arguments.empty() && d.arguments.size() <= 2)
      if (const LocationWords words = locationWords(d); words.sign[0] == '~') groups(words.pattern, words.at);
    if (d.name == "map") {
      for (const Directive& entry : d.inner)
        if (!entry.name.empty() && entry.name[0] == '~')
          groups(entry.name.substr(entry.name.size() > 1 && entry.name[1] == '*' ? 2 : 1), entry.at);
      map(d);
    }
    if (!entriesOnly(d)) collectVariables(d.inner);
  }
}

// A map that names something unknown is left out, and so is what then names that map.
void Lowering::settleMaps() {
  for (bool again = true; again;) {
    again = false;
    for (std::size_t i = 0; i < maps_.size(); ++i) {
      const route::Map& map = maps_[i].second;
      const Directive& block = *maps_[i].first;
      std::string why = unknownIn(map.source, block.at);
      if (why.empty()) why = unknownIn(map.otherwise, block.at);
      for (const auto& entry : map.entries)
        if (why.empty()) why = unknownIn(entry.value, block.at);
      if (why.empty()) continue;
      leftOut(block, why);
      mapNames_.erase(map.variable);
      maps_.erase(maps_.begin() + static_cast<std::ptrdiff_t>(i));
      again = true;
      break;
    }
  }
}

// --- main and http ----------------------------------------------------------------------------------------

// Files that are included by others stand for themselves too: what belongs to http may be at the top.
void Lowering::http(const std::vector<Directive>& directives, Level level) {
  Inherited scope;
  // Upstreams first, wherever they stand: servers name them.
  for (const Directive& d : directives) {
    if (d.name == "upstream") upstream(d);
    if (d.name == "limit_req_zone") rateZone(d);
    if (d.name == "limit_conn_zone") connectionZone(d);
  }
  inherit(directives, scope, level);
  for (const Directive& d : directives) {
    if (d.name == "http" && level == Level::main) {
      if (!d.block) throw BadSyntax(d.at, "'http' wants a block");
      carried(d);
      http(d.inner, Level::http);
    } else if (d.name == "server") {
      serverOf(d, scope);
    } else if (const DirectiveRow* row = findRow(d.name);
               row && row->treatment == Treatment::lowered && ofServers(d.name)) {
      notHere(d);
    }
  }
}

// Processes the directives that the level has for itself and its nested levels.
void Lowering::inherit(const std::vector<Directive>& directives, Inherited& scope, Level level) {
  // A list is replaced, not extended, by a level that has entries of its own.
  const auto any = [&](std::string_view name) {
    return std::any_of(directives.begin(), directives.end(),
                       [&](const Directive& d) { return d.name == name; });
  };
  if (any("proxy_set_header")) scope.headers.emplace();
  if (any("limit_req")) scope.rates.emplace();
  if (any("limit_conn")) scope.connections.emplace();
  for (const Directive& d : directives) {
    if (d.name == "limit_req_dry_run") scope.rateDry = flag(d);
    if (d.name == "limit_conn_dry_run") scope.connectionDry = flag(d);
  }
  for (const Directive& d : directives) {
    static constexpr std::string_view kOwn[] = {
        "http",     "server", "upstream",    "map",        "limit_req_zone", "limit_conn_zone",
        "location", "listen", "server_name", "proxy_pass", "rewrite",        "return",
        "if",       "set",    "break",       "try_files",  "internal",       "include"};
    if (std::find(std::begin(kOwn), std::end(kOwn), d.name) != std::end(kOwn)) continue;
    if (shared(d, scope)) continue;
    const DirectiveRow* row = findRow(d.name);
    const bool within = level == Level::server || level == Level::location;
    if (row && row->treatment == Treatment::guard && asByDefault(d)) {
      std::erase(scope.guards, d.name);
      carried(d);
      continue;
    }
    rest(d, level);
    if (row ? row->treatment == Treatment::guard : within) scope.guards.push_back(d.name);
  }
  if (any("allow") || any("deny")) access(directives, scope);
}

// Whether a guard directive has its default value, with which it restricts nothing.
bool Lowering::asByDefault(const Directive& d) {
  if (d.arguments.size() != 1) return false;
  const std::string& value = d.arguments[0].text;
  if (d.name == "satisfy") return value == "all";
  if (d.name.rfind("proxy_pass_request_", 0) == 0) return value == "on";
  return value == "off";
}

// The first matching rule applies, so a first rule for all addresses decides alone.
void Lowering::access(const std::vector<Directive>& directives, Inherited& scope) {
  static const std::string kGuard = "allow and deny";
  scope.denied = false;
  std::erase(scope.guards, kGuard);
  const Directive* first = nullptr;
  for (const Directive& d : directives) {
    if (d.name != "allow" && d.name != "deny") continue;
    wants(d, 1, 1);
    if (!first) first = &d;
    if (first->arguments[0].text == "all") carried(d);
    else leftOut(d, "addresses of clients are not asked for; the locations that it holds for answer 501");
  }
  if (first->arguments[0].text != "all") scope.guards.push_back(kGuard);
  else scope.denied = first->name == "deny";
}

void Lowering::rest(const Directive& d, Level level) {
  const DirectiveRow* row = findRow(d.name);
  if (!row)
    return leaveOut(d, level == Level::server || level == Level::location
                           ? "not known here; the locations that it holds for answer 501"
                           : "not known here");
  switch (row->treatment) {
    case Treatment::lowered: notHere(d);
    case Treatment::guard:
      return leaveOut(d, std::string(row->note) + "; the locations that it holds for answer 501");
    case Treatment::handler: return leaveOut(d, std::string(row->note) + "; the location answers 501");
    case Treatment::harmless:
    case Treatment::process: return leaveOut(d, std::string(row->note));
  }
}

bool Lowering::shared(const Directive& d, Inherited& scope) {
  const auto time = [&] {
    wants(d, 1, 1);
    const auto value = timeOf(d.arguments[0].text);
    if (!value) throw BadSyntax(d.arguments[0].at, "'" + d.arguments[0].text + "' is no time");
    return *value;
  };
  const auto status = [&] {
    wants(d, 1, 1);
    const auto value = numberOf(d.arguments[0].text);
    if (!value || *value < 400 || *value > 599)
      throw BadSyntax(d.arguments[0].at, "a status from 400 to 599 is wanted");
    return static_cast<int>(*value);
  };
  if (d.name == "merge_slashes") {
    scope.mergeSlashes = flag(d);
    carried(d);
  } else if (d.name == "proxy_set_header") {
    wants(d, 2, 2);
    const std::string &name = d.arguments[0].text, &value = d.arguments[1].text;
    static constexpr std::string_view kOwn[] = {
        "connection",     "upgrade",      "keep-alive",    "transfer-encoding", "te",     "trailer",
        "content-length", "x-request-id", "x-deadline-ms", "idempotency-key",   "expect", "proxy-connection"};
    if (std::find(std::begin(kOwn), std::end(kOwn), route::lower(name)) != std::end(kOwn)) {
      difference(d, "the gateway writes this field itself");
      return true;
    }
    if (name.empty() || !std::all_of(name.begin(), name.end(), [](char c) {
          return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                 std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos;
        }))
      throw BadSyntax(d.arguments[0].at, "no name of a header");
    if (const std::string why = unknownIn(value, d.arguments[1].at); !why.empty()) leftOut(d, why);
    else {
      scope.headers->emplace_back(name, value);
      carried(d);
    }
  } else if (d.name == "proxy_connect_timeout") {
    scope.connectTimeout = time();
    difference(d,
               "holds for the whole pool: the shortest that a location of it names, never longer than the "
               "settings have it");
  } else if (d.name == "proxy_read_timeout") {
    scope.readTimeout = time();
    difference(
        d, "bounds the whole answer, not the time between two reads, and never lengthens the class's own");
  } else if (d.name == "proxy_next_upstream_timeout") {
    scope.triesTimeout = time();
    difference(d, "bounds all tries together by shortening the time for the answer");
  } else if (d.name == "proxy_next_upstream_tries") {
    wants(d, 1, 1);
    const auto tries = numberOf(d.arguments[0].text);
    if (!tries) throw BadSyntax(d.arguments[0].at, "a number is wanted");
    scope.tries = static_cast<std::uint32_t>(std::min<std::uint64_t>(*tries, 100));
    if (*tries == 0) difference(d, "no bound of its own: the settings' own holds");
    else carried(d);
  } else if (d.name == "proxy_next_upstream") {
    wants(d, 1, 20);
    std::string why =
        "what may be tried again follows from what is proven of the last try, whatever is listed";
    scope.retriesOff = false;
    for (const Argument& a : d.arguments) {
      if (a.text == "off") {
        scope.retriesOff = true;
        return carried(d), true;
      }
      static constexpr std::string_view kKnown[] = {"error",    "timeout",  "invalid_header", "http_500",
                                                    "http_502", "http_503", "http_504",       "http_403",
                                                    "http_404", "http_429", "non_idempotent"};
      if (std::find(std::begin(kKnown), std::end(kKnown), a.text) == std::end(kKnown))
        throw BadSyntax(a.at, "'" + a.text + "' is no condition of proxy_next_upstream");
      if (a.text == "non_idempotent")
        why = "non_idempotent is forbidden here: what may have run is never sent again; " + why;
    }
    difference(d, why);
  } else if (d.name == "client_max_body_size") {
    wants(d, 1, 1);
    const auto size = sizeOf(d.arguments[0].text);
    if (!size) throw BadSyntax(d.arguments[0].at, "'" + d.arguments[0].text + "' is no size");
    scope.bodyMost = *size;
    if (*size == 0 || *size > (32 << 20)) difference(d, "the gateway's own bound of 32 MiB holds");
    else carried(d);
  } else if (d.name == "limit_req") {
    rate(d, scope);
  } else if (d.name == "limit_conn") {
    connection(d, scope);
  } else if (d.name == "limit_req_status") {
    scope.rateStatus = status();
    carried(d);
  } else if (d.name == "limit_conn_status") {
    scope.connectionStatus = status();
    carried(d);
  } else if (d.name == "limit_req_dry_run" || d.name == "limit_conn_dry_run") {
    if (flag(d)) difference(d, "limits in a dry run are left out");
    else carried(d);
  } else if (d.name == "allow" || d.name == "deny") {
    return true;  // all of a level together: access()
  } else if (d.name == "auth_basic" || d.name == "auth_request") {
    wants(d, 1, 1);
    std::erase(scope.guards, d.name);
    if (d.arguments[0].text == "off") return carried(d), true;
    scope.guards.push_back(d.name);
    leftOut(d, "nobody is asked who a client is; the locations that it holds for answer 501");
  } else {
    return false;
  }
  return true;
}

// --- server -----------------------------------------------------------------------------------------------

void Lowering::serverOf(const Directive& block, const Inherited& outer) {
  if (!block.block) throw BadSyntax(block.at, "'server' wants a block");
  wants(block, 0, 0);
  route::Server server;
  server.origin = origin(block);
  Inherited scope = outer;
  inherit(block.inner, scope, Level::server);
  server.mergeSlashes = scope.mergeSlashes;
  std::string poison;
  for (const Directive& d : block.inner) {
    if (d.name == "listen") listen(d, server);
    else if (d.name == "server_name") serverName(d, server);
    else if (rewriting(d)) step(d, server.steps, poison);
    else if (d.name == "try_files")
      leftOut(d, "in a server it holds where there is no location: those get 404");
    else if (d.name == "http" || d.name == "server" || d.name == "upstream" || d.name == "map" ||
             d.name == "proxy_pass" || d.name == "internal" || d.name == "limit_req_zone" ||
             d.name == "limit_conn_zone")
      notHere(d);
  }
  if (!poison.empty()) {
    // What the steps do to a request is not known, so the whole server answers 501.
    server.steps = {};
    route::Step answer;
    answer.kind = route::Step::Kind::answer;
    answer.status = 501;
    server.steps.push_back(answer);
    difference(block, "all of it answers 501: " + poison);
  } else {
    carried(block);
  }
  for (const Directive& d : block.inner)
    if (d.name == "location") locationOf(d, scope, server.locations, nullptr);
  if (server.listens.empty()) server.listens.push_back({"*", 80, false});
  routes_.servers.push_back(std::move(server));
}

void Lowering::listen(const Directive& d, route::Server& server) {
  const std::string& at = argument(d, 0).text;
  if (at.rfind("unix:", 0) == 0) return leftOut(d, "the gateway listens on no Unix socket");
  route::Listen to;
  to.address = "*";
  std::string port;
  if (numberOf(at)) port = at;
  else if (!at.empty() && at[0] == '[') {
    const std::size_t end = at.find(']');
    if (end == std::string::npos) throw BadSyntax(d.arguments[0].at, "'[' without ']'");
    to.address = at.substr(0, end + 1);
    if (end + 1 < at.size()) port = at[end + 1] == ':' ? at.substr(end + 2) : "x";
  } else {
    const std::size_t colon = at.find(':');
    to.address = at.substr(0, colon);
    if (colon != std::string::npos) port = at.substr(colon + 1);
  }
  if (!port.empty()) {
    const auto number = numberOf(port);
    if (!number || *number < 1 || *number > 65535)
      throw BadSyntax(d.arguments[0].at, "'" + port + "' is no port");
    to.port = static_cast<std::uint16_t>(*number);
  }
  std::string why;
  if (to.address != "*" && to.address != "0.0.0.0" && to.address != "[::]")
    why = "servers are told apart by port and name, not by the address";
  for (std::size_t i = 1; i < d.arguments.size(); ++i) {
    const std::string& word = d.arguments[i].text;
    const std::string name = word.substr(0, word.find('='));
    if (name == "default_server" || name == "default") {
      to.isDefault = true;
      continue;
    }
    static constexpr std::string_view kSocket[] = {"ssl",      "http2",    "quic",           "reuseport",
                                                   "backlog",  "rcvbuf",   "sndbuf",         "so_keepalive",
                                                   "deferred", "ipv6only", "bind",           "accept_filter",
                                                   "fastopen", "setfib",   "proxy_protocol", "multipath"};
    if (std::find(std::begin(kSocket), std::end(kSocket), name) == std::end(kSocket))
      throw BadSyntax(d.arguments[i].at, "'" + word + "' is no parameter of listen");
    if (name == "ssl" || name == "quic")
      why = "the gateway ends no TLS: it is spoken to in plain on this port";
    else if (name == "proxy_protocol") why = "the PROXY protocol is not read";
    else if (why.empty()) why = "of the socket: '" + name + "' is not set";
  }
  // One port once, also where several addresses of it are named.
  for (route::Listen& known : server.listens)
    if (known.port == to.port) {
      known.isDefault = known.isDefault || to.isDefault;
      return why.empty() ? carried(d) : difference(d, why);
    }
  server.listens.push_back(to);
  why.empty() ? carried(d) : difference(d, why);
}

void Lowering::serverName(const Directive& d, route::Server& server) {
  wants(d, 1, kArgumentsMost);
  std::string why;
  for (const Argument& a : d.arguments) {
    if (!a.text.empty() && a.text[0] == '~') {
      regex(a.text.substr(1), true, a.at);
    } else if (a.text.find('$') != std::string::npos) {
      why = "'" + a.text + "' is not known here";
      continue;
    } else if (route::HostPatterns::kindOf(a.text) == route::HostPatterns::Kind::bad) {
      throw BadSyntax(a.at, "'" + a.text + "' is no name of a server");
    }
    if (std::find(server.names.begin(), server.names.end(), a.text) == server.names.end())
      server.names.push_back(a.text);
  }
  why.empty() ? carried(d) : difference(d, why);
}

}  // namespace cairnjunction::import_nginx

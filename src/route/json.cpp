// Writes routes as JSON, and reads them strictly.
#include "route/json.hpp"

#include <algorithm>
#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>

#include "route/router.hpp"

namespace cairnjunction::route {
namespace {

using nlohmann::json;
using nlohmann::ordered_json;
using std::chrono::milliseconds;

template <class Enum, std::size_t N>
using Names = std::array<std::pair<Enum, std::string_view>, N>;

constexpr Names<Location::Modifier, 6> kModifiers{{{Location::Modifier::prefix, "prefix"},
                                                   {Location::Modifier::exact, "="},
                                                   {Location::Modifier::preferred, "^~"},
                                                   {Location::Modifier::regex, "~"},
                                                   {Location::Modifier::regexCaseless, "~*"},
                                                   {Location::Modifier::named, "@"}}};
constexpr Names<Step::Kind, 5> kSteps{{{Step::Kind::rewrite, "rewrite"},
                                       {Step::Kind::answer, "answer"},
                                       {Step::Kind::set, "set"},
                                       {Step::Kind::stop, "break"},
                                       {Step::Kind::when, "if"}}};
constexpr Names<Step::Flag, 5> kFlags{{{Step::Flag::none, ""},
                                       {Step::Flag::last, "last"},
                                       {Step::Flag::stop, "break"},
                                       {Step::Flag::redirect, "redirect"},
                                       {Step::Flag::permanent, "permanent"}}};
constexpr Names<Condition::Kind, 5> kConditions{{{Condition::Kind::truthy, "true"},
                                                 {Condition::Kind::equal, "="},
                                                 {Condition::Kind::notEqual, "!="},
                                                 {Condition::Kind::matches, "~"},
                                                 {Condition::Kind::notMatches, "!~"}}};
constexpr Names<Map::Entry::Kind, 3> kEntries{{{Map::Entry::Kind::exact, "exact"},
                                               {Map::Entry::Kind::hostWildcard, "host"},
                                               {Map::Entry::Kind::regex, "regex"}}};
constexpr Names<Pool::Source, 2> kSources{
    {{Pool::Source::fixed, "fixed"}, {Pool::Source::discovery, "discovery"}}};

template <class Enum, std::size_t N>
std::string nameIn(const Names<Enum, N>& names, Enum value) {
  for (const auto& [each, name] : names)
    if (each == value) return std::string(name);
  return {};
}

// --- Writing: what is as by default is left out -----------------------------------------------------------

void put(ordered_json& to, const char* name, const std::string& value) {
  if (!value.empty()) to[name] = value;
}

void putOrigin(ordered_json& to, const Origin& origin) {
  if (origin.line > 0) to["origin"] = {{"file", origin.file}, {"line", origin.line}};
}

ordered_json stepsJson(const std::vector<Step>& steps) {
  ordered_json out = ordered_json::array();
  for (const Step& step : steps) {
    ordered_json& j = out.emplace_back(ordered_json::object());
    j["do"] = nameIn(kSteps, step.kind);
    put(j, "pattern", step.pattern);
    if (step.kind == Step::Kind::rewrite || step.kind == Step::Kind::set) j["text"] = step.text;
    else put(j, "text", step.text);
    put(j, "flag", nameIn(kFlags, step.flag));
    if (step.status) j["status"] = step.status;
    put(j, "variable", step.variable);
    if (step.kind != Step::Kind::when) continue;
    j["subject"] = step.condition.subject;
    j["is"] = nameIn(kConditions, step.condition.kind);
    put(j, "operand", step.condition.operand);
    if (step.condition.caseless) j["caseless"] = true;
    j["then"] = stepsJson(step.then);
  }
  return out;
}

ordered_json proxyJson(const Proxy& proxy) {
  ordered_json j = ordered_json::object();
  j["pool"] = proxy.pool;
  if (proxy.uri) j["uri"] = *proxy.uri;
  if (!proxy.headers.empty()) {
    j["headers"] = ordered_json::array();
    for (const auto& [name, value] : proxy.headers)
      j["headers"].push_back(ordered_json{{"name", name}, {"value", value}});
  }
  if (proxy.connectTimeout) j["connect_timeout_ms"] = proxy.connectTimeout->count();
  if (proxy.timeout) j["timeout_ms"] = proxy.timeout->count();
  if (proxy.attempts) j["attempts"] = *proxy.attempts;
  return j;
}

ordered_json locationsJson(const std::vector<Location>& locations) {
  ordered_json out = ordered_json::array();
  for (const Location& location : locations) {
    ordered_json& j = out.emplace_back(ordered_json::object());
    if (location.modifier != Location::Modifier::prefix)
      j["modifier"] = nameIn(kModifiers, location.modifier);
    j["pattern"] = location.pattern;
    put(j, "class", location.className);
    if (!location.steps.empty()) j["steps"] = stepsJson(location.steps);
    if (location.proxy) j["proxy"] = proxyJson(*location.proxy);
    if (location.slashRedirect) j["slash_redirect"] = true;
    if (location.internal) j["internal"] = true;
    put(j, "fallback", location.fallback);
    if (location.status) j["status"] = location.status;
    if (location.bodyMost) j["body_most"] = *location.bodyMost;
    for (const RateLimit& limit : location.rates)
      j["rates"].push_back(ordered_json{{"zone", limit.zone}, {"burst", limit.burst}});
    for (const ConnectionLimit& limit : location.connections)
      j["connections"].push_back(ordered_json{{"zone", limit.zone}, {"most", limit.most}});
    if (location.rateStatus != 503) j["rate_status"] = location.rateStatus;
    if (location.connectionStatus != 503) j["connection_status"] = location.connectionStatus;
    if (!location.nested.empty()) j["locations"] = locationsJson(location.nested);
    putOrigin(j, location.origin);
  }
  return out;
}

ordered_json serverJson(const Server& server) {
  ordered_json j = ordered_json::object();
  j["names"] = server.names;
  j["listens"] = ordered_json::array();
  for (const Listen& listen : server.listens) {
    ordered_json& l =
        j["listens"].emplace_back(ordered_json{{"address", listen.address}, {"port", listen.port}});
    if (listen.isDefault) l["default"] = true;
  }
  if (!server.mergeSlashes) j["merge_slashes"] = false;
  if (!server.steps.empty()) j["steps"] = stepsJson(server.steps);
  j["locations"] = locationsJson(server.locations);
  putOrigin(j, server.origin);
  return j;
}

ordered_json poolJson(const Pool& pool) {
  ordered_json j = ordered_json::object();
  j["name"] = pool.name;
  j["source"] = nameIn(kSources, pool.source);
  const PoolServer plain;
  for (const PoolServer& server : pool.servers) {
    ordered_json& s = j["servers"].emplace_back(ordered_json{{"address", server.address}});
    if (server.weight != plain.weight) s["weight"] = server.weight;
    if (server.backup) s["backup"] = true;
    if (server.down) s["down"] = true;
    if (server.connectionsMost) s["connections_most"] = server.connectionsMost;
    if (server.failsMost != plain.failsMost) s["fails_most"] = server.failsMost;
    if (server.failTimeout != plain.failTimeout) s["fail_timeout_ms"] = server.failTimeout.count();
  }
  if (pool.balance != "idle") j["balance"] = pool.balance;
  put(j, "hash_key", pool.hashKey);
  if (pool.idleMost) j["idle_most"] = pool.idleMost;
  putOrigin(j, pool.origin);
  return j;
}

ordered_json mapJson(const Map& map) {
  ordered_json j = ordered_json::object();
  j["variable"] = map.variable;
  j["source"] = map.source;
  put(j, "default", map.otherwise);
  if (map.hostnames) j["hostnames"] = true;
  j["entries"] = ordered_json::array();
  for (const Map::Entry& entry : map.entries) {
    ordered_json& e = j["entries"].emplace_back(ordered_json::object());
    if (entry.kind != Map::Entry::Kind::exact) e["kind"] = nameIn(kEntries, entry.kind);
    e["pattern"] = entry.pattern;
    if (entry.caseless) e["caseless"] = true;
    e["value"] = entry.value;
  }
  putOrigin(j, map.origin);
  return j;
}

// --- Reading ----------------------------------------------------------------------------------------------

// Reads one object of the file. A member that was not read when the reader ends is an unknown key, and an
// error.
class Object {
 public:
  Object(const json& j, std::string where) : json_(j), where_(std::move(where)) {
    if (!j.is_object()) fail("is no object");
  }

  [[noreturn]] void fail(const std::string& what) const { throw BadRoutes(where_ + ": " + what); }

  const json* find(const char* name) {
    seen_.insert(name);
    const auto it = json_.find(name);
    return it == json_.end() ? nullptr : &*it;
  }
  const json& need(const char* name) {
    const json* found = find(name);
    if (!found) fail(std::string("'") + name + "' is missing");
    return *found;
  }
  std::string in(const char* name) const { return where_ + "/" + name; }

  void read(const char* name, std::string& into) {
    if (const json* found = find(name)) {
      if (!found->is_string()) fail(std::string("'") + name + "' is no text");
      into = found->get<std::string>();
    }
  }
  void read(const char* name, bool& into) {
    if (const json* found = find(name)) {
      if (!found->is_boolean()) fail(std::string("'") + name + "' is neither true nor false");
      into = found->get<bool>();
    }
  }
  template <class Number>
  bool number(const char* name, Number& into, std::int64_t least, std::int64_t most) {
    const json* found = find(name);
    if (!found) return false;
    if (!found->is_number_integer() ||
        (found->is_number_unsigned() && found->get<std::uint64_t>() > INT64_MAX) ||
        found->get<std::int64_t>() < least || found->get<std::int64_t>() > most)
      fail(std::string("'") + name + "' is no whole number from " + std::to_string(least) + " to " +
           std::to_string(most));
    into = static_cast<Number>(found->get<std::int64_t>());
    return true;
  }
  template <class Enum, std::size_t N>
  void read(const char* name, const Names<Enum, N>& names, Enum& into) {
    std::string text = nameIn(names, into);
    read(name, text);
    for (const auto& [each, known] : names)
      if (known == text) {
        into = each;
        return;
      }
    fail(std::string("'") + name + "' is none of those known: '" + text + "'");
  }
  template <class Read>
  void list(const char* name, Read read) {
    const json* found = find(name);
    if (!found) return;
    if (!found->is_array()) fail(std::string("'") + name + "' is no list");
    for (std::size_t i = 0; i < found->size(); ++i) read((*found)[i], in(name) + "/" + std::to_string(i));
  }
  void end() const {
    for (const auto& [key, value] : json_.items())
      if (!seen_.contains(key)) fail("'" + key + "' is not known");
  }

 private:
  const json& json_;
  std::string where_;
  std::set<std::string> seen_;
};

constexpr std::int64_t kMsMost = 24LL * 3600 * 1000;

Origin readOrigin(Object& from) {
  Origin origin;
  if (const json* found = from.find("origin")) {
    Object o(*found, from.in("origin"));
    o.read("file", origin.file);
    o.number("line", origin.line, 0, std::numeric_limits<std::uint32_t>::max());
    o.end();
  }
  return origin;
}

std::vector<Step> readSteps(Object& from, const char* name, std::size_t depth) {
  std::vector<Step> steps;
  if (depth > kDepthMost) from.fail("steps nested too deep");
  from.list(name, [&](const json& j, const std::string& where) {
    Object o(j, where);
    Step step;
    if (!o.find("do")) o.fail("'do' is missing");
    o.read("do", kSteps, step.kind);
    o.read("pattern", step.pattern);
    o.read("text", step.text);
    o.read("flag", kFlags, step.flag);
    o.number("status", step.status, 100, 599);
    o.read("variable", step.variable);
    o.read("subject", step.condition.subject);
    o.read("is", kConditions, step.condition.kind);
    o.read("operand", step.condition.operand);
    o.read("caseless", step.condition.caseless);
    step.then = readSteps(o, "then", depth + 1);
    if (step.kind == Step::Kind::answer && !step.status) o.fail("'status' is missing");
    if (step.kind == Step::Kind::set && step.variable.empty()) o.fail("'variable' is missing");
    o.end();
    steps.push_back(std::move(step));
  });
  return steps;
}

Proxy readProxy(const json& j, const std::string& where) {
  Object o(j, where);
  Proxy proxy;
  o.need("pool");
  o.read("pool", proxy.pool);
  if (o.find("uri")) o.read("uri", proxy.uri.emplace());
  o.list("headers", [&](const json& h, const std::string& at) {
    Object header(h, at);
    header.need("name");
    auto& [name, value] = proxy.headers.emplace_back();
    header.read("name", name);
    header.read("value", value);
    header.end();
  });
  std::int64_t ms = 0;
  if (o.number("connect_timeout_ms", ms, 1, kMsMost)) proxy.connectTimeout = milliseconds(ms);
  if (o.number("timeout_ms", ms, 1, kMsMost)) proxy.timeout = milliseconds(ms);
  if (std::uint32_t attempts = 0; o.number("attempts", attempts, 0, 100)) proxy.attempts = attempts;
  o.end();
  return proxy;
}

std::vector<Location> readLocations(Object& from, std::size_t depth) {
  std::vector<Location> locations;
  if (depth > kDepthMost) from.fail("locations nested deeper than " + std::to_string(kDepthMost));
  from.list("locations", [&](const json& j, const std::string& where) {
    Object o(j, where);
    Location location;
    o.read("modifier", kModifiers, location.modifier);
    o.need("pattern");
    o.read("pattern", location.pattern);
    o.read("class", location.className);
    location.steps = readSteps(o, "steps", 0);
    if (const json* proxy = o.find("proxy")) location.proxy = readProxy(*proxy, o.in("proxy"));
    o.read("slash_redirect", location.slashRedirect);
    o.read("internal", location.internal);
    o.read("fallback", location.fallback);
    o.number("status", location.status, 200, 599);
    if (std::uint64_t most = 0; o.number("body_most", most, 0, std::numeric_limits<std::int64_t>::max()))
      location.bodyMost = most;
    o.list("rates", [&](const json& r, const std::string& at) {
      Object rate(r, at);
      RateLimit limit;
      rate.need("zone");
      rate.read("zone", limit.zone);
      rate.number("burst", limit.burst, 0, 1'000'000);
      rate.end();
      location.rates.push_back(limit);
    });
    o.list("connections", [&](const json& c, const std::string& at) {
      Object connection(c, at);
      ConnectionLimit limit;
      connection.need("zone");
      connection.read("zone", limit.zone);
      connection.number("most", limit.most, 1, 65535);
      connection.end();
      location.connections.push_back(limit);
    });
    o.number("rate_status", location.rateStatus, 400, 599);
    o.number("connection_status", location.connectionStatus, 400, 599);
    location.nested = readLocations(o, depth + 1);
    location.origin = readOrigin(o);
    const std::string& f = location.fallback;
    if (!f.empty() && f[0] == '=' &&
        (f.size() != 4 || f[1] < '1' || f[1] > '5' ||
         !std::all_of(f.begin() + 1, f.end(), [](char c) { return c >= '0' && c <= '9'; })))
      o.fail("'fallback' is no status: '" + f + "'");
    o.end();
    locations.push_back(std::move(location));
  });
  return locations;
}

Server readServer(const json& j, const std::string& where) {
  Object o(j, where);
  Server server;
  o.list("names", [&](const json& name, const std::string& at) {
    if (!name.is_string()) throw BadRoutes(at + ": is no text");
    server.names.push_back(name.get<std::string>());
  });
  o.list("listens", [&](const json& l, const std::string& at) {
    Object listen(l, at);
    Listen to;
    to.address = "*";
    listen.read("address", to.address);
    listen.number("port", to.port, 1, 65535);
    listen.read("default", to.isDefault);
    listen.end();
    server.listens.push_back(to);
  });
  o.read("merge_slashes", server.mergeSlashes);
  server.steps = readSteps(o, "steps", 0);
  server.locations = readLocations(o, 1);
  server.origin = readOrigin(o);
  o.end();
  return server;
}

Pool readPool(const json& j, const std::string& where) {
  Object o(j, where);
  Pool pool;
  o.need("name");
  o.read("name", pool.name);
  if (pool.name.empty()) o.fail("'name' is empty");
  o.read("source", kSources, pool.source);
  o.list("servers", [&](const json& s, const std::string& at) {
    Object server(s, at);
    PoolServer to;
    server.need("address");
    server.read("address", to.address);
    server.number("weight", to.weight, 1, 65535);
    server.read("backup", to.backup);
    server.read("down", to.down);
    server.number("connections_most", to.connectionsMost, 0, 1'000'000);
    server.number("fails_most", to.failsMost, 0, 1'000'000);
    std::int64_t ms = to.failTimeout.count();
    server.number("fail_timeout_ms", ms, 0, kMsMost);
    to.failTimeout = milliseconds(ms);
    server.end();
    pool.servers.push_back(std::move(to));
  });
  o.read("balance", pool.balance);
  o.read("hash_key", pool.hashKey);
  o.number("idle_most", pool.idleMost, 0, 1'000'000);
  pool.origin = readOrigin(o);
  o.end();
  return pool;
}

Map readMap(const json& j, const std::string& where) {
  Object o(j, where);
  Map map;
  o.need("variable");
  o.read("variable", map.variable);
  o.read("source", map.source);
  o.read("default", map.otherwise);
  o.read("hostnames", map.hostnames);
  o.list("entries", [&](const json& e, const std::string& at) {
    Object entry(e, at);
    Map::Entry to;
    entry.read("kind", kEntries, to.kind);
    entry.need("pattern");
    entry.read("pattern", to.pattern);
    entry.read("caseless", to.caseless);
    entry.read("value", to.value);
    entry.end();
    map.entries.push_back(std::move(to));
  });
  map.origin = readOrigin(o);
  o.end();
  return map;
}

}  // namespace

ordered_json toJson(const Routes& routes) {
  ordered_json j = ordered_json::object();
  j["version"] = 1;
  j["servers"] = ordered_json::array();
  for (const Server& server : routes.servers) j["servers"].push_back(serverJson(server));
  j["pools"] = ordered_json::array();
  for (const Pool& pool : routes.pools) j["pools"].push_back(poolJson(pool));
  for (const Map& map : routes.maps) j["maps"].push_back(mapJson(map));
  for (const RateZone& zone : routes.rateZones)
    j["rate_zones"].push_back(ordered_json{
        {"name", zone.name}, {"key", zone.key}, {"per_minute", zone.perMinute}, {"bytes", zone.bytes}});
  for (const ConnectionZone& zone : routes.connectionZones)
    j["connection_zones"].push_back(
        ordered_json{{"name", zone.name}, {"key", zone.key}, {"bytes", zone.bytes}});
  return j;
}

Routes fromJson(const json& j) {
  Object o(j, "routes");
  Routes routes;
  int version = 0;
  if (!o.number("version", version, 1, 1)) o.fail("'version' is missing");
  o.list("servers",
         [&](const json& s, const std::string& at) { routes.servers.push_back(readServer(s, at)); });
  o.list("pools", [&](const json& p, const std::string& at) { routes.pools.push_back(readPool(p, at)); });
  o.list("maps", [&](const json& m, const std::string& at) { routes.maps.push_back(readMap(m, at)); });
  o.list("rate_zones", [&](const json& z, const std::string& at) {
    Object zone(z, at);
    RateZone to;
    zone.need("name");
    zone.read("name", to.name);
    zone.read("key", to.key);
    zone.need("per_minute");
    zone.number("per_minute", to.perMinute, 1, 60'000'000);
    zone.number("bytes", to.bytes, 1, 1LL << 40);
    zone.end();
    routes.rateZones.push_back(std::move(to));
  });
  o.list("connection_zones", [&](const json& z, const std::string& at) {
    Object zone(z, at);
    ConnectionZone to;
    zone.need("name");
    zone.read("name", to.name);
    zone.read("key", to.key);
    zone.number("bytes", to.bytes, 1, 1LL << 40);
    zone.end();
    routes.connectionZones.push_back(std::move(to));
  });
  o.end();
  return routes;
}

}  // namespace cairnjunction::route

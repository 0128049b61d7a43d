// Upstreams, maps, and limits with their zones.
#include <algorithm>

#include "import/nginx/lowering.hpp"
#include "import/nginx/units.hpp"
#include "route/names.hpp"

namespace cairnjunction::import_nginx {
namespace {

// "zone" of "zone=name:10m"; nothing if it is another word.
bool valueOf(const std::string& word, std::string_view name, std::string& value) {
  if (word.size() <= name.size() || word.compare(0, name.size(), name) != 0 || word[name.size()] != '=')
    return false;
  value = word.substr(name.size() + 1);
  return true;
}

}  // namespace

// --- Upstreams --------------------------------------------------------------------------------------------

void Lowering::upstream(const Directive& block) {
  if (!block.block) throw BadSyntax(block.at, "'upstream' wants a block");
  wants(block, 1, 1);
  route::Pool pool;
  pool.name = block.arguments[0].text;
  pool.origin = origin(block);
  if (!pools_.insert(pool.name).second)
    throw BadSyntax(block.arguments[0].at, "the upstream '" + pool.name + "' stands there twice");
  carried(block);
  bool served = false;
  for (const Directive& d : block.inner) {
    if (d.name == "include") continue;
    if (d.name == "server") {
      upstreamServer(d, pool);
      served = true;
    } else if (d.name == "least_conn" || d.name == "ip_hash" || d.name == "hash" || d.name == "random") {
      if (d.name == "hash") {
        wants(d, 1, 2);
        if (const std::string why = unknownIn(d.arguments[0].text, d.arguments[0].at); !why.empty()) {
          leftOut(d, why);
          continue;
        }
        pool.hashKey = d.arguments[0].text;
      }
      pool.balance = d.name;
      difference(d, d.name == "least_conn" || d.name == "random"
                        ? "the module picks by its own rule: idle servers first, then few in flight"
                        : "requests of one key may go to several servers: the module picks idle ones first");
    } else if (d.name == "keepalive") {
      wants(d, 1, 1);
      const auto most = numberOf(d.arguments[0].text);
      if (!most || *most > 1'000'000)
        throw BadSyntax(d.arguments[0].at, "a number up to 1,000,000 is wanted");
      pool.idleMost = static_cast<std::uint32_t>(*most);
      difference(d, "kept in the routes and not used: the settings' own bound on connections holds");
    } else if (const DirectiveRow* row = findRow(d.name); row && row->treatment == Treatment::guard) {
      leaveOut(d, std::string(row->note));
    } else if (row && row->treatment == Treatment::harmless) {
      rest(d, Level::http);
    } else if (row) {
      notHere(d);
    } else {
      leaveOut(d, "not known here");
    }
  }
  if (!served) throw BadSyntax(block.at, "no server is in the upstream '" + pool.name + "'");
  // A server that was left out is missing here: the pool may be smaller than the file suggests, or empty, and
  // reject what the missing ones would have served. The report lists each, so it does not go unnoticed.
  routes_.pools.push_back(std::move(pool));
}

void Lowering::upstreamServer(const Directive& d, route::Pool& pool) {
  wants(d, 1, 20);
  if (d.block) throw BadSyntax(d.at, "'server' of an upstream has no block");
  route::PoolServer server;
  server.address = d.arguments[0].text;
  std::string why;
  if (server.address.rfind("unix:", 0) == 0) return leftOut(d, "workers are not spoken to by Unix sockets");
  const std::size_t bracket = server.address.find(']'), colon = server.address.rfind(':');
  const bool port = colon != std::string::npos && (bracket == std::string::npos || colon > bracket);
  if (port) {
    const auto number = numberOf(std::string_view(server.address).substr(colon + 1));
    if (!number || *number < 1 || *number > 65535)
      throw BadSyntax(d.arguments[0].at, "no port in the address");
  } else {
    server.address += ":80";
  }
  if (server.address.find_first_of("/$") != std::string::npos || server.address[0] == ':')
    throw BadSyntax(d.arguments[0].at, "'" + d.arguments[0].text + "' is no address of a server");
  for (std::size_t i = 1; i < d.arguments.size(); ++i) {
    const Argument& a = d.arguments[i];
    std::string value;
    const auto number = [&](std::uint64_t least, std::uint64_t most) {
      const auto n = numberOf(value);
      if (!n || *n < least || *n > most)
        throw BadSyntax(a.at, "'" + a.text + "' wants a number from " + std::to_string(least) + " to " +
                                  std::to_string(most));
      return static_cast<std::uint32_t>(*n);
    };
    if (valueOf(a.text, "weight", value)) server.weight = number(1, 65535);
    else if (valueOf(a.text, "max_conns", value)) server.connectionsMost = number(0, 1'000'000);
    else if (valueOf(a.text, "max_fails", value)) server.failsMost = number(0, 1'000'000);
    else if (valueOf(a.text, "fail_timeout", value)) {
      const auto time = timeOf(value);
      if (!time) throw BadSyntax(a.at, "'" + value + "' is no time");
      server.failTimeout = *time;
    } else if (a.text == "backup") server.backup = true;
    else if (a.text == "down") server.down = true;
    else if (a.text == "resolve" || valueOf(a.text, "service", value))
      why = "names are looked up once, at the start";
    else if (valueOf(a.text, "slow_start", value)) why = "a server that comes is taken in by the cold rule";
    else if (valueOf(a.text, "route", value) || a.text == "drain") why = "'" + a.text + "' does nothing here";
    else throw BadSyntax(a.at, "'" + a.text + "' is no parameter of an upstream's server");
  }
  pool.servers.push_back(std::move(server));
  why.empty() ? carried(d) : difference(d, why);
}

// --- Maps -------------------------------------------------------------------------------------------------

void Lowering::map(const Directive& block) {
  if (!block.block) throw BadSyntax(block.at, "'map' wants a block");
  wants(block, 2, 2);
  const std::string& variable = block.arguments[1].text;
  if (variable.size() < 2 || variable[0] != '$')
    throw BadSyntax(block.arguments[1].at, "'" + variable + "' is no variable");
  route::Map map;
  map.source = block.arguments[0].text;
  map.variable = variable.substr(1);
  map.origin = origin(block);
  for (const Directive& entry : block.inner)
    if (entry.name == "hostnames" && entry.arguments.empty()) map.hostnames = true;
  std::string why;
  for (const Directive& entry : block.inner) {
    if (entry.name == "include") continue;  // a file's entries stand behind it
    if (entry.block) throw BadSyntax(entry.at, "a map has no blocks in it");
    if (entry.arguments.empty() && (entry.name == "hostnames" || entry.name == "volatile")) continue;
    if (entry.arguments.size() != 1) throw BadSyntax(entry.at, "an entry of a map has two words");
    std::string key = entry.name;
    const std::string& value = entry.arguments[0].text;
    if (key == "default") {
      map.otherwise = value;
      continue;
    }
    route::Map::Entry to;
    to.value = value;
    if (!key.empty() && key[0] == '~') {
      to.kind = route::Map::Entry::Kind::regex;
      to.caseless = key.size() > 1 && key[1] == '*';
      key.erase(0, to.caseless ? 2 : 1);
      regex(key, to.caseless, entry.at);
    } else {
      if (!key.empty() && key[0] == '\\') key.erase(0, 1);  // "\default", "\~x": the word itself
      const auto kind = route::HostPatterns::kindOf(key);
      if (map.hostnames && kind != route::HostPatterns::Kind::exact && kind != route::HostPatterns::Kind::bad)
        to.kind = route::Map::Entry::Kind::hostWildcard;
    }
    to.pattern = key;
    const bool twice = std::any_of(map.entries.begin(), map.entries.end(), [&](const auto& known) {
      return known.kind == to.kind && to.kind != route::Map::Entry::Kind::regex &&
             route::lower(known.pattern) == route::lower(to.pattern);
    });
    if (twice) throw BadSyntax(entry.at, "'" + key + "' stands in the map twice");
    map.entries.push_back(std::move(to));
  }
  if (!mapNames_.insert(map.variable).second) {
    leftOut(block, "another map gives $" + map.variable + " already");
    return;
  }
  carried(block);
  maps_.emplace_back(&block, std::move(map));
}

// --- Limits -----------------------------------------------------------------------------------------------

// "name:10m" of an argument "zone=name:10m".
template <class Zone>
void Lowering::nameZone(const Argument& a, const std::string& value, Zone& zone) {
  const std::size_t colon = value.find(':');
  const auto size = colon == std::string::npos ? std::nullopt : sizeOf(value.substr(colon + 1));
  if (!size) throw BadSyntax(a.at, "'" + a.text + "' names no zone with its size");
  zone.name = value.substr(0, colon);
  zone.bytes = *size;
}

template <class Zone>
void Lowering::keepZone(const Directive& d, Zone zone, std::set<std::string>& known,
                        std::vector<Zone>& into) {
  if (const std::string why = unknownIn(zone.key, d.arguments[0].at); !why.empty()) return leftOut(d, why);
  if (realIp_ && zone.key.find("remote_addr") != std::string::npos)
    return leftOut(d, "all clients would have the address of the one before us");
  if (!known.insert(zone.name).second)
    throw BadSyntax(d.at, "the zone '" + zone.name + "' stands there twice");
  difference(d, "counted by each gateway alone");
  into.push_back(std::move(zone));
}

void Lowering::rateZone(const Directive& d) {
  wants(d, 3, 4);
  route::RateZone zone;
  zone.key = d.arguments[0].text;
  for (std::size_t i = 1; i < d.arguments.size(); ++i) {
    const Argument& a = d.arguments[i];
    std::string value;
    if (valueOf(a.text, "zone", value)) {
      nameZone(a, value, zone);
    } else if (valueOf(a.text, "rate", value)) {
      const bool minutes = value.size() > 3 && value.substr(value.size() - 3) == "r/m";
      const bool seconds = value.size() > 3 && value.substr(value.size() - 3) == "r/s";
      const auto number = minutes || seconds ? numberOf(value.substr(0, value.size() - 3)) : std::nullopt;
      if (!number || *number < 1 || *number > 1'000'000) throw BadSyntax(a.at, "'" + a.text + "' is no rate");
      zone.perMinute = *number * (seconds ? 60 : 1);
    } else if (a.text != "sync") {
      throw BadSyntax(a.at, "'" + a.text + "' is no parameter of limit_req_zone");
    }
  }
  if (zone.name.empty() || zone.perMinute == 0) throw BadSyntax(d.at, "a zone and a rate are wanted");
  keepZone(d, std::move(zone), rateZones_, routes_.rateZones);
}

void Lowering::connectionZone(const Directive& d) {
  wants(d, 2, 2);
  route::ConnectionZone zone;
  zone.key = d.arguments[0].text;
  std::string value;
  if (!valueOf(d.arguments[1].text, "zone", value)) throw BadSyntax(d.arguments[1].at, "a zone is wanted");
  nameZone(d.arguments[1], value, zone);
  keepZone(d, std::move(zone), connectionZones_, routes_.connectionZones);
}

void Lowering::rate(const Directive& d, Inherited& scope) {
  wants(d, 1, 4);
  route::RateLimit limit;
  std::string why;
  bool delays = true;
  for (const Argument& a : d.arguments) {
    std::string value;
    if (valueOf(a.text, "zone", value)) limit.zone = value;
    else if (valueOf(a.text, "burst", value)) {
      const auto n = numberOf(value);
      if (!n || *n > 1'000'000) throw BadSyntax(a.at, "'" + a.text + "' is no number");
      limit.burst = static_cast<std::uint32_t>(*n);
    } else if (a.text == "nodelay") delays = false;
    else if (!valueOf(a.text, "delay", value))
      throw BadSyntax(a.at, "'" + a.text + "' is no parameter of limit_req");
  }
  if (!rateZones_.contains(limit.zone)) return leftOut(d, "its zone is not known, or left out");
  scope.rates->push_back(limit);
  if (delays && limit.burst > 0) difference(d, "nothing is held back: what is within the burst goes at once");
  else carried(d);
}

void Lowering::connection(const Directive& d, Inherited& scope) {
  wants(d, 2, 2);
  const auto n = numberOf(d.arguments[1].text);
  if (!n || *n < 1 || *n > 65535) throw BadSyntax(d.arguments[1].at, "a number from 1 to 65535 is wanted");
  if (!connectionZones_.contains(d.arguments[0].text))
    return leftOut(d, "its zone is not known, or left out");
  scope.connections->push_back({d.arguments[0].text, static_cast<std::uint32_t>(*n)});
  difference(d, "counts requests under way; they are one for each connection over HTTP/1.1");
}

}  // namespace cairnjunction::import_nginx

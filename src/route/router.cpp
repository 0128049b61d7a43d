// Compiles routes, and finds a request's server, location and upstream URI.
#include "route/router.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

#include "route/level.hpp"
#include "route/names.hpp"
#include "route/regex.hpp"
#include "route/steps.hpp"

namespace cairnjunction::route {
namespace {

constexpr std::uint32_t kNone = Level::kNone;

struct CompiledProxy {
  Text pool;
  std::optional<Text> uri;
  std::vector<std::pair<std::string, Text>> headers;
};

struct CompiledLimit {
  std::size_t zone = 0;
  Text key;
  std::uint32_t most = 0;
};

struct CompiledLocation {
  const Location* source = nullptr;
  std::string text;
  std::uint32_t level = kNone;  // of its nested locations
  Steps steps;
  std::optional<CompiledProxy> proxy;
  Text fallback;
  std::vector<CompiledLimit> rates, connections;
};

struct CompiledExpression {
  Regex regex;
  std::vector<std::pair<std::size_t, std::size_t>> named;
  std::uint32_t to = kNone;  // a location, or a server
};

struct CompiledLevel {
  Level names;
  std::vector<CompiledExpression> expressions;  // in file order
};

struct CompiledServer {
  const Server* source = nullptr;
  std::string name;  // the first one
  std::uint32_t level = 0;
  Steps steps;
  std::unordered_map<std::string, std::uint32_t> named;  // locations
};

struct Port {
  HostPatterns names;
  std::vector<CompiledExpression> expressions;
  std::uint32_t otherwise = kNone;  // default server, or else the first
  bool told = false;                // a default server was named
};

enum class Search { none, prefix, found, redirect, exhausted };

}  // namespace

struct Router::Compiled {
  Routes routes;
  Texts texts;
  std::vector<CompiledServer> servers;
  std::vector<CompiledLocation> locations;
  std::vector<CompiledLevel> levels;
  std::map<std::uint16_t, Port> ports;
  std::set<std::string, std::less<>> pools;
  std::uint16_t defaultPort = 80;
  std::vector<std::string> warnings;
  std::size_t steps = 0;

  explicit Compiled(Routes from) : routes(std::move(from)) { compile(); }

  // --- Compiling ----------------------------------------------------------------------------------------

  [[noreturn]] static void bad(const std::string& where, const std::string& what) {
    throw BadRoutes(where + ": " + what);
  }

  template <class Work>
  static void at(const std::string& where, Work work) {
    try {
      work();
    } catch (const BadText& error) {
      bad(where, error.what());
    } catch (const BadRegex& error) {
      bad(where, error.what());
    }
  }

  void compile() {
    if (routes.servers.size() > kServersMost) bad("servers", "more than " + std::to_string(kServersMost));
    if (routes.pools.size() > kPoolsMost) bad("pools", "more than " + std::to_string(kPoolsMost));
    std::size_t entries = 0;
    for (const Map& map : routes.maps) entries += map.entries.size();
    if (entries > kMapEntriesMost) bad("maps", "more than " + std::to_string(kMapEntriesMost) + " entries");
    for (const Pool& pool : routes.pools)
      if (!pools.insert(pool.name).second) bad("pools", "'" + pool.name + "' stands there twice");
    // All variables are declared before the first text that may use one is compiled.
    for (std::size_t i = 0; i < routes.servers.size(); ++i) {
      const Server& server = routes.servers[i];
      const std::string where = "servers/" + std::to_string(i);
      at(where, [&] {
        countSteps(server.steps, where);
        Steps::declare(server.steps, texts);
        for (const std::string& name : server.names)
          if (!name.empty() && name[0] == '~')
            texts.namedSlots(Regex(std::string_view(name).substr(1), true));
      });
      declare(server.locations, where, 1);
    }
    at("maps", [&] { texts.addMaps(routes.maps); });
    servers.reserve(routes.servers.size());
    for (std::size_t i = 0; i < routes.servers.size(); ++i) addServer(i);
    for (auto& level : levels) level.names.seal();
    choosePort();
  }

  void countSteps(const std::vector<Step>& of, const std::string& where) {
    steps += of.size();
    if (steps > kStepsMost) bad(where, "more than " + std::to_string(kStepsMost) + " rewrite steps");
    for (const Step& step : of) countSteps(step.then, where);
  }

  std::size_t declared = 0;
  void declare(const std::vector<Location>& of, const std::string& where, std::size_t depth) {
    if (depth > kDepthMost) bad(where, "locations nested deeper than " + std::to_string(kDepthMost));
    declared += of.size();
    if (declared > kLocationsMost) bad(where, "more than " + std::to_string(kLocationsMost) + " locations");
    for (std::size_t i = 0; i < of.size(); ++i) {
      const Location& location = of[i];
      const std::string here = where + "/locations/" + std::to_string(i);
      at(here, [&] {
        countSteps(location.steps, here);
        Steps::declare(location.steps, texts);
        if (location.modifier == Location::Modifier::regex ||
            location.modifier == Location::Modifier::regexCaseless)
          texts.namedSlots(Regex(location.pattern, location.modifier == Location::Modifier::regexCaseless));
      });
      declare(location.nested, here, depth + 1);
    }
  }

  void addServer(std::size_t index) {
    const Server& source = routes.servers[index];
    const std::string where = "servers/" + std::to_string(index);
    const auto mine = static_cast<std::uint32_t>(servers.size());
    CompiledServer& server = servers.emplace_back();
    server.source = &source;
    server.name = source.names.empty() ? "" : source.names.front();
    at(where, [&] { server.steps.compile(source.steps, texts); });
    server.level = addLevel(source.locations, where, &server, nullptr);
    addNames(source, mine, where);
  }

  void addNames(const Server& source, std::uint32_t server, const std::string& where) {
    std::vector<Listen> listens = source.listens;
    if (listens.empty()) listens.push_back({"*", 80, false});
    std::vector<std::string> names = source.names;
    if (names.empty()) names.push_back("");
    std::set<std::uint16_t> done;
    for (const Listen& listen : listens) {
      Port& port = ports[listen.port];
      if (listen.isDefault && port.told && port.otherwise != server)
        bad(where, "a second default server for port " + std::to_string(listen.port));
      if (listen.isDefault || port.otherwise == kNone) port.otherwise = server;
      port.told = port.told || listen.isDefault;
      if (!done.insert(listen.port).second) continue;
      for (const std::string& name : names) {
        if (!name.empty() && name[0] == '~') {
          at(where, [&] {
            CompiledExpression e{Regex(std::string_view(name).substr(1), true), {}, server};
            e.named = texts.namedSlots(e.regex);
            port.expressions.push_back(std::move(e));
          });
        } else if (HostPatterns::kindOf(name) == HostPatterns::Kind::bad) {
          bad(where, "'" + name + "' is no name of a server");
        } else if (!port.names.add(name, server)) {
          warnings.push_back("the name '" + name + "' on port " + std::to_string(listen.port) +
                             " is another server's too; the first one has it");
        }
      }
    }
  }

  void choosePort() {
    if (ports.empty() || ports.contains(80)) return;
    const Server& first = routes.servers.front();
    defaultPort = first.listens.empty() ? 80 : first.listens.front().port;
  }

  std::uint32_t addLevel(const std::vector<Location>& of, const std::string& where, CompiledServer* server,
                         const Location* parent) {
    const auto mine = static_cast<std::uint32_t>(levels.size());
    levels.emplace_back();
    for (std::size_t i = 0; i < of.size(); ++i)
      addLocation(of[i], mine, where + "/locations/" + std::to_string(i), server, parent);
    return mine;
  }

  void addLocation(const Location& source, std::uint32_t level, const std::string& where,
                   CompiledServer* server, const Location* parent) {
    using Modifier = Location::Modifier;
    const auto index = static_cast<std::uint32_t>(locations.size());
    {
      CompiledLocation& location = locations.emplace_back();
      location.source = &source;
      location.text = textOf(source);
      at(where, [&] {
        location.steps.compile(source.steps, texts);
        location.fallback = texts.compile(source.fallback);
        if (source.proxy) location.proxy = compiledProxy(*source.proxy, where);
        for (const RateLimit& limit : source.rates)
          location.rates.push_back(compiledLimit(routes.rateZones, limit.zone, limit.burst, where));
        for (const ConnectionLimit& limit : source.connections)
          location.connections.push_back(
              compiledLimit(routes.connectionZones, limit.zone, limit.most, where));
      });
    }
    const bool regex = source.modifier == Modifier::regex || source.modifier == Modifier::regexCaseless;
    const bool plain = !regex && source.modifier != Modifier::named;
    if (parent)
      if (const NestingFault fault = nestingFault(source, *parent); fault != NestingFault::none)
        bad(where, textOf(fault, source, *parent));
    if (plain && (source.pattern.empty() || source.pattern[0] != '/'))
      warnings.push_back(where + ": a name that does not begin with '/' matches no path");
    bool fresh = true;
    if (regex) {
      at(where, [&] {
        CompiledExpression e{Regex(source.pattern, source.modifier == Modifier::regexCaseless), {}, index};
        e.named = texts.namedSlots(e.regex);
        levels[level].expressions.push_back(std::move(e));
      });
    } else if (source.modifier == Modifier::named) {
      fresh = server->named.emplace(source.pattern, index).second;
    } else if (source.modifier == Modifier::exact) {
      fresh = levels[level].names.addExact(source.pattern, index);
    } else {
      fresh = levels[level].names.addPrefix(source.pattern, index);
    }
    if (!fresh) bad(where, "the location '" + textOf(source) + "' stands there twice");
    if (plain && (source.proxy || source.slashRedirect) && !source.pattern.empty() &&
        source.pattern.back() == '/')
      levels[level].names.addRedirect(source.pattern);
    if (!source.nested.empty()) locations[index].level = addLevel(source.nested, where, server, &source);
  }

  template <class Zones>
  CompiledLimit compiledLimit(const Zones& zones, const std::string& name, std::uint32_t most,
                              const std::string& where) const {
    for (std::size_t i = 0; i < zones.size(); ++i)
      if (zones[i].name == name) return {i, texts.compile(zones[i].key), most};
    bad(where, "there is no zone '" + name + "'");
  }

  CompiledProxy compiledProxy(const Proxy& source, const std::string& where) {
    CompiledProxy proxy;
    proxy.pool = texts.compile(source.pool);
    if (proxy.pool.constant() && !pools.contains(proxy.pool.literal()))
      bad(where, "there is no pool '" + source.pool + "'");
    if (source.uri) proxy.uri = texts.compile(*source.uri);
    for (const auto& [name, value] : source.headers) proxy.headers.emplace_back(name, texts.compile(value));
    return proxy;
  }

  // --- Routing ------------------------------------------------------------------------------------------

  std::uint32_t serverOf(const std::string& host, std::uint16_t port, Context& context) const {
    const auto listener = ports.find(port);
    if (listener == ports.end()) return kNone;
    if (const auto named = listener->second.names.find(host)) return static_cast<std::uint32_t>(*named);
    for (const CompiledExpression& e : listener->second.expressions) {
      Captures captures;
      const Regex::Result found = e.regex.match(host, &captures);
      if (found == Regex::Result::exhausted) context.exhausted = true;
      if (found != Regex::Result::matched) continue;
      Texts::take(captures, e.named, context);
      return e.to;
    }
    return listener->second.otherwise;
  }

  // Searches as nginx does: an exact match ends the search. The longest prefix is remembered and its nested
  // level is searched. Then the expressions of this level are tried in order, unless that prefix excludes
  // them (^~). A prefix found in a nested level does not end the search: expressions of outer levels still
  // precede it.
  Search find(std::uint32_t levelIndex, Context& context, std::uint32_t& location) const {
    const CompiledLevel& level = levels[levelIndex];
    const Level::Found names = level.names.find(context.path);
    if (names.exact != kNone) {
      location = names.exact;
      return Search::found;
    }
    if (names.redirect) return Search::redirect;
    Search remembered = Search::none;
    bool barred = false;
    if (names.prefix != kNone) {
      location = names.prefix;
      remembered = Search::prefix;
      barred = locations[names.prefix].source->modifier == Location::Modifier::preferred;
      if (locations[names.prefix].level != kNone) {
        const Search nested = find(locations[names.prefix].level, context, location);
        if (nested != Search::none && nested != Search::prefix) return nested;
      }
    }
    const Search byExpression = barred ? Search::none : findExpression(level, context, location);
    return byExpression == Search::none ? remembered : byExpression;
  }

  Search findExpression(const CompiledLevel& level, Context& context, std::uint32_t& location) const {
    for (const CompiledExpression& e : level.expressions) {
      Captures captures;
      const Regex::Result found = e.regex.match(context.path, &captures);
      if (found == Regex::Result::exhausted) return Search::exhausted;
      if (found != Regex::Result::matched) continue;
      Texts::take(captures, e.named, context);
      location = e.to;
      if (locations[e.to].level != kNone) {
        const Search nested = find(locations[e.to].level, context, location);
        if (nested == Search::redirect || nested == Search::exhausted) return nested;
      }
      return Search::found;
    }
    return Search::none;
  }

  Decision answer(Decision d, int status, const char* why) const {
    d.kind = status == 444 ? Decision::Kind::close : Decision::Kind::answer;
    d.status = status;
    d.why = why;
    return d;
  }

  Decision route(const Request& request) const {
    Decision d;
    Context context;
    context.request = &request;
    context.host = hostOf(request.host);
    context.variables.resize(texts.slots());
    const std::uint16_t port = request.port ? request.port : defaultPort;
    if (!goodAuthority(request.host)) return answer(std::move(d), 400, "a Host that is no name");
    const std::uint32_t index = serverOf(context.host, port, context);
    if (index == kNone) return answer(std::move(d), 404, "no server listens on this port");
    const CompiledServer& server = servers[index];
    d.server = server.name;
    context.serverName = server.name;
    context.serverPort = port;
    CanonicalPath path = canonical(request.target, server.source->mergeSlashes);
    if (!path.good()) {
      d.fault = path.fault;
      return answer(std::move(d), 400, "a path that two readers could read differently");
    }
    context.path = std::move(path.path);
    context.args = std::move(path.query);
    bool made = false;  // the path was made by a rewrite
    if (!server.steps.empty()) {
      Steps::Result result = server.steps.run(context, texts, server.source->mergeSlashes);
      if (result.status) return ended(std::move(d), std::move(result));
      made = result.rewritten;
    }
    return locate(server, context, std::move(d), made);
  }

  Decision ended(Decision d, Steps::Result result) const {
    d.text = std::move(result.text);
    return answer(std::move(d), result.status,
                  result.end == Steps::End::exhausted ? "an expression took too many steps"
                  : result.end == Steps::End::refused ? "a rewrite made no path"
                                                      : "");
  }

  Decision locate(const CompiledServer& server, Context& context, Decision d, bool made) const {
    const bool merge = server.source->mergeSlashes;
    std::uint32_t forced = kNone;  // a named location
    for (int cycle = 0; cycle <= kCyclesMost; ++cycle) {
      std::uint32_t index = std::exchange(forced, kNone);
      d.location = nullptr;
      d.locationText = {};
      if (index == kNone) switch (find(server.level, context, index)) {
          case Search::prefix:
          case Search::found: break;
          case Search::none: return answer(std::move(d), 404, "no location");
          case Search::exhausted: return answer(std::move(d), 500, "an expression took too many steps");
          case Search::redirect:
            d.text = encoded(context.path) + "/" + (context.args.empty() ? "" : "?" + context.args);
            return answer(std::move(d), 301, "");
        }
      const CompiledLocation& location = locations[index];
      d.location = location.source;
      d.locationText = location.text;
      if (location.source->internal && !made) return answer(std::move(d), 404, "the location is internal");
      made = true;  // a further location is reached by rewrite or fallback
      Steps::Result result;
      if (!location.steps.empty()) {
        result = location.steps.run(context, texts, merge);
        if (result.status) return ended(std::move(d), std::move(result));
        if (result.end == Steps::End::changed) continue;
      }
      if (!location.fallback.empty()) {
        const std::string to = texts.evaluate(location.fallback, context);
        if (to.size() == 4 && to[0] == '=') return answer(std::move(d), std::stoi(to.substr(1)), "");
        if (!to.empty() && to[0] == '@') {
          const auto named = server.named.find(to.substr(1));
          if (named == server.named.end()) return answer(std::move(d), 500, "no such named location");
          forced = named->second;
          continue;
        }
        const std::size_t question = to.find('?');
        std::string path = to.substr(0, question);
        if (normalise(path, merge) != PathFault::none)
          return answer(std::move(d), 500, "a fallback made no path");
        context.path = std::move(path);
        if (question != std::string::npos) context.args = to.substr(question + 1);
        continue;
      }
      if (location.proxy) return proxied(location, context, std::move(d), merge, result.rewritten);
      return answer(std::move(d), location.source->status ? location.source->status : 404,
                    location.source->status ? "" : "the location answers nothing by itself");
    }
    return answer(std::move(d), 500, "rewrites go round");
  }

  Decision proxied(const CompiledLocation& location, Context& context, Decision d, bool merge,
                   bool rewritten) const {
    const CompiledProxy& proxy = *location.proxy;
    d.pool = texts.evaluate(proxy.pool, context);
    std::optional<std::string> whole;  // target given by variables: replaces path and arguments
    if (!proxy.pool.constant()) {
      if (const std::size_t slash = d.pool.find('/'); slash != std::string::npos) {
        whole = d.pool.substr(slash);
        d.pool.resize(slash);
      }
      if (!pools.contains(d.pool)) {
        d.pool.clear();
        return answer(std::move(d), 502, "variables name no pool");
      }
    }
    context.proxyHost = d.pool;
    d.headers.reserve(proxy.headers.size());
    for (const auto& [name, value] : proxy.headers)
      d.headers.emplace_back(name, cleanValue(texts.evaluate(value, context)));
    for (const auto& [limits, counted] :
         {std::pair(&location.rates, &d.rates), std::pair(&location.connections, &d.connections)})
      for (const CompiledLimit& limit : *limits)
        if (std::string key = texts.evaluate(limit.key, context); !key.empty())
          counted->push_back({limit.zone, std::move(key), limit.most});
    if (proxy.uri && !rewritten && !proxy.uri->constant()) whole = texts.evaluate(*proxy.uri, context);
    if (context.exhausted) return answer(std::move(d), 500, "an expression took too many steps");
    bool good = true;
    if (whole) {
      CanonicalPath taken = canonical(reencoded(*whole), merge);
      good = taken.good();
      d.path = std::move(taken.path);
      context.args = std::move(taken.query);
    } else if (proxy.uri && !rewritten) {
      d.path = proxy.uri->literal() + context.path.substr(location.source->pattern.size());
      good = normalise(d.path, merge) == PathFault::none;
    } else {
      d.path = std::move(context.path);
    }
    if (!good) return answer(std::move(d), 500, "what the worker would be asked for is no path");
    d.kind = Decision::Kind::proxy;
    d.status = 0;
    d.uri = encoded(d.path);
    if (!context.args.empty()) d.uri.append("?").append(safeUrl(context.args));
    d.className =
        location.source->className.empty() ? std::string(firstPart(d.path)) : location.source->className;
    return d;
  }

  // Encodes a target that variables gave. It may be encoded already or not: a '%' that begins no escape is
  // taken for a literal one.
  static std::string reencoded(std::string_view uri) {
    const auto hex = [&](std::size_t i) {
      return i < uri.size() &&
             std::string_view("0123456789abcdefABCDEF").find(uri[i]) != std::string_view::npos;
    };
    std::string whole;
    for (std::size_t i = 0; i < uri.size(); ++i) {
      whole += uri[i];
      if (uri[i] == '%' && !(hex(i + 1) && hex(i + 2))) whole += "25";
    }
    return safeUrl(whole);
  }

  // A line break that an expression captured would end the header, and the client's text behind it would
  // become a header of its own (header injection). Without control characters the value stays one line.
  static std::string cleanValue(std::string value) {
    std::erase_if(value,
                  [](char c) { return (static_cast<unsigned char>(c) < ' ' && c != '\t') || c == 0x7f; });
    return value;
  }
};

Router::Router(Routes routes) : compiled_(std::make_unique<Compiled>(std::move(routes))) {}
Router::~Router() = default;
Router::Router(Router&&) noexcept = default;
Router& Router::operator=(Router&&) noexcept = default;

Decision Router::route(const Request& request) const { return compiled_->route(request); }
const Routes& Router::routes() const { return compiled_->routes; }
std::uint16_t Router::defaultPort() const { return compiled_->defaultPort; }
std::vector<std::string> Router::warnings() const { return compiled_->warnings; }

NestingFault nestingFault(const Location& nested, const Location& parent) {
  using Modifier = Location::Modifier;
  const auto byExpression = [](const Location& l) {
    return l.modifier == Modifier::regex || l.modifier == Modifier::regexCaseless;
  };
  if (parent.modifier == Modifier::exact || parent.modifier == Modifier::named)
    return NestingFault::takesNone;
  if (nested.modifier == Modifier::named) return NestingFault::named;
  const bool outside = !byExpression(nested) && !byExpression(parent) &&
                       nested.pattern.compare(0, parent.pattern.size(), parent.pattern) != 0;
  return outside ? NestingFault::outside : NestingFault::none;
}

std::string textOf(NestingFault fault, const Location& nested, const Location& parent) {
  switch (fault) {
    case NestingFault::none: return {};
    case NestingFault::takesNone: return "no location can be inside '" + textOf(parent) + "'";
    case NestingFault::named: return "a named location can only be in a server";
    case NestingFault::outside: return "'" + textOf(nested) + "' lies outside '" + textOf(parent) + "'";
  }
  return {};
}

std::string textOf(const Location& location) {
  switch (location.modifier) {
    case Location::Modifier::prefix: return location.pattern;
    case Location::Modifier::exact: return "= " + location.pattern;
    case Location::Modifier::preferred: return "^~ " + location.pattern;
    case Location::Modifier::regex: return "~ " + location.pattern;
    case Location::Modifier::regexCaseless: return "~* " + location.pattern;
    case Location::Modifier::named: return "@" + location.pattern;
  }
  return {};
}

}  // namespace cairnjunction::route

// Locations and what serves them.
#include <algorithm>

#include "import/nginx/lowering.hpp"
#include "import/nginx/units.hpp"
#include "route/path.hpp"

namespace cairnjunction::import_nginx {
namespace {

constexpr std::uint64_t kBodyByDefault = 1 << 20;  // client_max_body_size, as documented
constexpr auto kReadByDefault = std::chrono::seconds(60);
constexpr auto kConnectByDefault = std::chrono::seconds(60);

// What nginx redirects to a location for, if only the last slash is missing.
bool passes(const Directive& d) {
  static constexpr std::string_view kPasses[] = {"proxy_pass", "fastcgi_pass",   "uwsgi_pass",
                                                 "scgi_pass",  "memcached_pass", "grpc_pass"};
  return std::find(std::begin(kPasses), std::end(kPasses), d.name) != std::end(kPasses);
}

}  // namespace

// "=/a", "~*x", "@name": in one word the sign may stand right before the rest.
Lowering::LocationWords Lowering::locationWords(const Directive& block) {
  const Argument& last = block.arguments.back();
  if (block.arguments.size() == 2) return {block.arguments[0].text, last.text, last.at};
  for (const std::string_view sign : {"=", "^~", "~*", "~", "@"})
    if (!last.quoted && last.text.rfind(sign, 0) == 0)
      return {std::string(sign), last.text.substr(sign.size()), last.at};
  return {{}, last.text, last.at};
}

void Lowering::locationOf(const Directive& block, const Inherited& outer, std::vector<route::Location>& into,
                          const route::Location* parent) {
  using Modifier = route::Location::Modifier;
  if (!block.block) throw BadSyntax(block.at, "'location' wants a block");
  wants(block, 1, 2);
  route::Location location;
  location.origin = origin(block);
  const auto [sign, pattern, at] = locationWords(block);
  if (sign.empty()) location.modifier = Modifier::prefix;
  else if (sign == "=") location.modifier = Modifier::exact;
  else if (sign == "^~") location.modifier = Modifier::preferred;
  else if (sign == "~") location.modifier = Modifier::regex;
  else if (sign == "~*") location.modifier = Modifier::regexCaseless;
  else if (sign == "@" && block.arguments.size() == 1) location.modifier = Modifier::named;
  else throw BadSyntax(block.arguments[0].at, "'" + sign + "' is no modifier of location");
  location.pattern = pattern;
  const bool byRegex = location.modifier == Modifier::regex || location.modifier == Modifier::regexCaseless;
  if (byRegex) regex(pattern, location.modifier == Modifier::regexCaseless, at);
  if (parent) {
    const route::NestingFault fault = route::nestingFault(location, *parent);
    if (fault != route::NestingFault::none)
      throw BadSyntax(fault == route::NestingFault::outside ? at : block.at,
                      route::textOf(fault, location, *parent));
  }
  Inherited scope = outer;
  inherit(block.inner, scope, Level::location);
  std::string poison, handler;
  carried(block);
  for (const Directive& d : block.inner) {
    const DirectiveRow* row = findRow(d.name);
    if (row && row->treatment == Treatment::handler) handler = d.name;
    if (passes(d)) location.slashRedirect = true;
    if (rewriting(d)) step(d, location.steps, poison);
    else if (d.name == "proxy_pass") proxyPass(d, location, handler);
    else if (d.name == "try_files") tryFiles(d, location);
    else if (d.name == "internal") {
      wants(d, 0, 0);
      location.internal = true;
      carried(d);
    } else if (d.name == "http" || d.name == "server" || d.name == "upstream" || d.name == "map" ||
               d.name == "listen" || d.name == "server_name" || d.name == "merge_slashes" ||
               d.name == "limit_req_zone" || d.name == "limit_conn_zone")
      notHere(d);
  }
  if (!poison.empty()) {
    location.steps = {};
    handler = "a step that is not understood";
  }
  finish(block, scope, handler, location);
  for (const Directive& d : block.inner)
    if (d.name == "location") locationOf(d, scope, location.nested, &location);
  into.push_back(std::move(location));
}

// Applies the level's own and inherited settings, and decides whether the location can be served.
void Lowering::finish(const Directive& block, const Inherited& scope, const std::string& handler,
                      route::Location& location) {
  std::string refused;
  if (!scope.guards.empty()) refused = "'" + scope.guards.front() + "' is left out";
  if (!handler.empty()) refused = handler + " is left out";
  if (location.proxy && handler.empty() && scope.guards.empty() && !scope.denied)
    location.slashRedirect = false;
  if (scope.denied || !refused.empty()) {
    location.proxy.reset();
    location.fallback.clear();
    location.status = refused.empty() ? 403 : 501;
    if (!refused.empty()) difference(block, "answers 501: " + refused);
    return;
  }
  const bool answers = std::any_of(location.steps.begin(), location.steps.end(),
                                   [](const route::Step& s) { return s.kind == route::Step::Kind::answer; });
  if (!location.proxy && location.fallback.empty() && !answers)
    difference(block, "nothing in it passes a request on: nginx would serve files, and there are none: 404");
  if (!location.proxy) return;
  route::Proxy& proxy = *location.proxy;
  if (scope.headers) proxy.headers = *scope.headers;
  const bool host = std::any_of(proxy.headers.begin(), proxy.headers.end(),
                                [](const auto& header) { return route::lower(header.first) == "host"; });
  if (!host) proxy.headers.insert(proxy.headers.begin(), {"Host", "$proxy_host"});
  proxy.connectTimeout = scope.connectTimeout.value_or(kConnectByDefault);
  proxy.timeout = scope.readTimeout.value_or(kReadByDefault);
  if (scope.triesTimeout && scope.triesTimeout->count() > 0)
    proxy.timeout = std::min(*proxy.timeout, *scope.triesTimeout);
  if (proxy.timeout->count() == 0) proxy.timeout.reset();
  if (proxy.connectTimeout->count() == 0) proxy.connectTimeout.reset();
  if (scope.retriesOff) proxy.attempts = 1;
  else if (scope.tries) proxy.attempts = *scope.tries;
  location.bodyMost = scope.bodyMost.value_or(kBodyByDefault);
  if (scope.rates && !scope.rateDry) location.rates = *scope.rates;
  if (scope.connections && !scope.connectionDry) location.connections = *scope.connections;
  location.rateStatus = scope.rateStatus;
  location.connectionStatus = scope.connectionStatus;
}

void Lowering::proxyPass(const Directive& d, route::Location& location, std::string& handler) {
  using Modifier = route::Location::Modifier;
  wants(d, 1, 1);
  const Argument& to = d.arguments[0];
  std::string rest = to.text;
  const auto cannot = [&](const std::string& why) {
    handler = "proxy_pass";
    leftOut(d, why + "; the location answers 501");
  };
  const bool variables = rest.find('$') != std::string::npos;
  if (rest.rfind("https://", 0) == 0) return cannot("workers are not spoken to by TLS");
  if (rest.rfind("http://", 0) != 0) {
    if (variables) return cannot("the scheme is not known before the request");
    throw BadSyntax(to.at, "'" + rest + "' is no URL of http or https");
  }
  rest.erase(0, 7);
  if (rest.rfind("unix:", 0) == 0) return cannot("workers are not spoken to by Unix sockets");
  if (const std::string why = unknownIn(rest, to.at); !why.empty()) return cannot(why);
  route::Proxy& proxy = location.proxy.emplace();
  const std::size_t slash = rest.find('/'), dollar = rest.find('$');
  if (dollar < slash) {  // the pool itself, or what follows it with no '/' between
    proxy.pool = rest;
    return difference(d, "what the variables give must name an upstream of the file; others get 502");
  }
  const std::string authority = rest.substr(0, slash);
  if (authority.empty()) throw BadSyntax(to.at, "no host in '" + to.text + "'");
  proxy.pool = pools_.contains(authority) ? authority : implicitPool(d, authority);
  std::string why;
  if (slash != std::string::npos) {
    const std::string uri = rest.substr(slash);
    const bool byName = location.modifier == Modifier::prefix || location.modifier == Modifier::exact ||
                        location.modifier == Modifier::preferred;
    if (!variables && !byName)
      throw BadSyntax(to.at,
                      "proxy_pass can have no path in a location by expression, in a named one or in 'if'");
    if (!variables && uri.find_first_of("?#") != std::string::npos)
      return cannot("a fixed path with arguments is joined with the request's by no rule that is documented");
    if (!variables) {
      const route::CanonicalPath path = route::canonical(uri, false);
      if (!path.good()) return cannot("its path is none: " + std::string(nameOf(path.fault)));
      proxy.uri = path.path;
    } else {
      proxy.uri = uri;
    }
  }
  why.empty() ? carried(d) : difference(d, why);
}

// A host that is not an upstream becomes a pool with that one server.
std::string Lowering::implicitPool(const Directive& d, const std::string& authority) {
  const std::size_t colon = authority.rfind(':');
  const bool port = colon != std::string::npos && authority.find(']', colon) == std::string::npos;
  if (port && pools_.contains(authority.substr(0, colon)))
    throw BadSyntax(d.arguments[0].at, "the upstream '" + authority.substr(0, colon) + "' may have no port");
  if (port) {
    const auto number = numberOf(std::string_view(authority).substr(colon + 1));
    if (!number || *number < 1 || *number > 65535) throw BadSyntax(d.arguments[0].at, "no port in the URL");
  }
  route::Pool pool;
  pool.name = authority;
  pool.origin = origin(d);
  pool.servers.push_back({port ? authority : authority + ":80"});
  pools_.insert(authority);
  routes_.pools.push_back(std::move(pool));
  return authority;
}

void Lowering::tryFiles(const Directive& d, route::Location& location) {
  wants(d, 2, kArgumentsMost);
  const Argument& last = d.arguments.back();
  if (const std::string why = unknownIn(last.text, last.at); !why.empty()) {
    location.status = 501;
    return leftOut(d, why + "; the location answers 501");
  }
  if (!last.text.empty() && last.text[0] == '=') {
    const auto status = numberOf(std::string_view(last.text).substr(1));
    if (!status || *status < 100 || *status > 599) throw BadSyntax(last.at, "no status behind '='");
  }
  location.fallback = last.text;
  difference(d, "there are no files here: always '" + last.text + "'");
}

}  // namespace cairnjunction::import_nginx

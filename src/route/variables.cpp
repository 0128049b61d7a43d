// Texts with variables, compiled once and evaluated for a request.
#include "route/variables.hpp"

#include <algorithm>
#include <utility>

#include "route/names.hpp"
#include "route/path.hpp"

namespace cairnjunction::route {
namespace {

bool nameChar(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '_';
}

struct Piece {
  bool variable = false;
  std::string_view text;
};

// Splits at variables. Throws BadText for a '$' with no name behind it.
std::vector<Piece> pieces(std::string_view text) {
  std::vector<Piece> out;
  std::size_t from = 0;
  for (std::size_t at = text.find('$'); at != std::string_view::npos; at = text.find('$', from)) {
    if (at > from) out.push_back({false, text.substr(from, at - from)});
    std::size_t begin = at + 1, end = begin;
    if (begin < text.size() && text[begin] == '{') {
      ++begin;
      end = text.find('}', begin);
      if (end == std::string_view::npos) throw BadText("'${' without '}'");
      out.push_back({true, text.substr(begin, end - begin)});
      from = end + 1;
    } else {
      // "$1" is one digit, as in expressions' replacements: "$10" is "$1" and "0".
      if (end < text.size() && text[end] >= '1' && text[end] <= '9') ++end;
      else
        while (end < text.size() && nameChar(text[end])) ++end;
      out.push_back({true, text.substr(begin, end - begin)});
      from = end;
    }
    if (out.back().text.empty() || !std::all_of(out.back().text.begin(), out.back().text.end(), nameChar))
      throw BadText("'$' with no name of a variable behind it");
  }
  if (from < text.size()) out.push_back({false, text.substr(from)});
  return out;
}

// "user_agent" for the header User-Agent: names of variables have no dash.
std::string headerName(std::string_view name) {
  std::string out(name);
  std::replace(out.begin(), out.end(), '_', '-');
  return out;
}

}  // namespace

struct Texts::CompiledMap {
  Text source, otherwise;
  std::unordered_map<std::string, Text> exact;  // in small letters
  HostPatterns hosts;
  std::vector<Text> hostValues;
  std::vector<std::pair<Regex, Text>> expressions;
  std::vector<std::vector<std::pair<std::size_t, std::size_t>>> named;
  bool hostnames = false;
};

Texts::Texts() = default;
Texts::~Texts() = default;
Texts::Texts(Texts&&) noexcept = default;
Texts& Texts::operator=(Texts&&) noexcept = default;

std::string_view cookie(std::string_view header, std::string_view name) {
  while (!header.empty()) {
    const std::size_t end = std::min(header.find(';'), header.size());
    std::string_view one = header.substr(0, end);
    header.remove_prefix(std::min(end + 1, header.size()));
    one.remove_prefix(std::min(one.find_first_not_of(' '), one.size()));
    if (one.size() > name.size() && one[name.size()] == '=' && one.substr(0, name.size()) == name)
      return one.substr(name.size() + 1);
  }
  return {};
}

std::string_view argument(std::string_view query, std::string_view name) {
  while (!query.empty()) {
    const std::size_t end = std::min(query.find('&'), query.size());
    const std::string_view one = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    if (one.size() > name.size() && one[name.size()] == '=' && sameText(one.substr(0, name.size()), name))
      return one.substr(name.size() + 1);
  }
  return {};
}

std::vector<std::string> variablesIn(std::string_view text) {
  std::vector<std::string> out;
  for (const Piece& piece : pieces(text))
    if (piece.variable) out.emplace_back(piece.text);
  return out;
}

void Texts::addMaps(const std::vector<Map>& maps) {
  for (const Map& map : maps) {
    if (!mapOf_.emplace(map.variable, maps_.size()).second)
      throw BadText("the variable $" + map.variable + " is defined by two maps");
    maps_.push_back(std::make_unique<CompiledMap>());
  }
  // Groups' names first: values of any map may use them.
  for (std::size_t i = 0; i < maps.size(); ++i)
    for (const Map::Entry& entry : maps[i].entries)
      if (entry.kind == Map::Entry::Kind::regex) {
        Regex regex(entry.pattern, entry.caseless);
        maps_[i]->named.push_back(namedSlots(regex));
        maps_[i]->expressions.emplace_back(std::move(regex), Text{});
      }
  for (std::size_t i = 0; i < maps.size(); ++i) {
    const Map& map = maps[i];
    CompiledMap& to = *maps_[i];
    to.hostnames = map.hostnames;
    to.source = compile(map.source);
    to.otherwise = compile(map.otherwise);
    std::size_t expression = 0;
    for (const Map::Entry& entry : map.entries) {
      Text value = compile(entry.value);
      switch (entry.kind) {
        case Map::Entry::Kind::exact:
          if (!to.exact.emplace(lower(entry.pattern), std::move(value)).second)
            throw BadText("the map of $" + map.variable + " has '" + entry.pattern + "' twice");
          break;
        case Map::Entry::Kind::hostWildcard:
          to.hosts.add(entry.pattern, to.hostValues.size());
          to.hostValues.push_back(std::move(value));
          break;
        case Map::Entry::Kind::regex: to.expressions[expression++].second = std::move(value); break;
      }
    }
  }
}

std::size_t Texts::slot(std::string_view variable) {
  const auto known = slots_.find(variable);
  if (known != slots_.end()) return known->second;
  const std::size_t next = slots_.size();
  slots_.emplace(variable, next);
  return next;
}

std::vector<std::pair<std::size_t, std::size_t>> Texts::namedSlots(const Regex& regex) {
  std::vector<std::pair<std::size_t, std::size_t>> out;
  for (const auto& [name, group] : regex.names()) out.emplace_back(slot(name), group);
  return out;
}

bool Texts::partOf(std::string_view name, Text::Part& part) const {
  using Kind = Text::Kind;
  static constexpr std::pair<std::string_view, Kind> kPlain[] = {
      {"uri", Kind::uri},
      {"document_uri", Kind::uri},
      {"request_uri", Kind::requestUri},
      {"args", Kind::args},
      {"query_string", Kind::args},
      {"is_args", Kind::isArgs},
      {"host", Kind::host},
      {"scheme", Kind::scheme},
      {"server_name", Kind::serverName},
      {"server_port", Kind::serverPort},
      {"remote_addr", Kind::remote},
      {"binary_remote_addr", Kind::remote},
      {"request_method", Kind::method},
      {"proxy_add_x_forwarded_for", Kind::forwardedFor},
      {"proxy_host", Kind::proxyHost},
  };
  if (name.size() == 1 && name[0] >= '0' && name[0] <= '9') {
    part = {Kind::group, static_cast<std::size_t>(name[0] - '0'), {}};
    return true;
  }
  if (const auto set = slots_.find(name); set != slots_.end()) {
    part = {Kind::slot, set->second, {}};
    return true;
  }
  if (const auto map = mapOf_.find(name); map != mapOf_.end()) {
    part = {Kind::map, map->second, {}};
    return true;
  }
  for (const auto& [plain, kind] : kPlain)
    if (plain == name) {
      part = {kind, 0, {}};
      return true;
    }
  static constexpr std::pair<std::string_view, Kind> kPrefixed[] = {
      {"http_", Kind::header}, {"arg_", Kind::arg}, {"cookie_", Kind::cookie}};
  for (const auto& [prefix, kind] : kPrefixed)
    if (name.size() > prefix.size() && name.substr(0, prefix.size()) == prefix) {
      const std::string_view rest = name.substr(prefix.size());
      part = {kind, 0, kind == Kind::header ? headerName(rest) : std::string(rest)};
      return true;
    }
  return false;
}

bool Texts::known(std::string_view variable) const {
  Text::Part part;
  return partOf(variable, part);
}

Text Texts::compile(std::string_view text) const {
  Text out;
  for (const Piece& piece : pieces(text)) {
    if (!piece.variable) {
      out.parts_.push_back({Text::Kind::literal, 0, std::string(piece.text)});
      continue;
    }
    Text::Part part;
    if (!partOf(piece.text, part)) throw BadText("unknown variable $" + std::string(piece.text));
    out.parts_.push_back(std::move(part));
  }
  if (out.parts_.size() == 1 && out.parts_[0].kind == Text::Kind::literal) {
    out.literal_ = std::move(out.parts_[0].text);
    out.parts_.clear();
  }
  return out;
}

std::string Texts::evaluate(const Text& text, Context& context) const {
  if (text.constant()) return text.literal_;
  std::string out;
  for (const Text::Part& part : text.parts_) {
    append(part, context, out);
    if (out.size() > kTextMost) {
      context.exhausted = true;
      return {};
    }
  }
  return out;
}

void Texts::take(const Captures& captures, const std::vector<std::pair<std::size_t, std::size_t>>& named,
                 Context& context) {
  context.groups.assign(captures.begin(), captures.end());
  for (const auto& [slot, group] : named) context.variables[slot] = context.groups[group];
}

std::string Texts::mapped(const CompiledMap& map, Context& context) const {
  if (context.mapDepth >= kMapDepthMost) {  // one that names itself
    context.exhausted = true;
    return {};
  }
  ++context.mapDepth;
  const Text* value = &map.otherwise;
  std::string source = evaluate(map.source, context);
  std::string small = lower(source);
  if (map.hostnames && !small.empty() && small.back() == '.') small.pop_back();
  if (const auto exact = map.exact.find(small); exact != map.exact.end()) {
    value = &exact->second;
  } else if (const auto host = map.hosts.find(small); map.hostnames && host) {
    value = &map.hostValues[*host];
  } else {
    Captures captures;
    for (std::size_t i = 0; i < map.expressions.size(); ++i) {
      const Regex::Result result = map.expressions[i].first.match(source, &captures);
      if (result == Regex::Result::exhausted) context.exhausted = true;
      if (result != Regex::Result::matched) continue;
      take(captures, map.named[i], context);
      value = &map.expressions[i].second;
      break;
    }
  }
  std::string out = evaluate(*value, context);
  --context.mapDepth;
  return out;
}

void Texts::append(const Text::Part& part, Context& context, std::string& into) const {
  using Kind = Text::Kind;
  const Request& request = *context.request;
  const auto header = [&](std::string_view name) {
    return request.headers ? request.headers->value(name) : std::string();
  };
  switch (part.kind) {
    case Kind::literal: into += part.text; break;
    case Kind::group:
      if (part.index < context.groups.size()) into += context.groups[part.index];
      break;
    case Kind::slot: into += context.variables[part.index]; break;
    case Kind::map: into += mapped(*maps_[part.index], context); break;
    case Kind::uri: into += context.path; break;
    case Kind::requestUri: into += request.target; break;
    case Kind::args: into += context.args; break;
    case Kind::isArgs: into += context.args.empty() ? "" : "?"; break;
    case Kind::arg: into += argument(context.args, part.text); break;
    case Kind::host:
      into += context.host.empty() ? context.serverName : std::string_view(context.host);
      break;
    case Kind::header: into += part.text == "host" ? std::string(request.host) : header(part.text); break;
    case Kind::cookie: into += cookie(header("Cookie"), part.text); break;
    case Kind::scheme: into += request.scheme; break;
    case Kind::serverName: into += context.serverName; break;
    case Kind::serverPort: into += std::to_string(context.serverPort); break;
    case Kind::remote: into += request.remote; break;
    case Kind::method: into += request.method; break;
    case Kind::forwardedFor: {
      const std::string before = header("X-Forwarded-For");
      into.append(before).append(before.empty() ? "" : ", ").append(request.remote);
      break;
    }
    case Kind::proxyHost: into += context.proxyHost; break;
  }
}

}  // namespace cairnjunction::route

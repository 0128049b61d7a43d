#include "sim/wire_line.hpp"

#include <algorithm>

namespace cairnjunction::sim {
namespace {

constexpr std::size_t kIndexMost = 1000;  // of classes and tenants

}  // namespace

std::string_view nextPart(std::string_view& rest) {
  const std::size_t end = rest.find(' ');
  const std::string_view part = rest.substr(0, end);
  rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
  return part;
}

std::optional<Pair> nextPair(std::string_view& rest) {
  while (!rest.empty()) {
    const std::string_view part = nextPart(rest);
    if (part.empty()) continue;
    const std::size_t equals = part.find('=');
    if (equals == std::string_view::npos) throw BadLine("no '=' in '" + std::string(part) + "'");
    return Pair{part.substr(0, equals), part.substr(equals + 1)};
  }
  return std::nullopt;
}

std::optional<IndexedName> indexedName(std::string_view path, std::string_view head) {
  if (!path.starts_with(head) || path.size() <= head.size() || path[head.size()] != '.') return std::nullopt;
  path.remove_prefix(head.size() + 1);
  const std::size_t dot = path.find('.');
  if (dot == std::string_view::npos) return std::nullopt;
  IndexedName name;
  const auto [stop, error] = std::from_chars(path.data(), path.data() + dot, name.index);
  if (error != std::errc{} || stop != path.data() + dot || name.index > kIndexMost) return std::nullopt;
  name.field = path.substr(dot + 1);
  return name;
}

policy::Duration parseDuration(const Pair& pair) { return policy::Duration(parseNumber<std::int64_t>(pair)); }

bool parseBool(const Pair& pair) {
  if (pair.value == "1" || pair.value == "true") return true;
  if (pair.value == "0" || pair.value == "false") return false;
  throw BadLine("'" + std::string(pair.value) + "' is no bool (" + std::string(pair.name) + ")");
}

std::uint64_t parseHex(const Pair& pair) {
  std::uint64_t number = 0;
  const char* const end = pair.value.data() + pair.value.size();
  const auto [stop, error] = std::from_chars(pair.value.data(), end, number, 16);
  if (error != std::errc{} || stop != end) throw BadLine("bad " + std::string(pair.name));
  return number;
}

std::vector<std::string> parseNames(std::string_view list) {
  std::vector<std::string> names;
  while (!list.empty()) {
    const std::size_t end = std::min(list.find(','), list.size());
    if (end > 0) names.emplace_back(list.substr(0, end));
    list.remove_prefix(std::min(end + 1, list.size()));
  }
  return names;
}

}  // namespace cairnjunction::sim

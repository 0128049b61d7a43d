// Reading of the wire's lines: a message's name, then name=value pairs, all separated by a space.
#pragma once

#include <charconv>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "cairnjunction/time.hpp"

namespace cairnjunction::sim {

// A line that cannot be read; says what was found.
class BadLine : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Views into the line; valid as long as that is.
struct Pair {
  std::string_view name;
  std::string_view value;
};

// Takes the next part off the front of `rest`.
std::string_view nextPart(std::string_view& rest);

// Takes the next pair off the front of `rest`; nullopt at the end of the line. Throws BadLine for a part that
// is none.
std::optional<Pair> nextPair(std::string_view& rest);

// A path such as "tenants.3.name", taken apart.
struct IndexedName {
  std::size_t index = 0;
  std::string_view field;
};

// nullopt if the path has another head, or an index that is none or above 1000.
std::optional<IndexedName> indexedName(std::string_view path, std::string_view head);

// The pair's value as a number. Throws BadLine if it is none.
template <class Number>
Number parseNumber(const Pair& pair) {
  Number number{};
  const char* const end = pair.value.data() + pair.value.size();
  const auto [stop, error] = std::from_chars(pair.value.data(), end, number);
  if (error != std::errc{} || stop != end)
    throw BadLine("'" + std::string(pair.value) + "' is no number (" + std::string(pair.name) + ")");
  return number;
}

// The pair's value in nanoseconds. Throws BadLine.
policy::Duration parseDuration(const Pair& pair);

// The pair's value: 1, true, 0 or false. Throws BadLine.
bool parseBool(const Pair& pair);

// The pair's value as a hexadecimal number. Throws BadLine.
std::uint64_t parseHex(const Pair& pair);

// A comma-separated list; empty names are skipped.
std::vector<std::string> parseNames(std::string_view list);

}  // namespace cairnjunction::sim

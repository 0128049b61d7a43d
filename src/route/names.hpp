// Matches host names against patterns, exact or with a wildcard at either end. Regular expressions are the
// caller's.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace cairnjunction::route {

std::string lower(std::string_view text);               // ASCII letters only
bool sameText(std::string_view a, std::string_view b);  // in any case of ASCII letters
std::string hostOf(std::string_view authority);         // in small letters, without port and last dot

// Whether `authority` can be a Host's value (RFC 9110, 7.2; RFC 3986, 3.2.2): host and perhaps a port, no
// user.
bool goodAuthority(std::string_view authority);

// Patterns: "a.b" exact; "*.a.b" any name that ends so, with at least one label more; ".a.b" both; "a.b.*"
// any name that begins so. An exact one goes before all, then the longest with the star in front, then the
// longest with it behind.
class HostPatterns {
 public:
  enum class Kind { exact, front, behind, both, bad };
  static Kind kindOf(std::string_view pattern);

  // False if the same was added before (the first stays) or the pattern is bad.
  bool add(std::string_view pattern, std::size_t value);
  std::optional<std::size_t> find(std::string_view host) const;  // in small letters, without port
  bool empty() const { return exact_.empty() && front_.empty() && behind_.empty(); }

 private:
  struct Hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
  };
  using Table = std::unordered_map<std::string, std::size_t, Hash, std::equal_to<>>;
  Table exact_, front_, behind_;  // front: "a.b" of "*.a.b"
};

}  // namespace cairnjunction::route

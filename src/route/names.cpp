// Matches host names against patterns.
#include "route/names.hpp"

#include <algorithm>

namespace cairnjunction::route {
namespace {

char small(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }

}  // namespace

std::string lower(std::string_view text) {
  std::string out(text);
  std::transform(out.begin(), out.end(), out.begin(), small);
  return out;
}

bool sameText(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) { return small(x) == small(y); });
}

bool goodAuthority(std::string_view authority) {
  if (authority.empty()) return true;  // an empty Host is valid (RFC 9112, 3.2)
  std::string_view port;
  if (authority.front() == '[') {
    const std::size_t end = authority.find(']');
    if (end == std::string_view::npos || end < 3) return false;
    for (const char c : authority.substr(1, end - 1))
      if (!(c >= '0' && c <= '9') && !(small(c) >= 'a' && small(c) <= 'f') && c != ':' && c != '.')
        return false;
    port = authority.substr(end + 1);
    if (port.empty()) return true;
    if (port.front() != ':') return false;
  } else {
    const std::size_t colon = std::min(authority.find(':'), authority.size());
    if (colon == 0) return false;
    constexpr std::string_view marks = "-._~!$&'()*+,;=";
    for (const char c : authority.substr(0, colon))
      if (!(c >= '0' && c <= '9') && !(small(c) >= 'a' && small(c) <= 'z') &&
          marks.find(c) == std::string_view::npos)
        return false;
    if (colon == authority.size()) return true;
    port = authority.substr(colon);
  }
  port.remove_prefix(1);
  return port.size() <= 5 &&
         std::all_of(port.begin(), port.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::string hostOf(std::string_view authority) {
  std::size_t end;
  if (!authority.empty() && authority.front() == '[') {
    end = authority.find(']');
    end = end == std::string_view::npos ? authority.size() : end + 1;
  } else {
    end = std::min(authority.find(':'), authority.size());
  }
  std::string host = lower(authority.substr(0, end));
  if (!host.empty() && host.back() == '.') host.pop_back();
  return host;
}

HostPatterns::Kind HostPatterns::kindOf(std::string_view pattern) {
  const bool star = pattern.find('*') != std::string_view::npos;
  if (pattern.size() > 1 && pattern.front() == '.' && !star) return Kind::both;
  if (!star) return Kind::exact;
  const bool one = pattern.find('*') == pattern.rfind('*');
  if (one && pattern.size() > 2 && pattern.substr(0, 2) == "*.") return Kind::front;
  if (one && pattern.size() > 2 && pattern.substr(pattern.size() - 2) == ".*") return Kind::behind;
  return Kind::bad;
}

bool HostPatterns::add(std::string_view pattern, std::size_t value) {
  const std::string text = lower(pattern);
  switch (kindOf(text)) {
    case Kind::exact: return exact_.emplace(text, value).second;
    case Kind::front: return front_.emplace(text.substr(2), value).second;
    case Kind::behind: return behind_.emplace(text.substr(0, text.size() - 2), value).second;
    case Kind::both: {
      const bool exact = exact_.emplace(text.substr(1), value).second;
      return front_.emplace(text.substr(1), value).second && exact;
    }
    case Kind::bad: return false;
  }
  return false;
}

std::optional<std::size_t> HostPatterns::find(std::string_view host) const {
  if (const auto it = exact_.find(host); it != exact_.end()) return it->second;
  if (!front_.empty())  // the longest first: with the fewest labels taken off
    for (std::size_t dot = host.find('.'); dot != std::string_view::npos; dot = host.find('.', dot + 1))
      if (dot > 0)
        if (const auto it = front_.find(host.substr(dot + 1)); it != front_.end()) return it->second;
  if (!behind_.empty())
    for (std::size_t dot = host.rfind('.'); dot != std::string_view::npos && dot > 0;
         dot = host.rfind('.', dot - 1)) {
      if (const auto it = behind_.find(host.substr(0, dot)); it != behind_.end()) return it->second;
      if (dot == 0) break;
    }
  return std::nullopt;
}

}  // namespace cairnjunction::route

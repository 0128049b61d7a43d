// The one canonical form of a request's path.
#include "route/path.hpp"

#include <algorithm>
#include <array>

namespace cairnjunction::route {
namespace {

int hexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

bool control(unsigned char c) { return c < 0x20 || c == 0x7f; }

// May stand in a path as it is: unreserved, sub-delims, ':', '@' and the separator.
constexpr std::array<bool, 256> plainTable() {
  std::array<bool, 256> table{};
  for (int c = 0; c < 256; ++c)
    table[static_cast<std::size_t>(c)] =
        (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  for (const char c : std::string_view("-._~!$&'()*+,;=:@/")) table[static_cast<unsigned char>(c)] = true;
  return table;
}
constexpr std::array<bool, 256> kPlain = plainTable();

// The common case: nothing to decode, no dot segment, no repeated slash.
bool canonicalAlready(std::string_view path) {
  char before = 0;
  for (const char c : path) {
    if (c == '.' && before == '/') return false;
    if (c == '/' && before == '/') return false;
    if (!kPlain[static_cast<unsigned char>(c)]) return false;
    before = c;
  }
  return true;
}

bool escapeLeft(std::string_view path) {
  for (std::size_t at = path.find('%'); at != std::string_view::npos; at = path.find('%', at + 1))
    if (at + 2 < path.size() && hexDigit(path[at + 1]) >= 0 && hexDigit(path[at + 2]) >= 0) return true;
  return false;
}

PathFault decode(std::string_view raw, std::string& into) {
  into.reserve(raw.size());
  for (std::size_t i = 0; i < raw.size(); ++i) {
    const char c = raw[i];
    if (control(static_cast<unsigned char>(c)) || c == ' ') return PathFault::control;
    if (c == '\\') return PathFault::backslash;
    if (c != '%') {
      into += c;
      continue;
    }
    if (i + 2 >= raw.size()) return PathFault::badEscape;
    const int high = hexDigit(raw[i + 1]), low = hexDigit(raw[i + 2]);
    if (high < 0 || low < 0) return PathFault::badEscape;
    const char byte = static_cast<char>(high * 16 + low);
    if (control(static_cast<unsigned char>(byte))) return PathFault::control;
    if (byte == '/' || byte == '\\') return PathFault::encodedSlash;
    into += byte;
    i += 2;
  }
  return escapeLeft(into) ? PathFault::encodedTwice : PathFault::none;
}

// RFC 3986, 5.2.4, for a decoded path; in place, since what comes out is never longer.
PathFault removeDots(std::string& path, bool merge) {
  std::string out;
  out.reserve(path.size());
  std::size_t at = 0;
  while (at < path.size()) {  // at a '/'
    const std::size_t end = std::min(path.find('/', at + 1), path.size());
    const std::string_view segment = std::string_view(path).substr(at + 1, end - at - 1);
    const bool last = end == path.size();
    if (segment == "..") {
      if (out.empty()) return PathFault::aboveRoot;
      out.resize(out.rfind('/'));
      if (last) out += '/';
    } else if (segment == ".") {
      if (last) out += '/';
    } else if (segment.empty() && merge) {
      if (last && (out.empty() || out.back() != '/')) out += '/';
    } else {
      out += '/';
      out += segment;
    }
    at = end;
  }
  if (out.empty()) out = "/";
  path = std::move(out);
  return PathFault::none;
}

template <class Plain>
std::string escaped(std::string_view text, Plain plain) {
  constexpr char hex[] = "0123456789ABCDEF";
  const auto odd =
      std::find_if(text.begin(), text.end(), [&](char c) { return !plain(static_cast<unsigned char>(c)); });
  std::string out(text.begin(), odd);
  if (odd == text.end()) return out;
  for (const char c : text.substr(out.size())) {
    const auto byte = static_cast<unsigned char>(c);
    if (plain(byte)) out += c;
    else out.append({'%', hex[byte >> 4], hex[byte & 15]});
  }
  return out;
}

CanonicalPath bad(PathFault fault) {
  CanonicalPath result;
  result.fault = fault;
  return result;
}

}  // namespace

std::string_view nameOf(PathFault fault) {
  switch (fault) {
    case PathFault::none: return "nothing";
    case PathFault::notAbsolute: return "a path that does not begin with '/'";
    case PathFault::badEscape: return "'%' without two hexadecimal digits";
    case PathFault::control: return "a control character or a space";
    case PathFault::encodedSlash: return "an encoded slash or backslash";
    case PathFault::backslash: return "a backslash";
    case PathFault::fragment: return "a fragment";
    case PathFault::aboveRoot: return "'..' above the root";
    case PathFault::encodedTwice: return "what is encoded twice";
    case PathFault::tooLong: return "a path that is too long";
  }
  return "";
}

CanonicalPath canonical(std::string_view target, bool mergeSlashes) {
  if (target.empty() || target.front() != '/') return bad(PathFault::notAbsolute);
  const std::size_t question = target.find('?');
  const std::string_view raw = target.substr(0, question);
  if (raw.size() > kPathMost) return bad(PathFault::tooLong);
  if (target.find('#') != std::string_view::npos) return bad(PathFault::fragment);
  CanonicalPath result;
  if (question != std::string_view::npos) {
    result.hasQuery = true;
    result.query = target.substr(question + 1);
    for (const char c : result.query)
      if (control(static_cast<unsigned char>(c)) || c == ' ') return bad(PathFault::control);
  }
  if (canonicalAlready(raw)) {
    result.path = raw;
    return result;
  }
  if (const PathFault fault = decode(raw, result.path); fault != PathFault::none) return bad(fault);
  if (const PathFault fault = removeDots(result.path, mergeSlashes); fault != PathFault::none)
    return bad(fault);
  return result;
}

bool isCanonical(std::string_view target) {
  const std::string_view path = target.substr(0, target.find('?'));
  return path.size() <= kPathMost && !path.empty() && path.front() == '/' && canonicalAlready(path) &&
         target.find('#') == std::string_view::npos;
}

PathFault normalise(std::string& path, bool mergeSlashes) {
  if (path.empty() || path.front() != '/') return PathFault::notAbsolute;
  if (path.size() > kPathMost) return PathFault::tooLong;
  if (canonicalAlready(path)) return PathFault::none;
  for (const char c : path) {
    if (control(static_cast<unsigned char>(c))) return PathFault::control;
    if (c == '\\') return PathFault::backslash;
  }
  if (escapeLeft(path)) return PathFault::encodedTwice;
  return removeDots(path, mergeSlashes);
}

std::string encoded(std::string_view path) {
  return escaped(path, [](unsigned char byte) { return kPlain[byte]; });
}

std::string safeUrl(std::string_view text) {
  return escaped(text, [](unsigned char byte) {
    return byte > ' ' && byte < 0x7f &&
           std::string_view("\"<>\\^`{|}").find(static_cast<char>(byte)) == std::string_view::npos;
  });
}

std::string_view firstPart(std::string_view path) {
  if (path.empty() || path.front() != '/') return {};
  path.remove_prefix(1);
  return path.substr(0, path.find('/'));
}

}  // namespace cairnjunction::route

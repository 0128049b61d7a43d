// The one canonical form of a request's path: what routes, names the class and goes to the worker.
//
// Decoded once (RFC 3986, 2.1), dot segments removed (5.2.4), slashes merged where asked for. A path that two
// readers could interpret differently is rejected, not repaired.
#pragma once

#include <string>
#include <string_view>

namespace cairnjunction::route {

// A longer path is rejected, since all of it is matched by locations and expressions. The frontend bounds
// heads to 16 KiB.
inline constexpr std::size_t kPathMost = 16 << 10;  // bytes

enum class PathFault {
  none,
  notAbsolute,   // does not begin with '/'
  badEscape,     // '%' without two hexadecimal digits
  control,       // a control character or a byte that may not stand in a request line, raw or encoded
  encodedSlash,  // %2f or %5c: a separator to one reader and a letter to another
  backslash,     // raw: some take it for '/'
  fragment,      // '#' (RFC 9112, 3.2: no part of a request's target)
  aboveRoot,     // ".." that climbs out
  encodedTwice,  // an escape is left after decoding: a reader that decodes twice sees another path
  tooLong
};

std::string_view nameOf(PathFault fault);  // for people: "an encoded slash"

struct CanonicalPath {
  PathFault fault = PathFault::none;
  std::string path;   // decoded; begins with '/'; empty with a fault
  std::string query;  // as it came, without '?'
  bool hasQuery = false;
  bool good() const { return fault == PathFault::none; }
};

// `target`: a request's target in origin form (RFC 9112, 3.2.1): path and query.
CanonicalPath canonical(std::string_view target, bool mergeSlashes = true);

// Whether a target's path is canonical as it stands, with nothing to decode: then it may go on as it is, and
// nothing needs to be copied.
bool isCanonical(std::string_view target);

// Makes a decoded path that was put together from parts canonical again, in place.
PathFault normalise(std::string& path, bool mergeSlashes);

// A URL, or a part of one, that was put together from parts: what no URL may hold (RFC 3986, 2: controls,
// spaces, quotes, angle brackets and bytes above 0x7e among them) is percent-encoded, and all else stays.
std::string safeUrl(std::string_view text);

// Writes a decoded path as it goes on the wire: every byte but those that may stand in a path by themselves
// (RFC 3986, 3.3: pchar and '/') is percent-encoded. canonical(encoded(p)).path == p for every canonical p.
std::string encoded(std::string_view path);

// The first part of a canonical path: "checkout" of "/checkout/7"; empty for "/".
std::string_view firstPart(std::string_view path);

}  // namespace cairnjunction::route

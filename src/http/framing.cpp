#include "http/framing.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace cairnjunction {
namespace {

constexpr std::size_t kLengthDigits = 18;  // more than any body, and no overflow

bool digits(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

bool token(std::string_view text) {
  constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           marks.find(c) != std::string_view::npos;
  });
}

bool same(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

bool version(std::string_view text) { return text == "HTTP/1.1" || text == "HTTP/1.0"; }

bool requestLine(std::string_view line) {  // "GET /path HTTP/1.1"
  const std::size_t method = line.find(' '), target = line.rfind(' ');
  if (method == std::string_view::npos || method == target) return false;
  const std::string_view path = line.substr(method + 1, target - method - 1);
  return token(line.substr(0, method)) && !path.empty() && path.front() == '/' &&
         std::all_of(path.begin(), path.end(), [](char c) { return c > ' ' && c < 0x7f; }) &&
         version(line.substr(target + 1));
}

bool statusLine(std::string_view line) {  // "HTTP/1.1 200 OK", the reason may be left out
  return line.size() >= 12 && version(line.substr(0, 8)) && line[8] == ' ' && digits(line.substr(9, 3)) &&
         (line.size() == 12 || line[12] == ' ');
}

}  // namespace

HeadScanner::State HeadScanner::scan(std::string_view received) {
  for (; at_ < received.size(); ++at_) {
    const char c = received[at_];
    const bool afterReturn = at_ > lineAt_ && received[at_ - 1] == '\r';
    if (afterReturn != (c == '\n')) return State::bad;  // a bare line feed or carriage return
    if (static_cast<unsigned char>(c) < ' ' && c != '\r' && c != '\n' && c != '\t') return State::bad;
    if (c != '\n') continue;
    const std::string_view line = received.substr(lineAt_, at_ - 1 - lineAt_);
    lineAt_ = at_ + 1;
    if (line.empty() && !first_) return length_ && coded_ ? State::bad : State::whole;
    if (!takeLine(line)) return State::bad;
  }
  return State::more;
}

bool HeadScanner::takeLine(std::string_view line) {
  if (!first_) return takeField(line);
  first_ = false;
  if (!(kind_ == Kind::request ? requestLine(line) : statusLine(line))) return false;
  old_ = line.find("HTTP/1.0") != std::string_view::npos;
  return true;
}

bool HeadScanner::takeField(std::string_view line) {
  const std::size_t colon = line.find(':');
  // No space is allowed in a name, so a folded line is rejected too.
  if (colon == std::string_view::npos || !token(line.substr(0, colon))) return false;
  ++fields_;
  const std::string_view name = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
  value = value.substr(0, value.find_last_not_of(" \t") + 1);
  if (same(name, "Content-Length")) {
    if (length_ || !digits(value) || value.size() > kLengthDigits) return false;
    length_ = true;
  } else if (same(name, "Transfer-Encoding")) {
    if (coded_ || old_ || !same(value, "chunked")) return false;
    coded_ = true;
  }
  return true;
}

}  // namespace cairnjunction

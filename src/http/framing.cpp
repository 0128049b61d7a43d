// Strict check of the head of an HTTP/1.x message (RFC 9112).
#include "http/framing.hpp"

#include <algorithm>
#include <boost/beast/core/string.hpp>

namespace cairnjunction {
namespace {

constexpr std::size_t kMaxLengthDigits = 18;  // longer than any body's length; fits into 64 bits

bool isDigits(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

bool isToken(std::string_view text) {
  constexpr std::string_view symbols = "!#$%&'*+-.^_`|~";
  return !text.empty() && std::all_of(text.begin(), text.end(), [&](char c) {
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           symbols.find(c) != std::string_view::npos;
  });
}

bool equalIgnoringCase(std::string_view a, std::string_view b) {
  return boost::beast::iequals({a.data(), a.size()}, {b.data(), b.size()});
}

bool isVersion(std::string_view text) { return text == "HTTP/1.1" || text == "HTTP/1.0"; }

bool isRequestLine(std::string_view line) {  // "GET /path HTTP/1.1"
  const std::size_t method = line.find(' '), target = line.rfind(' ');
  if (method == std::string_view::npos || method == target) return false;
  const std::string_view path = line.substr(method + 1, target - method - 1);
  return isToken(line.substr(0, method)) && !path.empty() && path.front() == '/' &&
         std::all_of(path.begin(), path.end(), [](char c) { return c > ' ' && c < 0x7f; }) &&
         isVersion(line.substr(target + 1));
}

bool isStatusLine(std::string_view line) {  // "HTTP/1.1 200 OK"; the reason phrase is optional
  return line.size() >= 12 && isVersion(line.substr(0, 8)) && line[8] == ' ' && isDigits(line.substr(9, 3)) &&
         (line.size() == 12 || line[12] == ' ');
}

}  // namespace

HeadScanner::State HeadScanner::scan(std::string_view received) {
  for (; scanned_ < received.size(); ++scanned_) {
    const char c = received[scanned_];
    const bool afterReturn = scanned_ > lineBegin_ && received[scanned_ - 1] == '\r';
    if (afterReturn != (c == '\n'))
      return State::bad;  // a line feed or carriage return that is not part of CR LF
    if (static_cast<unsigned char>(c) < ' ' && c != '\r' && c != '\n' && c != '\t') return State::bad;
    if (c != '\n') continue;
    const std::string_view line = received.substr(lineBegin_, scanned_ - 1 - lineBegin_);
    lineBegin_ = scanned_ + 1;
    if (line.empty() && !firstLinePending_)
      return hasLength_ && hasTransferCoding_ ? State::bad : State::whole;
    if (!checkLine(line)) return State::bad;
    if (fieldCount_ > kMaxHeaderFields) return State::tooManyFields;
  }
  return State::more;
}

bool HeadScanner::checkLine(std::string_view line) {
  if (!firstLinePending_) return checkField(line);
  firstLinePending_ = false;
  if (!(kind_ == Kind::request ? isRequestLine(line) : isStatusLine(line))) return false;
  isHttp10_ = line.find("HTTP/1.0") != std::string_view::npos;
  return true;
}

bool HeadScanner::checkField(std::string_view line) {
  const std::size_t colon = line.find(':');
  // A field name contains no space, so folded lines (RFC 9112, 5.2) are rejected too.
  if (colon == std::string_view::npos || !isToken(line.substr(0, colon))) return false;
  ++fieldCount_;
  const std::string_view name = line.substr(0, colon);
  std::string_view value = line.substr(colon + 1);
  value.remove_prefix(std::min(value.find_first_not_of(" \t"), value.size()));
  value = value.substr(0, value.find_last_not_of(" \t") + 1);
  if (equalIgnoringCase(name, "Content-Length")) {
    if (hasLength_ || !isDigits(value) || value.size() > kMaxLengthDigits) return false;
    hasLength_ = true;
  } else if (equalIgnoringCase(name, "Transfer-Encoding")) {
    if (hasTransferCoding_ || isHttp10_ || !equalIgnoringCase(value, "chunked")) return false;
    hasTransferCoding_ = true;
  }
  return true;
}

}  // namespace cairnjunction

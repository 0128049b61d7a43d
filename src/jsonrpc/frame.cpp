// Framing of JSON-RPC over TCP: reader for both forms, and writer.
#include "jsonrpc/frame.hpp"

#include <algorithm>
#include <charconv>

namespace cairnjunction::jsonrpc {
namespace {

bool blank(char c) { return c == ' ' || c == '\t' || c == '\r' || c == '\n'; }
bool letter(char c) { return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z'); }

bool sameName(std::string_view a, std::string_view lower) {
  return std::equal(a.begin(), a.end(), lower.begin(), lower.end(),
                    [](char x, char y) { return (x >= 'A' && x <= 'Z' ? x + 32 : x) == y; });
}

std::string_view trimmed(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
  return text;
}

}  // namespace

FrameReader::State FrameReader::next(std::string_view input, std::string_view& text) {
  taken_ = 0;
  if (form_ == Form::unknown) {
    if (input.empty()) return State::more;
    const char first = input.front();
    if (first == '{' || first == '[' || blank(first)) form_ = Form::lines;
    else if (letter(first)) form_ = Form::headers;
    else return fail("neither a JSON text nor a Content-Length header");
  }
  return form_ == Form::lines ? nextLine(input, text) : nextBody(input, text);
}

FrameReader::State FrameReader::nextLine(std::string_view input, std::string_view& text) {
  for (;;) {
    const std::string_view rest = input.substr(taken_);
    const std::size_t end = rest.find('\n', seen_);
    if (end == std::string_view::npos) {
      seen_ = rest.size();
      return rest.size() > most_ ? State::tooLarge : State::more;
    }
    if (end > most_) return State::tooLarge;
    seen_ = 0;
    taken_ += end + 1;
    text = rest.substr(0, end);
    while (!text.empty() && blank(text.back())) text.remove_suffix(1);
    while (!text.empty() && blank(text.front())) text.remove_prefix(1);
    if (!text.empty()) return State::frame;
  }
}

bool FrameReader::takeHeader(std::string_view line) {
  const std::size_t colon = line.find(':');
  if (colon == std::string_view::npos || colon == 0) return false;
  if (!sameName(line.substr(0, colon), "content-length"))
    return std::all_of(line.begin(), line.begin() + static_cast<std::ptrdiff_t>(colon),
                       [](char c) { return letter(c) || c == '-'; });
  const std::string_view value = trimmed(line.substr(colon + 1));
  // Of two Content-Length headers readers may use either, and would then disagree on where the next frame
  // begins. So a second one is an error, and so is a negative length.
  if (haveLength_ || value.empty()) return false;
  const auto [end, error] = std::from_chars(value.data(), value.data() + value.size(), length_);
  haveLength_ = error == std::errc{} && end == value.data() + value.size() && value.front() != '-';
  return haveLength_;
}

FrameReader::State FrameReader::nextBody(std::string_view input, std::string_view& text) {
  std::size_t at = 0;
  haveLength_ = false;
  for (;;) {
    const std::size_t end = input.find('\n', at);
    if (end == std::string_view::npos || end > kHeadMost)
      return input.size() > kHeadMost ? fail("headers too long") : State::more;
    std::string_view line = input.substr(at, end - at);
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    at = end + 1;
    if (line.empty()) break;
    if (!takeHeader(line)) return fail("a header that can't be read, or a length that is none");
  }
  if (!haveLength_) return fail("no Content-Length");
  if (length_ > most_) return State::tooLarge;
  if (input.size() - at < length_) return State::more;
  text = input.substr(at, length_);
  taken_ = at + length_;
  return State::frame;
}

void appendFrame(Form form, std::string_view text, std::string& out) {
  if (form == Form::headers) {
    out.append("Content-Length: ").append(std::to_string(text.size())).append("\r\n\r\n").append(text);
  } else {
    const std::size_t start = out.size();
    out.append(text);
    // A JSON text may span several lines, and the peer would read each line as a frame. In a valid text raw
    // line breaks are white space only, since strings escape them, so replacing them by spaces changes
    // nothing.
    std::replace_if(
        out.begin() + static_cast<std::ptrdiff_t>(start), out.end(),
        [](char c) { return c == '\n' || c == '\r'; }, ' ');
    out.push_back('\n');
  }
}

}  // namespace cairnjunction::jsonrpc

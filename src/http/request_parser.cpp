#include "http/request_parser.hpp"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <string>
#include <utility>

#include "http/framing.hpp"

namespace cairnjunction {

namespace http = boost::beast::http;

namespace {

// What the library and the allocator add to the text of each header field.
constexpr std::size_t kFieldOverheadBytes = 112;

}  // namespace

void RequestParser::on_request_impl(http::verb method, StringView methodText, StringView target, int version,
                                    ErrorCode&) {
  if (method == http::verb::unknown) request_.method_string(methodText);
  else request_.method(method);
  request_.target(target);
  request_.version(version);
  headBytes_ = methodText.size() + target.size() + kFieldOverheadBytes;
}

void RequestParser::on_response_impl(int, StringView, int, ErrorCode&) {}

// Trailer fields are dropped: a client could set fields there that the checks of the head have not covered.
void RequestParser::on_field_impl(http::field name, StringView nameText, StringView value, ErrorCode& ec) {
  if (headComplete_) {
    hasTooManyFields_ = ++trailerFields_ > kMaxHeaderFields;
    if (hasTooManyFields_) ec = http::error::header_limit;
    return;
  }
  request_.insert(name, nameText, value);
  headBytes_ += nameText.size() + value.size() + kFieldOverheadBytes;
}

void RequestParser::on_header_impl(ErrorCode&) { headComplete_ = true; }

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t>& contentLength, ErrorCode&) {
  announcedBytes_ = contentLength;
}

std::size_t RequestParser::on_body_impl(StringView bytes, ErrorCode&) {
  std::string& body = request_.body();
  growBody(body.size() + bytes.size());
  body.append(bytes.data(), bytes.size());
  return bytes.size();
}

void RequestParser::on_chunk_header_impl(std::uint64_t, StringView, ErrorCode&) {}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t, StringView bytes, ErrorCode& ec) {
  return on_body_impl(bytes, ec);
}

void RequestParser::on_finish_impl(ErrorCode&) {}

// The capacity doubles, as a string's own would, but not past the announced length. Memory that is only
// announced is not reserved.
void RequestParser::growBody(std::size_t neededBytes) {
  std::string& body = request_.body();
  if (neededBytes <= body.capacity()) return;
  std::size_t capacity = std::max(neededBytes, 2 * body.capacity());
  if (announcedBytes_ && *announcedBytes_ >= neededBytes)
    capacity = std::min(capacity, static_cast<std::size_t>(*announcedBytes_));
  std::string grown;
  grown.reserve(capacity);
  grown.append(body);
  body.swap(grown);
}

}  // namespace cairnjunction

// Parses one HTTP/1.1 request from a client, whose head HeadScanner has checked. Bounds the number of trailer
// fields and drops them, lets the body's buffer grow no further than its announced length, and tells what the
// request costs in memory.
#pragma once

#include <boost/beast/http/basic_parser.hpp>
#include <boost/optional/optional.hpp>
#include <cstddef>
#include <cstdint>
#include <string_view>

#include "common/memory_account.hpp"
#include "http/message.hpp"

namespace cairnjunction {

class RequestParser final : public boost::beast::http::basic_parser<true> {
 public:
  const HttpRequest& request() const { return request_; }
  // The parsed request; the parser must not be used any more.
  HttpRequest release() { return std::move(request_); }
  // Memory of the request, in bytes.
  std::size_t heldBytes() const { return headBytes_ + heapBytes(request_.body()); }
  // Whether put() has failed because of too many trailer fields.
  bool hasTooManyFields() const { return hasTooManyFields_; }

 private:
  using ErrorCode = boost::beast::error_code;
  using StringView = boost::beast::string_view;

  void on_request_impl(boost::beast::http::verb method, StringView methodText, StringView target, int version,
                       ErrorCode& ec) override;
  void on_response_impl(int code, StringView reason, int version, ErrorCode& ec) override;
  void on_field_impl(boost::beast::http::field name, StringView nameText, StringView value,
                     ErrorCode& ec) override;
  void on_header_impl(ErrorCode& ec) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& contentLength, ErrorCode& ec) override;
  std::size_t on_body_impl(StringView bytes, ErrorCode& ec) override;
  void on_chunk_header_impl(std::uint64_t size, StringView extensions, ErrorCode& ec) override;
  std::size_t on_chunk_body_impl(std::uint64_t remaining, StringView bytes, ErrorCode& ec) override;
  void on_finish_impl(ErrorCode& ec) override;

  void growBody(std::size_t neededBytes);

  HttpRequest request_;
  std::size_t headBytes_ = 0;  // memory of the head's fields
  std::size_t trailerFields_ = 0;
  boost::optional<std::uint64_t> announcedBytes_;  // of the body; none: chunked
  bool headComplete_ = false;
  bool hasTooManyFields_ = false;
};

}  // namespace cairnjunction

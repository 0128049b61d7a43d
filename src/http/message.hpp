// Converts calls and replies of the engine to and from HTTP/1.1 messages (RFC 9112).
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/call.hpp"

namespace cairnjunction {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

inline constexpr std::uint64_t kBodyMost = 32 << 20;  // largest body in bytes, of a request or a response
// A response whose body is larger than this is streamed.
inline constexpr std::uint64_t kMaxBufferedResponseBytes = 64 << 10;
inline constexpr std::uint32_t kHeaderLimit = 16 << 10;  // largest head of a message in bytes

// A response to a client.
struct HttpResponse {
  boost::beast::http::status status = boost::beast::http::status::ok;
  Fields fields;
  std::string body;
  std::shared_ptr<BodyStream> rest;     // streamed part of the body, after `body`; null: `body` is complete
  std::optional<std::uint64_t> length;  // with `rest`: bytes of both together, if known
};

// How the end of a response body is marked (RFC 9112, 6.3).
enum class Framing {
  length,  // by Content-Length
  chunks,  // by the chunked transfer coding
  close    // by the end of the connection
};

// The text of a response up to, but without, its `rest`. `keep`: the connection stays open after the
// response.
std::string responseText(const HttpResponse& response, bool keep, Framing framing);
// The text of one chunk (RFC 9112, 7.1). `bytes` must not be empty: an empty chunk ends the body.
std::string chunkText(std::string_view bytes);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

// The text of a call as an HTTP request to the endpoint at `address`. A small body is included; `body` is
// then empty. For a larger one `body` is set to the body, owned by the call, which the caller writes after
// the text. `timeRemaining` is sent as X-Deadline-Ms, in whole milliseconds and at least 1.
std::string requestText(const Call& call, const boost::asio::ip::tcp::endpoint& address,
                        policy::Duration timeRemaining, std::string_view& body);

// The client's request without hop-by-hop fields (RFC 9110, 7.6.1) and without those that requestText()
// writes itself: the call's id, key, deadline, length and host. Moves the body out of `request`. `replaced`:
// names of further fields to omit, since the caller adds its own.
using FieldNames = std::vector<std::string>;
Message messageOfRequest(HttpRequest& request, const FieldNames& replaced = {});

// A message with the header fields of an endpoint's response, without hop-by-hop fields and the load report.
Message messageOfResponse(const boost::beast::http::response_header<>& head);

}  // namespace cairnjunction

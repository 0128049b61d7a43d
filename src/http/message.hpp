// Converts the engine's calls and replies to and from HTTP/1.1 messages (RFC 9112).
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

inline constexpr std::uint64_t kBodyMost = 32 << 20;     // bytes, of a request or a response
inline constexpr std::uint64_t kHeldAnswer = 64 << 10;   // bytes: a larger response is streamed
inline constexpr std::uint32_t kHeaderLimit = 16 << 10;  // bytes, of a message's head

struct HttpAnswer {  // to a client
  boost::beast::http::status status = boost::beast::http::status::ok;
  Fields fields;
  std::string body;
  std::shared_ptr<BodyStream> rest;     // streamed part of the body; null: `body` is complete
  std::optional<std::uint64_t> length;  // with `rest`: of both together, if it is known
  bool fromHost = false;  // an endpoint's response, so its status is not an error found by the gateway
};

// What marks the end of a response's body (RFC 9112, 6.3).
enum class Framing { length, chunks, close };

// A response on the wire, up to its `rest`. `keep`: the connection stays open after it.
std::string wireText(const HttpAnswer& answer, bool keep, Framing framing);
std::string chunkText(std::string_view bytes);  // a chunk of it (RFC 9112, 7.1)
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

// A call as an HTTP request for an endpoint. `body` is set to the part of the body to write after it, owned
// by the call; empty for a small body, which is included. `limit` is sent as the deadline, in whole
// milliseconds.
std::string wireText(const Call& call, const boost::asio::ip::tcp::endpoint& host, policy::Duration limit,
                     std::string_view& body);

// The client's request without hop-by-hop fields (RFC 9110, 7.6.1) and without those that wireText writes
// itself: the call's id, key, deadline, length and host. Moves the body out. `replaced`: names of further
// fields that are left out, since the caller adds its own.
using FieldNames = std::vector<std::string>;
Message messageOf(HttpRequest& request, const FieldNames& replaced = {});

// The head of an endpoint's response, without hop-by-hop fields and the load report.
Message answerOf(const boost::beast::http::response_header<>& head);

}  // namespace cairnjunction

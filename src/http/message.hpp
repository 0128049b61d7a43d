// Messages of HTTP/1.1 (RFC 9112) as text, from and to the engine's calls and answers.
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

inline constexpr std::uint64_t kBodyMost = 32 << 20;     // bytes, of a request or an answer
inline constexpr std::uint64_t kHeldAnswer = 64 << 10;   // bytes: a larger answer is passed on while it comes
inline constexpr std::uint32_t kHeaderLimit = 16 << 10;  // bytes, of a message's head

struct HttpAnswer {  // to a client
  boost::beast::http::status status = boost::beast::http::status::ok;
  Fields fields;
  std::string body;
  std::shared_ptr<BodyStream> rest;     // of the body; null: it is whole
  std::optional<std::uint64_t> length;  // with `rest`: of both together, if it is known
  bool fromHost = false;                // its own answer: no error of the client, whatever the status says
};

// How the end of an answer's body is told (RFC 9112, 6.3).
enum class Framing { length, chunks, close };

// What an answer is on the wire, up to where its `rest` begins. `keep`: the connection stays open behind it.
std::string wireText(const HttpAnswer& answer, bool keep, Framing framing);
std::string chunkText(std::string_view bytes);  // a chunk of it (RFC 9112, 7.1)
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

// What a call is to a host up to its body; `body` is set to what of it is to be written behind, which is
// nothing for small ones, and stays the call's. The host is told how long it is waited for: `limit`, in whole
// milliseconds.
std::string wireText(const Call& call, const boost::asio::ip::tcp::endpoint& host, policy::Duration limit,
                     std::string_view& body);

// What a client asks, without what concerns only its connection (RFC 9110, 7.6.1) and what wireText writes
// itself: the call's name, key, time, length and host. Takes the body.
// `replaced`: names of further fields that are left out, since the caller adds its own.
using FieldNames = std::vector<std::string>;
Message messageOf(HttpRequest& request, const FieldNames& replaced = {});

// The head of a host's answer, without what concerns only the connection and its load report.
Message answerOf(const boost::beast::http::response_header<>& head);

}  // namespace cairnjunction

// Messages of HTTP/1.1 (RFC 9112) as text, from and to the engine's calls and answers.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "core/call.hpp"

namespace cairnjunction {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

inline constexpr std::uint64_t kBodyLimit = 64 << 10;    // bytes, of a request or an answer
inline constexpr std::uint32_t kHeaderLimit = 16 << 10;  // bytes, of a message's head

struct HttpAnswer {  // to a client
  boost::beast::http::status status = boost::beast::http::status::ok;
  Fields fields;
  std::string body;
  bool fromHost = false;  // its own answer: no error of the client, whatever the status says
};

// What an answer is on the wire. `keep`: the connection stays open behind it.
std::string wireText(const HttpAnswer& answer, bool keep);

// What a call is to a host, which is told how long it is waited for: `limit`, in whole milliseconds.
std::string wireText(const Call& call, const boost::asio::ip::tcp::endpoint& host, ochrehill::Duration limit);

// What a client asks, without what concerns only its connection (RFC 9110, 7.6.1) and what wireText writes
// itself: the call's name, key, time, length and host. Takes the body.
Message messageOf(HttpRequest& request);

// A host's answer, without what concerns only the connection and its load report.
Message answerOf(HttpResponse answer);

}  // namespace cairnjunction

// Converts calls and replies of the engine to and from HTTP/1.1 messages.
#include "http/message.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <charconv>
#include <chrono>
#include <string_view>
#include <utility>
#include <vector>

namespace cairnjunction {
namespace {

namespace http = boost::beast::http;
using boost::beast::string_view;

constexpr std::size_t kMaxCopiedBodyBytes = 16 << 10;  // a body up to this size is copied behind the head
constexpr std::size_t kReservedHeadBytes = 256;        // reserved for the head, without the copied fields

std::string_view view(string_view text) { return {text.data(), text.size()}; }

bool isHopByHop(http::field f) {
  switch (f) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::expect:
    case http::field::content_length: return true;  // derived from the body instead
    default: return false;
  }
}

// The field names listed by the `Connection` field, which are hop-by-hop too. Case-insensitive.
std::vector<std::string> connectionOptions(const http::fields& fields) {
  std::vector<std::string> names;
  if (fields.count(http::field::connection) == 0) return names;
  for (const auto& token : http::token_list(fields[http::field::connection]))
    names.push_back(token.to_string());
  return names;
}

bool containsName(const std::vector<std::string>& names, string_view name) {
  return std::any_of(names.begin(), names.end(),
                     [&](const std::string& n) { return boost::beast::iequals(n, name); });
}

// Copies all fields except hop-by-hop fields and those for which skip(field) returns true.
template <class Skip>
void copyFields(const http::fields& from, Fields& to, Skip skip) {
  const std::vector<std::string> named = connectionOptions(from);
  to.reserve(kReservedHeadBytes);
  for (const auto& field : from) {
    if (isHopByHop(field.name()) || skip(field)) continue;
    if (!named.empty() && containsName(named, field.name_string())) continue;
    to.add(view(field.name_string()), view(field.value()));
  }
}

void appendNumber(std::string& text, std::string_view name, std::uint64_t number) {
  text.append(name).append(std::to_string(number)).append("\r\n");
}

// Percent-encodes text for a query (RFC 3986, 3.4).
std::string percentEncoded(std::string_view text) {
  constexpr std::string_view plain = "-._~!$'()*,;:@/?";
  constexpr char hex[] = "0123456789ABCDEF";
  std::string out;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    if ((c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
        plain.find(c) != std::string_view::npos)
      out += c;
    else out.append({'%', hex[byte >> 4], hex[byte & 15]});
  }
  return out;
}

}  // namespace

std::string responseText(const HttpResponse& response, bool keep, Framing framing) {
  std::string text;
  text.reserve(kReservedHeadBytes + response.fields.text().size() + response.body.size());
  const auto status = static_cast<unsigned>(response.status);
  text.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
  text.append(view(http::obsolete_reason(response.status))).append("\r\n").append(response.fields.text());
  if (!keep) text.append("Connection: close\r\n");
  if (framing == Framing::chunks) {
    text.append("Transfer-Encoding: chunked\r\n\r\n");
    return response.body.empty() ? text : text.append(chunkText(response.body));
  }
  if (framing == Framing::length)
    appendNumber(text, "Content-Length: ", response.length.value_or(response.body.size()));
  return text.append("\r\n").append(response.body);
}

std::string chunkText(std::string_view bytes) {
  std::array<char, 20> size{};
  const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
  std::string text;
  text.reserve(bytes.size() + size.size());
  text.append(size.data(), end).append("\r\n").append(bytes).append("\r\n");
  return text;
}

std::string requestText(const Call& call, const boost::asio::ip::tcp::endpoint& address,
                        policy::Duration timeRemaining, std::string_view& body) {
  const Message& m = call.message;
  // A call from a client of another protocol has no HTTP method. A safe call becomes a GET with its params in
  // the query, since content in a GET request has no defined meaning (RFC 9110, 9.3.1).
  const std::string_view verb = !m.verb.empty() ? std::string_view(m.verb) : m.safe ? "GET" : "POST";
  const bool get = verb == "GET";
  const bool inQuery = get && m.format == Format::json && !m.body.empty();
  body = inQuery ? std::string_view() : std::string_view(m.body);
  std::string text;
  const std::size_t copiedBytes = body.size() <= kMaxCopiedBodyBytes ? body.size() : 0;
  text.reserve(kReservedHeadBytes + m.target.size() + m.fields.text().size() + copiedBytes);
  text.append(verb).append(" ").append(m.target);
  if (inQuery) text.append("?params=").append(percentEncoded(m.body));
  text.append(" HTTP/1.1\r\nHost: ");
  if (m.authority.empty())
    text.append(address.address().to_string()).append(":").append(std::to_string(address.port()));
  else text.append(m.authority);
  text.append("\r\nX-Request-Id: ").append(call.externalId).append("\r\n");
  if (!call.idempotencyKey.empty())
    text.append("Idempotency-Key: ").append(call.idempotencyKey).append("\r\n");
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(timeRemaining).count();
  appendNumber(text, "X-Deadline-Ms: ", static_cast<std::uint64_t>(std::max<std::int64_t>(ms, 1)));
  text.append(m.fields.text());
  if (m.format == Format::json && !body.empty()) text.append("Content-Type: application/json\r\n");
  if (!get || !body.empty()) appendNumber(text, "Content-Length: ", body.size());
  text.append("\r\n");
  if (body.size() > kMaxCopiedBodyBytes) return text;
  text.append(body);
  body = {};
  return text;
}

Message messageOfRequest(HttpRequest& request, const FieldNames& replaced) {
  Message message;
  message.verb = request.method_string().to_string();
  message.target = request.target().to_string();
  message.authority = request[http::field::host].to_string();
  message.body = std::move(request.body());
  copyFields(request, message.fields, [&](const auto& field) {
    if (field.name() == http::field::host) return true;
    const string_view name = field.name_string();
    if (!replaced.empty() && containsName(replaced, name)) return true;
    return boost::beast::iequals(name, "X-Request-Id") || boost::beast::iequals(name, "X-Deadline-Ms") ||
           boost::beast::iequals(name, "Idempotency-Key");
  });
  return message;
}

Message messageOfResponse(const http::response_header<>& head) {
  Message message;
  copyFields(head, message.fields,
             [](const auto& field) { return boost::beast::iequals(field.name_string(), "X-Load"); });
  return message;
}

}  // namespace cairnjunction

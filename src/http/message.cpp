// Converts the engine's calls and replies to and from HTTP/1.1 messages.
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

constexpr std::size_t kCopied = 16 << 10;  // bytes: a body up to here is sent in one buffer with its head
constexpr std::size_t kHeadGuess = 256;    // bytes of a head beside its fields, reserved

std::string_view view(string_view text) { return {text.data(), text.size()}; }

bool hopByHop(http::field f) {
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

// The names that a `Connection` field lists, in any case of letters.
std::vector<std::string> namedByConnection(const http::fields& fields) {
  std::vector<std::string> named;
  if (fields.count(http::field::connection) == 0) return named;
  for (const auto& token : http::token_list(fields[http::field::connection]))
    named.push_back(token.to_string());
  return named;
}

bool listed(const std::vector<std::string>& names, string_view name) {
  return std::any_of(names.begin(), names.end(),
                     [&](const std::string& n) { return boost::beast::iequals(n, name); });
}

template <class Skip>
void copyFields(const http::fields& from, Fields& to, Skip skip) {
  const std::vector<std::string> named = namedByConnection(from);
  to.reserve(kHeadGuess);
  for (const auto& field : from) {
    if (hopByHop(field.name()) || skip(field)) continue;
    if (!named.empty() && listed(named, field.name_string())) continue;
    to.add(view(field.name_string()), view(field.value()));
  }
}

void addNumber(std::string& text, std::string_view name, std::uint64_t number) {
  text.append(name).append(std::to_string(number)).append("\r\n");
}

// In a query (RFC 3986, 3.4), where `%` begins what is written by its number.
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

std::string wireText(const HttpAnswer& answer, bool keep, Framing framing) {
  std::string text;
  text.reserve(kHeadGuess + answer.fields.text().size() + answer.body.size());
  const auto status = static_cast<unsigned>(answer.status);
  text.append("HTTP/1.1 ").append(std::to_string(status)).append(" ");
  text.append(view(http::obsolete_reason(answer.status))).append("\r\n").append(answer.fields.text());
  if (!keep) text.append("Connection: close\r\n");
  if (framing == Framing::chunks) {
    text.append("Transfer-Encoding: chunked\r\n\r\n");
    return answer.body.empty() ? text : text.append(chunkText(answer.body));
  }
  if (framing == Framing::length)
    addNumber(text, "Content-Length: ", answer.length.value_or(answer.body.size()));
  return text.append("\r\n").append(answer.body);
}

std::string chunkText(std::string_view bytes) {
  std::array<char, 20> size{};
  const auto end = std::to_chars(size.data(), size.data() + size.size(), bytes.size(), 16).ptr;
  std::string text;
  text.reserve(bytes.size() + size.size());
  text.append(size.data(), end).append("\r\n").append(bytes).append("\r\n");
  return text;
}

std::string wireText(const Call& call, const boost::asio::ip::tcp::endpoint& host, policy::Duration limit,
                     std::string_view& body) {
  const Message& m = call.message;
  // A call from another protocol has no HTTP method. A safe one becomes a GET, with its params in the query,
  // since the content of a GET has no meaning (RFC 9110, 9.3.1).
  const std::string_view verb = !m.verb.empty() ? std::string_view(m.verb) : m.safe ? "GET" : "POST";
  const bool get = verb == "GET";
  const bool inQuery = get && m.format == Format::json && !m.body.empty();
  body = inQuery ? std::string_view() : std::string_view(m.body);
  std::string text;
  const std::size_t copied = body.size() <= kCopied ? body.size() : 0;
  text.reserve(kHeadGuess + m.target.size() + m.fields.text().size() + copied);
  text.append(verb).append(" ").append(m.target);
  if (inQuery) text.append("?params=").append(percentEncoded(m.body));
  text.append(" HTTP/1.1\r\nHost: ");
  if (m.authority.empty())
    text.append(host.address().to_string()).append(":").append(std::to_string(host.port()));
  else text.append(m.authority);
  text.append("\r\nX-Request-Id: ").append(call.externalId).append("\r\n");
  if (!call.idempotencyKey.empty())
    text.append("Idempotency-Key: ").append(call.idempotencyKey).append("\r\n");
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(limit).count();
  addNumber(text, "X-Deadline-Ms: ", static_cast<std::uint64_t>(std::max<std::int64_t>(ms, 1)));
  text.append(m.fields.text());
  if (m.format == Format::json && !body.empty()) text.append("Content-Type: application/json\r\n");
  if (!get || !body.empty()) addNumber(text, "Content-Length: ", body.size());
  text.append("\r\n");
  if (body.size() > kCopied) return text;
  text.append(body);
  body = {};
  return text;
}

Message messageOf(HttpRequest& request, const FieldNames& replaced) {
  Message message;
  message.verb = request.method_string().to_string();
  message.target = request.target().to_string();
  message.authority = request[http::field::host].to_string();
  message.body = std::move(request.body());
  copyFields(request, message.fields, [&](const auto& field) {
    if (field.name() == http::field::host) return true;
    const string_view name = field.name_string();
    if (!replaced.empty() && listed(replaced, name)) return true;
    return boost::beast::iequals(name, "X-Request-Id") || boost::beast::iequals(name, "X-Deadline-Ms") ||
           boost::beast::iequals(name, "Idempotency-Key");
  });
  return message;
}

Message answerOf(const http::response_header<>& head) {
  Message message;
  copyFields(head, message.fields,
             [](const auto& field) { return boost::beast::iequals(field.name_string(), "X-Load"); });
  return message;
}

}  // namespace cairnjunction

// HTTP/1.1 for clients: makes calls of their requests and answers of the replies.
#include "http/front.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <string_view>
#include <utility>

#include "core/margin.hpp"

namespace cairnjunction {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::beast::string_view;
using ochrehill::Duration;
using ochrehill::Effect;
using Clock = std::chrono::steady_clock;

template <class Number>
bool parse(string_view text, Number& number) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc{} && end == text.data() + text.size();
}

// The first part of the path: "checkout" of "/checkout/7?x=1".
std::string_view firstPart(string_view target) {
  std::string_view path(target.data(), target.size());
  if (path.empty() || path.front() != '/') return {};
  path.remove_prefix(1);
  return path.substr(0, path.find_first_of("/?"));
}

// The value of one cookie, or nothing.
std::string_view cookie(string_view header, std::string_view name) {
  std::string_view rest(header.data(), header.size());
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find(';'), rest.size());
    std::string_view one = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    one.remove_prefix(std::min(one.find_first_not_of(' '), one.size()));
    if (one.size() > name.size() && one.substr(0, name.size()) == name && one[name.size()] == '=')
      return one.substr(name.size() + 1);
  }
  return {};
}

std::uint64_t keyOf(std::string_view text) {
  std::uint64_t key = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key, 16);
  return error == std::errc{} && end == text.data() + text.size() ? key : std::hash<std::string_view>{}(text);
}

HttpAnswer plain(http::status status) {
  HttpAnswer answer;
  answer.status = status;
  return answer;
}

}  // namespace

HttpFront::HttpFront(asio::io_context& io, const Listen& listen, HttpServer::Limits limits,
                     const std::vector<ochrehill::TenantSettings>& tenants, Engine& engine,
                     std::function<bool()> up)
    : engine_(engine),
      up_(std::move(up)),
      server_(io, listen, limits,
              {[this](ClientRequest request) { received(std::move(request)); },
               [this](ExchangeId exchange) { clientGone(exchange); }}) {
  setTenants(tenants);
}

void HttpFront::setTenants(const std::vector<ochrehill::TenantSettings>& tenants) {
  tenantOf_.clear();
  for (std::size_t i = 0; i < tenants.size(); ++i)
    tenantOf_.emplace(tenants[i].name, static_cast<std::uint32_t>(i));
}

void HttpFront::received(ClientRequest request) {
  HttpRequest& message = request.message;
  if (message.target() == "/up" && message.method() == http::verb::get)
    return server_.answer(request.exchange,
                          plain(up_() ? http::status::ok : http::status::service_unavailable));
  Call call;
  call.streams = true;
  const http::status status = describe(message, call);
  if (status != http::status::ok) return server_.answer(request.exchange, plain(status));
  call.facts.left -= (Clock::now() - request.came) + kAnswerMargin;
  call.message = messageOf(message);
  call.message.operation = engine_.classes().byIndex()[call.facts.classIndex].name;
  // The id is known before the reply may come, which takes it out again.
  CallId& id = open_[request.exchange];
  if (engine_.take(std::move(call), *this, request.exchange, &id) == Engine::Taken::yes) return;
  open_.erase(request.exchange);
  server_.answer(request.exchange, plain(http::status::conflict));
}

// What the module is to know of a request; `ok`, or the status to answer.
http::status HttpFront::describe(const HttpRequest& message, Call& call) const {
  ochrehill::Request& request = call.facts;
  const ClassIndexes& classes = engine_.classes().current();
  const auto found = classes.find(std::string(firstPart(message.target())));
  if (found == classes.end()) return http::status::not_found;
  request.classIndex = found->second;
  const ochrehill::ClassSettings& c = engine_.classes().byIndex()[found->second];
  if (message.count("X-Class") && message["X-Class"] != string_view(c.name)) return http::status::bad_request;
  call.name = message["X-Request-Id"].to_string();
  if (call.name.empty()) return http::status::bad_request;
  // Danger: said twice, a host may heed the other one than we do.
  for (const char* field : {"X-Request-Id", "X-Class", "X-Deadline-Ms", "Idempotency-Key"})
    if (message.count(field) > 1) return http::status::bad_request;
  // Danger: hosts take the method for the class's promise. A keyed request with no key is dropped by nobody
  // when it is repeated, so it may not pass for one.
  const bool get = message.method() == http::verb::get;
  if (!get && message.method() != http::verb::post) return http::status::method_not_allowed;
  if (get != (c.effect == Effect::retryable)) return http::status::method_not_allowed;
  call.key = message["Idempotency-Key"].to_string();
  if (c.effect == Effect::dedup && call.key.empty()) return http::status::bad_request;
  request.left = c.giveUp;
  if (message.count("X-Deadline-Ms")) {
    std::uint32_t ms = 0;
    if (!parse(message["X-Deadline-Ms"], ms)) return http::status::bad_request;
    request.left = std::chrono::milliseconds(ms);
  }
  std::uint32_t costUs = 0;
  if (parse(message["X-Cost-Hint"], costUs)) request.cost = std::chrono::microseconds(costUs);
  const auto tenant = tenantOf_.find(message["X-Tenant"].to_string());
  if (tenant != tenantOf_.end()) request.tenantIndex = tenant->second;
  const std::string_view key = cookie(message[http::field::cookie], "obj");
  request.hasKey = !key.empty();
  if (request.hasKey) request.key = keyOf(key);
  return http::status::ok;
}

void HttpFront::clientGone(ExchangeId exchange) {
  const auto known = open_.find(exchange);
  if (known == open_.end()) return;
  const CallId id = known->second;
  open_.erase(known);
  engine_.abandon(id);
}

void HttpFront::onReply(std::uint64_t ticket, Reply reply) {
  open_.erase(ticket);
  HttpAnswer answer;
  if (reply.verdict == Verdict::served) {
    answer.fromHost = true;
    if (reply.message.declined) answer.status = http::status::unprocessable_entity;
    answer.fields = std::move(reply.message.fields);
    if (reply.message.format == Format::json) answer.fields.add("Content-Type", "application/json");
    answer.body = std::move(reply.message.body);
    answer.rest = std::move(reply.message.rest);
    answer.length = reply.message.length;
  } else if (reply.verdict == Verdict::refused) {
    answer.status = http::status::service_unavailable;
    if (reply.retryAfter > Duration{}) {
      std::array<char, 32> text{};
      std::snprintf(text.data(), text.size(), "%.3f",
                    std::chrono::duration<double>(reply.retryAfter).count());
      answer.fields.add("Retry-After", text.data());
    }
  } else {
    answer.status = http::status::bad_gateway;
  }
  server_.answer(ticket, std::move(answer));
}

}  // namespace cairnjunction

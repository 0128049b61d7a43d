// HTTP/1.1 frontend: turns client requests into calls of the engine, and its replies into HTTP responses.
#include "http/frontend.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <string_view>
#include <utility>

#include "core/reply_margin.hpp"
#include "route/names.hpp"
#include "route/path.hpp"

namespace cairnjunction {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::beast::string_view;
using policy::Duration;
using policy::Idempotency;
using Clock = std::chrono::steady_clock;

template <class Number>
bool parse(string_view text, Number& number) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc{} && end == text.data() + text.size();
}

// Replaces the message's path by its canonical form, so that the class is chosen by the path that the
// endpoint gets. False for a path that two readers could interpret differently.
bool makeCanonical(HttpRequest& message) {
  const std::string_view target(message.target().data(), message.target().size());
  if (route::isCanonical(target)) return true;
  const route::CanonicalPath path = route::canonical(target);
  if (!path.good()) return false;
  const std::string whole = route::encoded(path.path) + (path.hasQuery ? "?" + path.query : "");
  message.target({whole.data(), whole.size()});
  return true;
}

// The first part of the path: "checkout" of "/checkout/7?x=1".
std::string_view firstPart(string_view target) {
  return route::firstPart(std::string_view(target.data(), target.size()).substr(0, target.find('?')));
}

// RFC 9112, 3.2: an HTTP/1.1 request has exactly one Host field; an older one has at most one.
bool hostIsGood(const HttpRequest& message) {
  const std::size_t hosts = message.count(http::field::host);
  if (hosts == 0) return message.version() < 11;
  const string_view host = message[http::field::host];
  return hosts == 1 && route::goodAuthority({host.data(), host.size()});
}

std::uint64_t keyOf(std::string_view text) {
  std::uint64_t key = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key, 16);
  return error == std::errc{} && end == text.data() + text.size() ? key : std::hash<std::string_view>{}(text);
}

std::string_view view(string_view text) { return {text.data(), text.size()}; }

// The text may contain what the client sent. A line break in it would end the field, and the rest would
// become a header of its own (response splitting), so control characters are removed.
std::string lineOf(std::string text) {
  std::erase_if(text, [](char c) { return static_cast<unsigned char>(c) < ' ' || c == 0x7f; });
  return text;
}

class RequestHeaders final : public route::Headers {
 public:
  explicit RequestHeaders(const HttpRequest& message) : message_(message) {}
  std::string value(std::string_view name) const override {
    std::string all;
    const auto [begin, end] = message_.equal_range({name.data(), name.size()});
    for (auto it = begin; it != end; ++it) {
      if (it != begin) all += ", ";
      all += view(it->value());
    }
    return all;
  }

 private:
  const HttpRequest& message_;
};

HttpAnswer plain(http::status status) {
  HttpAnswer answer;
  answer.status = status;
  return answer;
}

}  // namespace

HttpFrontend::HttpFrontend(asio::io_context& io, const Listen& listen, HttpServer::Limits limits,
                           const std::vector<policy::TenantSettings>& tenants, Engine& engine,
                           std::function<bool()> up, HttpRouting* routing)
    : engine_(engine),
      up_(std::move(up)),
      routing_(routing),
      server_(io, listen, limits,
              {[this](ClientRequest request) { received(std::move(request)); },
               [this](ExchangeId exchange) { clientGone(exchange); }}) {
  setTenants(tenants);
  if (routing_) server_.tellClients();
}

void HttpFrontend::setTenants(const std::vector<policy::TenantSettings>& tenants) {
  tenantOf_.clear();
  for (std::size_t i = 0; i < tenants.size(); ++i)
    tenantOf_.emplace(tenants[i].name, static_cast<std::uint32_t>(i));
}

void HttpFrontend::received(ClientRequest request) {
  HttpRequest& message = request.message;
  if (message.target() == "/up" && message.method() == http::verb::get)
    return server_.answer(request.exchange,
                          plain(up_() ? http::status::ok : http::status::service_unavailable));
  if (!hostIsGood(message)) return server_.answer(request.exchange, plain(http::status::bad_request));
  if (routing_) return route(std::move(request));
  if (!makeCanonical(message)) return server_.answer(request.exchange, plain(http::status::bad_request));
  Call call;
  const http::status status = describe(message, firstPart(message.target()), engine_, call);
  if (status != http::status::ok) return server_.answer(request.exchange, plain(status));
  call.message = messageOf(message);
  take(request, std::move(call), engine_, {});
}

void HttpFrontend::take(ClientRequest& request, Call call, Engine& engine, HttpRouting::Hold hold) {
  call.acceptsStreaming = true;
  // A pipelined request may have used up its time while it waited.
  const Duration spent = (Clock::now() - request.came) + kReplyMargin;
  call.attributes.timeRemaining = std::max(call.attributes.timeRemaining - spent, Duration{});
  call.message.operation = engine.classes().byIndex()[call.attributes.classIndex].name;
  // Entered before accept(), which may call onReply() at once; that removes the entry.
  Open& open = open_[request.exchange];
  open.engine = &engine;
  open.hold = std::move(hold);
  if (engine.accept(std::move(call), *this, request.exchange, &open.id) == Engine::AcceptResult::accepted)
    return;
  over(open_.find(request.exchange));
  server_.answer(request.exchange, plain(http::status::conflict));
}

HttpFrontend::Open HttpFrontend::over(std::unordered_map<ExchangeId, Open>::iterator at) {
  Open open = std::move(at->second);
  open_.erase(at);
  if (routing_) routing_->over(open.hold);
  return open;
}

// --- By routes ------------------------------------------------------------------------------------------

void HttpFrontend::route(ClientRequest request) {
  const HttpRequest& message = request.message;
  const RequestHeaders headers(message);
  const std::string client = request.client.is_unspecified() ? "" : request.client.to_string();
  route::Request asked;
  asked.method = view(message.method_string());
  asked.host = view(message[http::field::host]);
  asked.target = view(message.target());
  asked.remote = client;
  asked.headers = &headers;
  const route::Decision decision = routing_->router().route(asked);
  switch (decision.kind) {
    case route::Decision::Kind::close: return server_.drop(request.exchange);
    case route::Decision::Kind::proxy: return routed(std::move(request), decision);
    case route::Decision::Kind::answer: break;
  }
  HttpAnswer answer;
  answer.status = http::int_to_status(static_cast<unsigned>(decision.status));
  if (answer.status == http::status::unknown) answer.status = http::status::internal_server_error;
  const bool redirect = decision.status >= 301 && decision.status <= 308 && decision.status != 304;
  if (redirect && !decision.text.empty()) answer.fields.add("Location", lineOf(decision.text));
  else if (!decision.text.empty()) {
    answer.fields.add("Content-Type", "text/plain");
    answer.body = decision.text;
  }
  server_.answer(request.exchange, std::move(answer));
}

void HttpFrontend::routed(ClientRequest request, const route::Decision& decision) {
  HttpRequest& message = request.message;
  const auto turnDown = [&](http::status status) { server_.answer(request.exchange, plain(status)); };
  Engine* engine = routing_->engineOf(decision.pool);
  if (!engine) return turnDown(http::status::bad_gateway);
  const std::uint64_t bytes = message.body().size();
  const auto& most = decision.location->bodyMost;
  if (most && *most > 0 && bytes > *most) return turnDown(http::status::payload_too_large);
  Call call;
  const http::status status = describe(message, decision.className, *engine, call);
  if (status != http::status::ok) return turnDown(status);
  const route::Proxy& proxy = *decision.location->proxy;
  if (proxy.timeout)
    call.attributes.timeRemaining = std::min<Duration>(call.attributes.timeRemaining, *proxy.timeout);
  if (proxy.attempts && *proxy.attempts > 0) call.attributes.maxAttempts = *proxy.attempts;
  HttpRouting::Hold hold;
  if (const int refused = routing_->admit(decision, bytes, hold)) {
    HttpAnswer answer = plain(http::int_to_status(static_cast<unsigned>(refused)));
    answer.fields.add("Retry-After", "1");
    return server_.answer(request.exchange, std::move(answer));
  }
  FieldNames replaced;
  for (const auto& [name, value] : decision.headers) replaced.push_back(name);
  call.message = messageOf(message, replaced);
  call.message.target = decision.uri;
  for (const auto& [name, value] : decision.headers)
    if (route::sameText(name, "Host")) call.message.authority = value;
    else if (!value.empty()) call.message.fields.add(name, value);
  take(request, std::move(call), *engine, std::move(hold));
}

http::status HttpFrontend::describe(const HttpRequest& message, std::string_view className,
                                    const Engine& engine, Call& call) const {
  policy::Request& request = call.attributes;
  const ClassIndexes& classes = engine.classes().current();
  const auto found = classes.find(std::string(className));
  if (found == classes.end()) return http::status::not_found;
  request.classIndex = found->second;
  const policy::ClassSettings& c = engine.classes().byIndex()[found->second];
  if (message.count("X-Class") && message["X-Class"] != string_view(c.name)) return http::status::bad_request;
  call.externalId = message["X-Request-Id"].to_string();
  if (call.externalId.empty()) return http::status::bad_request;
  // Of a field that is sent twice, an endpoint may use the other value than the gateway: the request would
  // run under another id, class, deadline or key than the one it was admitted by. So it is rejected.
  for (const char* field : {"X-Request-Id", "X-Class", "X-Deadline-Ms", "Idempotency-Key"})
    if (message.count(field) > 1) return http::status::bad_request;
  // Endpoints derive from the method whether a request is safe, so it must agree with the class. A keyed
  // request without a key could not be deduplicated: a retry would run it twice. Both are rejected.
  const bool get = message.method() == http::verb::get;
  if (!get && message.method() != http::verb::post) return http::status::method_not_allowed;
  if (get != (c.idempotency == Idempotency::safe)) return http::status::method_not_allowed;
  call.idempotencyKey = message["Idempotency-Key"].to_string();
  if (c.idempotency == Idempotency::keyed && call.idempotencyKey.empty()) return http::status::bad_request;
  request.timeRemaining = c.clientTimeout;
  if (message.count("X-Deadline-Ms")) {
    std::uint32_t ms = 0;
    if (!parse(message["X-Deadline-Ms"], ms)) return http::status::bad_request;
    request.timeRemaining = std::chrono::milliseconds(ms);
  }
  std::uint32_t costUs = 0;
  if (parse(message["X-Cost-Hint"], costUs)) request.expectedCost = std::chrono::microseconds(costUs);
  const auto tenant = tenantOf_.find(message["X-Tenant"].to_string());
  if (tenant != tenantOf_.end()) request.tenantIndex = tenant->second;
  const std::string_view key = route::cookie(view(message[http::field::cookie]), "obj");
  request.hasKey = !key.empty();
  if (request.hasKey) request.key = keyOf(key);
  return http::status::ok;
}

void HttpFrontend::clientGone(ExchangeId exchange) {
  const auto known = open_.find(exchange);
  if (known == open_.end()) return;
  const Open open = over(known);
  open.engine->clientDisconnected(open.id);
}

void HttpFrontend::onReply(std::uint64_t ticket, Reply reply) {
  if (const auto known = open_.find(ticket); known != open_.end()) over(known);
  HttpAnswer answer;
  if (reply.status == ReplyStatus::ok) {
    answer.fromHost = true;
    if (reply.message.declined) answer.status = http::status::unprocessable_entity;
    answer.fields = std::move(reply.message.fields);
    if (reply.message.format == Format::json) answer.fields.add("Content-Type", "application/json");
    answer.body = std::move(reply.message.body);
    answer.rest = std::move(reply.message.rest);
    answer.length = reply.message.length;
  } else if (reply.status == ReplyStatus::rejected) {
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

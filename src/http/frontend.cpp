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

#include "core/active_call.hpp"
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
bool parseNumber(string_view text, Number& number) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  return error == std::errc{} && end == text.data() + text.size();
}

// Replaces the path of the message by its canonical form, so that the request class is selected by the same
// path that the endpoint receives. Returns false for a path that two parsers could interpret differently.
bool makeCanonical(HttpRequest& message) {
  const std::string_view target(message.target().data(), message.target().size());
  if (route::isCanonical(target)) return true;
  const route::CanonicalPath path = route::canonical(target);
  if (!path.good()) return false;
  const std::string whole = route::encoded(path.path) + (path.hasQuery ? "?" + path.query : "");
  message.target({whole.data(), whole.size()});
  return true;
}

// The first path segment, which names the request class: "checkout" for "/checkout/7?x=1".
std::string_view firstSegment(string_view target) {
  return route::firstPart(std::string_view(target.data(), target.size()).substr(0, target.find('?')));
}

// RFC 9112, 3.2: an HTTP/1.1 request has exactly one Host field, an HTTP/1.0 request at most one.
bool hasValidHost(const HttpRequest& message) {
  const std::size_t hosts = message.count(http::field::host);
  if (hosts == 0) return message.version() < 11;
  const string_view host = message[http::field::host];
  return hosts == 1 && route::goodAuthority({host.data(), host.size()});
}

// The request's key (see policy::Request::key): the number if the text is hexadecimal, otherwise a hash of
// it.
std::uint64_t requestKey(std::string_view text) {
  std::uint64_t key = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), key, 16);
  return error == std::errc{} && end == text.data() + text.size() ? key : std::hash<std::string_view>{}(text);
}

std::string_view view(string_view text) { return {text.data(), text.size()}; }

// Removes control characters, since the text may contain input from the client: a line break would end the
// header field, and the rest would become another header field (response splitting).
std::string withoutControlCharacters(std::string text) {
  std::erase_if(text, [](char c) { return static_cast<unsigned char>(c) < ' ' || c == 0x7f; });
  return text;
}

// The header fields of a request for the router. Values of a repeated field are joined with ", ".
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

// What a call costs in memory, in bytes: its head is copied into the text for the endpoint.
std::size_t memoryOf(const Call& call) {
  const std::size_t head = call.message.fields.text().size() + call.message.target.size() +
                           call.externalId.size() + call.idempotencyKey.size();
  return sizeof(ActiveCall) + 2 * head + heapBytes(call.message.body);
}

HttpResponse emptyResponse(http::status status) {
  HttpResponse response;
  response.status = status;
  return response;
}

}  // namespace

HttpFrontend::HttpFrontend(asio::io_context& io, const ListenOptions& listen, HttpServer::Limits limits,
                           const std::vector<policy::TenantSettings>& tenants, Engine& engine,
                           std::function<bool()> up, HttpRouting* routing,
                           std::shared_ptr<MemoryAccount> memory)
    : engine_(engine),
      isUp_(std::move(up)),
      routing_(routing),
      server_(io, listen, limits,
              {[this](ClientRequest request) { onRequest(std::move(request)); },
               [this](ExchangeId exchange) { onClientDisconnected(exchange); }},
              std::move(memory)) {
  setTenants(tenants);
  if (routing_) server_.recordClientAddresses();
}

void HttpFrontend::setTenants(const std::vector<policy::TenantSettings>& tenants) {
  tenantIndexes_.clear();
  for (std::size_t i = 0; i < tenants.size(); ++i)
    tenantIndexes_.emplace(tenants[i].name, static_cast<std::uint32_t>(i));
}

void HttpFrontend::onRequest(ClientRequest request) {
  HttpRequest& message = request.message;
  if (message.target() == "/up" && message.method() == http::verb::get)
    return server_.respond(request.exchange,
                           emptyResponse(isUp_() ? http::status::ok : http::status::service_unavailable));
  if (!hasValidHost(message))
    return server_.respond(request.exchange, emptyResponse(http::status::bad_request));
  if (routing_) return routeRequest(std::move(request));
  if (!makeCanonical(message))
    return server_.respond(request.exchange, emptyResponse(http::status::bad_request));
  Call call;
  const http::status status = readAttributes(message, firstSegment(message.target()), engine_, call);
  if (status != http::status::ok) return server_.respond(request.exchange, emptyResponse(status));
  call.message = messageOfRequest(message);
  submit(request, std::move(call), engine_, {});
}

void HttpFrontend::submit(ClientRequest& request, Call call, Engine& engine, HttpRouting::Hold hold) {
  call.acceptsStreaming = true;
  call.memory = std::move(request.memory);
  call.memory.set(memoryOf(call));
  // A pipelined request may have used up its client timeout while it waited for the ones before it.
  const Duration spent = (Clock::now() - request.receivedAt) + kReplyMargin;
  call.attributes.timeRemaining = std::max(call.attributes.timeRemaining - spent, Duration{});
  call.message.operation = engine.classes().byIndex()[call.attributes.classIndex].name;
  // Inserted before accept(), which may call onReply() before it returns; onReply() removes the entry.
  OpenCall& open = openCalls_[request.exchange];
  open.engine = &engine;
  open.hold = std::move(hold);
  if (engine.accept(std::move(call), *this, request.exchange, &open.id) == Engine::AcceptResult::accepted)
    return;
  removeCall(openCalls_.find(request.exchange));
  server_.respond(request.exchange, emptyResponse(http::status::conflict));
}

HttpFrontend::OpenCall HttpFrontend::removeCall(std::unordered_map<ExchangeId, OpenCall>::iterator at) {
  OpenCall open = std::move(at->second);
  openCalls_.erase(at);
  if (routing_) routing_->over(open.hold);
  return open;
}

// --- Routed requests -------------------------------------------------------------------------------------

void HttpFrontend::routeRequest(ClientRequest request) {
  const HttpRequest& message = request.message;
  const RequestHeaders headers(message);
  const std::string client = request.client.is_unspecified() ? "" : request.client.to_string();
  route::Request routed;
  routed.method = view(message.method_string());
  routed.host = view(message[http::field::host]);
  routed.target = view(message.target());
  routed.remote = client;
  routed.headers = &headers;
  const route::Decision decision = routing_->router().route(routed);
  switch (decision.kind) {
    case route::Decision::Kind::close: return server_.drop(request.exchange);
    case route::Decision::Kind::proxy: return submitRouted(std::move(request), decision);
    case route::Decision::Kind::answer: break;
  }
  HttpResponse response;
  response.status = http::int_to_status(static_cast<unsigned>(decision.status));
  if (response.status == http::status::unknown) response.status = http::status::internal_server_error;
  const bool redirect = decision.status >= 301 && decision.status <= 308 && decision.status != 304;
  if (redirect && !decision.text.empty())
    response.fields.add("Location", withoutControlCharacters(decision.text));
  else if (!decision.text.empty()) {
    response.fields.add("Content-Type", "text/plain");
    response.body = decision.text;
  }
  server_.respond(request.exchange, std::move(response));
}

void HttpFrontend::submitRouted(ClientRequest request, const route::Decision& decision) {
  HttpRequest& message = request.message;
  const auto reject = [&](http::status status) { server_.respond(request.exchange, emptyResponse(status)); };
  Engine* engine = routing_->engineOf(decision.pool);
  if (!engine) return reject(http::status::bad_gateway);
  const std::uint64_t bytes = message.body().size();
  const auto& maxBodyBytes = decision.location->bodyMost;
  if (maxBodyBytes && *maxBodyBytes > 0 && bytes > *maxBodyBytes)
    return reject(http::status::payload_too_large);
  Call call;
  const http::status status = readAttributes(message, decision.className, *engine, call);
  if (status != http::status::ok) return reject(status);
  const route::Proxy& proxy = *decision.location->proxy;
  if (proxy.timeout)
    call.attributes.timeRemaining = std::min<Duration>(call.attributes.timeRemaining, *proxy.timeout);
  if (proxy.attempts && *proxy.attempts > 0) call.attributes.maxAttempts = *proxy.attempts;
  HttpRouting::Hold hold;
  if (const int rejection = routing_->admit(decision, bytes, hold)) {
    HttpResponse response = emptyResponse(http::int_to_status(static_cast<unsigned>(rejection)));
    response.fields.add("Retry-After", "1");
    return server_.respond(request.exchange, std::move(response));
  }
  FieldNames replaced;
  for (const auto& [name, value] : decision.headers) replaced.push_back(name);
  call.message = messageOfRequest(message, replaced);
  call.message.target = decision.uri;
  for (const auto& [name, value] : decision.headers)
    if (route::sameText(name, "Host")) call.message.authority = value;
    else if (!value.empty()) call.message.fields.add(name, value);
  submit(request, std::move(call), *engine, std::move(hold));
}

http::status HttpFrontend::readAttributes(const HttpRequest& message, std::string_view className,
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
  // If one of these fields is repeated, the endpoint might use a different value than the gateway did: the
  // request would run with another id, class, deadline or key than it was admitted with. So it is rejected.
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
    if (!parseNumber(message["X-Deadline-Ms"], ms)) return http::status::bad_request;
    request.timeRemaining = std::chrono::milliseconds(ms);
  }
  std::uint32_t costUs = 0;
  if (parseNumber(message["X-Cost-Hint"], costUs)) request.expectedCost = std::chrono::microseconds(costUs);
  const auto tenant = tenantIndexes_.find(message["X-Tenant"].to_string());
  if (tenant != tenantIndexes_.end()) request.tenantIndex = tenant->second;
  const std::string_view key = route::cookie(view(message[http::field::cookie]), "obj");
  request.hasKey = !key.empty();
  if (request.hasKey) request.key = requestKey(key);
  return http::status::ok;
}

void HttpFrontend::onClientDisconnected(ExchangeId exchange) {
  const auto known = openCalls_.find(exchange);
  if (known == openCalls_.end()) return;
  const OpenCall open = removeCall(known);
  open.engine->clientDisconnected(open.id);
}

void HttpFrontend::onReply(std::uint64_t ticket, Reply reply) {
  if (const auto known = openCalls_.find(ticket); known != openCalls_.end()) removeCall(known);
  HttpResponse response;
  if (reply.status == ReplyStatus::ok) {
    if (reply.message.declined) response.status = http::status::unprocessable_entity;
    response.fields = std::move(reply.message.fields);
    if (reply.message.format == Format::json) response.fields.add("Content-Type", "application/json");
    response.body = std::move(reply.message.body);
    response.rest = std::move(reply.message.rest);
    response.length = reply.message.length;
  } else if (reply.status == ReplyStatus::rejected) {
    response.status = http::status::service_unavailable;
    if (reply.retryAfter > Duration{}) {
      std::array<char, 32> text{};
      std::snprintf(text.data(), text.size(), "%.3f",
                    std::chrono::duration<double>(reply.retryAfter).count());
      response.fields.add("Retry-After", text.data());
    }
  } else {
    response.status = http::status::bad_gateway;
  }
  server_.respond(ticket, std::move(response));
}

}  // namespace cairnjunction

#include "net/gateway.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/field.hpp>
#include <boost/beast/http/rfc7230.hpp>
#include <boost/beast/http/status.hpp>
#include <charconv>
#include <cstdio>
#include <utility>

namespace cairnjunction {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::beast::string_view;
using boost::system::error_code;
using ochrehill::Action;
using ochrehill::ActionKind;
using ochrehill::Duration;
using ochrehill::Effect;
using ochrehill::HostId;
using ochrehill::ListKind;
using ochrehill::Outcome;
using ochrehill::Phase;
using ochrehill::RequestId;
using ochrehill::Time;
using Clock = std::chrono::steady_clock;

// The module's clock at our start: hosts that started up to a day before have a time of their own on it.
constexpr Time kClockStart = std::chrono::hours(24);
// Of the memory, for bodies of requests: each may be held three times, and its answer beside it.
constexpr std::size_t kBodyPart = 8;
// Clients have a third of the descriptors at most for requests; so much of that third is kept by those that
// have asked, and a quarter is free for those that come.
constexpr std::size_t kClientPart = 3;
constexpr std::size_t kKeptNum = 3, kKeptDen = 4;
// Of the descriptors: listener, discovery, event loop, standard streams and what the libraries open.
constexpr std::size_t kOwnDescriptors = 32;

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

// What concerns one connection only is not passed on (RFC 9110, 7.6.1).
template <class Message>
void stripHop(Message& message) {
  std::vector<std::string> named;
  for (const auto& token : http::token_list(message[http::field::connection]))
    named.push_back(token.to_string());
  for (const std::string& name : named) message.erase(name);
  for (const http::field f :
       {http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::te,
        http::field::trailer, http::field::transfer_encoding, http::field::upgrade, http::field::expect})
    message.erase(f);
}

HttpResponse plain(http::status status) {
  HttpResponse response;
  response.result(status);
  return response;
}

std::size_t shareOf(std::size_t sockets, std::size_t part, std::size_t of) {
  return (sockets - kOwnDescriptors) * part / of;
}

HostPool::Limits hostLimits(const Config& config) {
  return {shareOf(config.sockets, 2, 5), config.connectTimeout, config.module.idleClose};
}

ClientServer::Limits clientLimits(const Config& config, ClientServer::Limits waits) {
  waits.connections = std::min(waits.connections, shareOf(config.sockets, 3, 5));
  waits.kept = std::min(waits.kept, config.sockets / kClientPart * kKeptNum / kKeptDen);
  waits.bodyBytes = std::min(waits.bodyBytes, (config.memoryMb << 20) / kBodyPart);
  return waits;
}

}  // namespace

Gateway::Gateway(asio::io_context& io, const Config& config, Waits waits,
                 std::function<void(std::string)> log)
    : io_(io),
      start_(Clock::now()),
      unixStart_(std::chrono::system_clock::now()),
      settings_(config.module),
      waits_(waits),
      log_(std::move(log)),
      balancer_(config.module, now()),
      hosts_(io, hostLimits(config),
             [this](AttemptEnd end) {
               ends_.push_back(std::move(end));
               drainActions();
             }),
      discovery_(
          io, config.discovery,
          {[this](const HostList& list) { told(list, list.full ? ListKind::replace : ListKind::update); },
           [this] {
             balancer_.onHosts(now(), ListKind::unavailable, {});
             drainActions();
           }},
          waits.discovery),
      waker_(io),
      drainTimer_(io),
      clients_(io, config.listen, clientLimits(config, waits.clients),
               {[this](ClientRequest request) { received(std::move(request)); },
                [this](ExchangeId exchange) { clientGone(exchange); }}) {
  for (std::size_t i = 0; i < settings_.classes.size(); ++i)
    classOf_.emplace(settings_.classes[i].name, static_cast<std::uint32_t>(i));
  for (std::size_t i = 0; i < settings_.tenants.size(); ++i)
    tenantOf_.emplace(settings_.tenants[i].name, static_cast<std::uint32_t>(i));
  if (config.known) discovery_.knows(config.known->version);
  // The module asks discovery once it was given a list, an empty one too.
  told(config.known ? *config.known : HostList{0, true, {}}, ListKind::restored);
}

Gateway::~Gateway() {
  hosts_.stop();
  discovery_.stop();
}

Time Gateway::now() const { return kClockStart + (Clock::now() - start_); }

// By one offset for good: the module takes a host whose start moved for a new process.
Time Gateway::moduleTime(std::int64_t unixMs) const {
  if (unixMs <= 0) return Time{};
  const Time at = kClockStart + (std::chrono::milliseconds(unixMs) - unixStart_.time_since_epoch());
  return std::max(at, Time{});
}

// --- Events ---------------------------------------------------------------------------------------------

void Gateway::told(const HostList& list, ListKind kind) {
  std::vector<ochrehill::HostEntry> entries;
  for (const ListedHost& host : list.hosts) {
    ochrehill::HostEntry e;
    // The uid names a host to the module: it is the same at all gateways, and outlives a new address.
    e.address = host.uid;
    e.zone = host.zone;
    e.kind = host.kind;
    e.cell = host.cell;
    e.weight = host.weight;
    e.upSince = moduleTime(host.bootMs);
    e.phase = host.state == HostState::serving    ? Phase::in
              : host.state == HostState::draining ? Phase::draining
                                                  : Phase::out;
    entries.push_back(std::move(e));
  }
  balancer_.onHosts(now(), kind, entries);
  if (kind != ListKind::update) hosts_.unlistAll();
  for (const ListedHost& host : list.hosts)
    if (const HostId id = balancer_.findHost(host.uid); id != ochrehill::kNone)
      hosts_.list(id, host.endpoint, host.state == HostState::serving);
  ready_ = ready_ || !list.hosts.empty() || kind != ListKind::restored;
  drainActions();
}

void Gateway::received(ClientRequest request) {
  const HttpRequest& message = request.message;
  if (message.target() == "/up" && message.method() == http::verb::get)
    return clients_.answer(
        request.exchange, plain(ready_ && !draining_ ? http::status::ok : http::status::service_unavailable));
  ochrehill::Request asked;
  const http::status status = describe(message, asked);
  if (status != http::status::ok) return clients_.answer(request.exchange, plain(status));
  // Danger: passed on, one with the id of an open request is a second copy of that one to the hosts.
  std::string name = message["X-Request-Id"].to_string();
  if (!names_.insert(name).second) return clients_.answer(request.exchange, plain(http::status::conflict));
  asked.id = ++lastRequest_;
  asked.left -= (Clock::now() - request.began) + kAnswerMargin;
  stripHop(request.message);
  Exchange& exchange = exchanges_[asked.id];
  exchange.client = request.exchange;
  exchange.message = std::move(request.message);
  exchange.name = std::move(name);
  byClient_.emplace(request.exchange, asked.id);
  balancer_.onRequest(now(), asked);
  drainActions();
}

// What the module is to know of a request; `ok`, or the status to answer.
http::status Gateway::describe(const HttpRequest& message, ochrehill::Request& request) const {
  const auto found = classOf_.find(std::string(firstPart(message.target())));
  if (found == classOf_.end()) return http::status::not_found;
  request.classIndex = found->second;
  const ochrehill::ClassSettings& c = settings_.classes[found->second];
  if (message.count("X-Class") && message["X-Class"] != string_view(c.name)) return http::status::bad_request;
  if (message["X-Request-Id"].empty()) return http::status::bad_request;
  // Danger: said twice, a host may heed the other one than we do.
  for (const char* field : {"X-Request-Id", "X-Class", "X-Deadline-Ms", "Idempotency-Key"})
    if (message.count(field) > 1) return http::status::bad_request;
  // Danger: hosts take the method for the class's promise. A keyed request with no key is dropped by nobody
  // when it is repeated, so it may not pass for one.
  const bool get = message.method() == http::verb::get;
  if (!get && message.method() != http::verb::post) return http::status::method_not_allowed;
  if (get != (c.effect == Effect::retryable)) return http::status::method_not_allowed;
  if (c.effect == Effect::dedup && message["Idempotency-Key"].empty()) return http::status::bad_request;
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

void Gateway::clientGone(ExchangeId client) {
  const auto known = byClient_.find(client);
  if (known == byClient_.end()) return;
  const RequestId id = known->second;
  byClient_.erase(known);
  exchanges_.at(id).ended = true;
  over_.push_back(id);
  balancer_.onClientGone(now(), id);
  drainActions();
}

void Gateway::settle(AttemptEnd end) {
  const auto it = exchanges_.find(end.key.request);
  if (it == exchanges_.end()) return;
  Exchange& exchange = it->second;
  --exchange.out;
  over_.push_back(end.key.request);
  if (end.outcome == Outcome::served && !exchange.ended) {
    stripHop(end.answer);
    end.answer.erase("X-Load");
    answer(exchange, std::move(end.answer));
  }
  ochrehill::AttemptResult result;
  result.request = end.key.request;
  result.attempt = end.key.attempt;
  result.host = end.host;
  result.outcome = end.outcome;
  result.taken = end.taken;
  result.terminal = exchange.ended;
  balancer_.onResult(now(), result);
}

// --- Actions --------------------------------------------------------------------------------------------

// Carries out all actions in their order, with those that their own results raise. An action that ends an
// attempt at once must not feed the module while its earlier actions are still to be done.
void Gateway::drainActions() {
  if (carrying_) return;
  carrying_ = true;
  for (;;) {
    const std::vector<Action> actions = std::exchange(balancer_.actions(), {});
    for (const Action& action : actions) carryOut(action);
    // Entries are dropped only after all actions that name them are done.
    if (balancer_.actions().empty())
      for (const RequestId id : std::exchange(over_, {}))
        if (const auto it = exchanges_.find(id);
            it != exchanges_.end() && it->second.ended && it->second.out == 0) {
          names_.erase(it->second.name);
          exchanges_.erase(it);
        }
    if (!balancer_.actions().empty()) continue;
    if (ends_.empty()) break;
    AttemptEnd end = std::move(ends_.front());
    ends_.pop_front();
    settle(std::move(end));
  }
  carrying_ = false;
}

void Gateway::carryOut(const Action& action) {
  switch (action.kind) {
    case ActionKind::send: return send(action);
    case ActionKind::refuse:
    case ActionKind::fail: return giveUp(action);
    case ActionKind::cancel: return hosts_.cancel({action.request, action.attempt});
    case ActionKind::close: return hosts_.closeIdle(action.host);
    case ActionKind::forget: return hosts_.forget(action.host);
    case ActionKind::wake: return wakeAt(action.span);
    case ActionKind::subscribe: return discovery_.watch();
    case ActionKind::log: return log_(action.text);
  }
}

void Gateway::send(const Action& action) {
  const auto it = exchanges_.find(action.request);
  if (it == exchanges_.end() || it->second.ended) return;
  Exchange& exchange = it->second;
  ++exchange.out;
  HttpRequest message = exchange.message;
  const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(action.span).count();
  message.set("X-Deadline-Ms", std::to_string(std::max<std::int64_t>(ms, 1)));
  message.version(11);
  message.keep_alive(true);
  if (message.method() != http::verb::get || !message.body().empty()) message.prepare_payload();
  hosts_.start({action.request, action.attempt}, action.host, std::move(message), action.span);
}

void Gateway::giveUp(const Action& action) {
  const auto it = exchanges_.find(action.request);
  if (it == exchanges_.end() || it->second.ended) return;
  over_.push_back(action.request);
  HttpResponse response = plain(action.kind == ActionKind::refuse ? http::status::service_unavailable
                                                                  : http::status::bad_gateway);
  if (action.kind == ActionKind::refuse && action.span > Duration{}) {
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", std::chrono::duration<double>(action.span).count());
    response.set(http::field::retry_after, text.data());
  }
  answer(it->second, std::move(response));
}

void Gateway::answer(Exchange& exchange, HttpResponse response) {
  exchange.ended = true;
  byClient_.erase(exchange.client);
  clients_.answer(exchange.client, std::move(response));
}

// Only the earliest wake counts: the module asks anew at each event for the next.
void Gateway::wakeAt(Time at) {
  if (wakeAt_ > Time{} && wakeAt_ <= at) return;
  wakeAt_ = at;
  waker_.expires_at(start_ + (at - kClockStart));
  waker_.async_wait([this](error_code ec) {
    if (ec || now() < wakeAt_) return;
    wakeAt_ = Time{};
    balancer_.onWake(now());
    drainActions();
  });
}

// --- Reload and drain -----------------------------------------------------------------------------------

// The listener and the module's settings stay as they are until a restart: answers are owed by them.
void Gateway::reload(const Config& config) {
  discovery_.moveTo(config.discovery);
  hosts_.setLimits(hostLimits(config));
  clients_.setLimits(clientLimits(config, waits_.clients));
}

void Gateway::drain(std::function<void()> done) {
  if (draining_) return;
  draining_ = true;
  drained_ = std::move(done);
  clients_.lastAnswers();
  drainTimer_.expires_after(kAcceptOn);
  drainTimer_.async_wait([this](error_code ec) {
    if (ec) return;
    clients_.onEmpty = [this] { drained_(); };
    clients_.stopAccepting();
  });
}

}  // namespace cairnjunction

#include "soak/clients.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace cairnjunction::soak {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;

struct Method {
  const char* name;
  milliseconds deadline;
};
// As in standins/gateway_config: safe, unsafe and keyed.
constexpr std::array<Method, 3> kMethods{
    {{"cut-plan", milliseconds(1200)}, {"stock-out", milliseconds(2000)}, {"log-in", milliseconds(1000)}}};
constexpr std::size_t kOpenOfPipelined = 4;
constexpr milliseconds kReconnectDelay{20};
constexpr int kLongestThinkMs = 20;
constexpr int kLongestRestMs = 2600;  // behind the signal

}  // namespace

Client::Client(asio::io_context& io, tcp::endpoint gateway, Protocol protocol, Style style,
               std::uint64_t seed, ClientLedger& ledger)
    : io_(io),
      gateway_(std::move(gateway)),
      protocol_(protocol),
      style_(style),
      random_(seed),
      ledger_(ledger),
      socket_(io),
      timer_(io) {}

void Client::start() { connect(); }

void Client::onSignal(Clock::time_point reconnectUntil) {
  reconnectUntil_ = reconnectUntil;
  if (style_ == Style::resting) later(milliseconds(draw(0, kLongestRestMs)), &Client::wake);
  if (style_ == Style::halfWritten && record_) {
    send(true);
    later(milliseconds(draw(0, kLongestRestMs)), &Client::finishHalf);
  }
}

void Client::stop() {
  stopped_ = true;
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

// --- The connection ---------------------------------------------------------------------------------------

void Client::connect() {
  if (stopped_ || (reconnectUntil_ && Clock::now() > *reconnectUntil_)) return;
  socket_ = tcp::socket(io_);
  error_code failed;
  socket_.connect(gateway_, failed);  // on loopback: at once
  if (failed) return later(kReconnectDelay, &Client::connect);
  socket_.set_option(tcp::no_delay(true));
  socket_.non_blocking(true);
  received_.clear();
  unsentHalf_.clear();
  open_.clear();
  order_.clear();
  record_ = &ledger_.connections.emplace_back();
  record_->protocol = protocol_;
  record_->style = style_;
  record_->port = socket_.local_endpoint().port();
  read();
  if (style_ == Style::inSession) {
    CallRecord& call = begin();
    write(json{{"jsonrpc", "2.0"},
               {"id", call.id},
               {"method", "rpc.session"},
               {"params", {{"name", "soak-session-" + call.id + std::to_string(random_())}}}}
              .dump() +
          "\n");
    return;
  }
  fill();
}

void Client::read() {
  socket_.async_read_some(
      asio::buffer(chunk_), [self = shared_from_this()](error_code error, std::size_t bytes) {
        if (self->stopped_) return;
        if (error == asio::error::operation_aborted) return;
        if (error)
          return self->onEnd(error == asio::error::eof ? ConnectionEnd::closed : ConnectionEnd::reset);
        self->onBytes(bytes);
      });
}

void Client::onBytes(std::size_t bytes) {
  received_.append(chunk_.data(), bytes);
  if (protocol_ == Protocol::http) takeHttp();
  else takeJsonRpc();
  if (!record_) return;
  read();
  if (unsentHalf_.empty()) later(milliseconds(draw(0, kLongestThinkMs)), &Client::fill);
}

void Client::onEnd(ConnectionEnd end) {
  record_->end = record_->resetOnWrite ? ConnectionEnd::reset : end;
  record_->ended = Clock::now();
  record_ = nullptr;
  error_code ignored;
  socket_.close(ignored);
  later(kReconnectDelay, &Client::connect);
}

void Client::later(milliseconds delay, void (Client::*action)()) {
  timer_.expires_after(delay);
  timer_.async_wait([self = shared_from_this(), action](error_code cancelled) {
    if (!cancelled && !self->stopped_) (self.get()->*action)();
  });
}

void Client::write(const std::string& bytes) {
  error_code failed;
  asio::write(socket_, asio::buffer(bytes), failed);  // small ones: they never fill the socket's buffer
  if (!failed) record_->written += bytes.size();
  if (failed == asio::error::connection_reset) record_->resetOnWrite = true;
  for (CallRecord& call : record_->calls)
    if (call.end == 0 && unsentHalf_.empty()) {
      call.end = failed ? UINT64_MAX : record_->written;  // one that could not be written was not taken
      call.written = Clock::now();
    }
}

// --- Calls ------------------------------------------------------------------------------------------------

CallRecord& Client::begin() {
  const Method& method = kMethods[static_cast<std::size_t>(draw(0, 2))];
  CallRecord& call = record_->calls.emplace_back();
  call.id = ledger_.prefix + std::to_string(++ledger_.calls);
  call.method = method.name;
  call.deadline = method.deadline;
  open_[call.id] = record_->calls.size() - 1;
  order_.push_back(call.id);
  return call;
}

std::string Client::httpCall() {
  const CallRecord& call = begin();
  const std::string body = json{{"ref", call.id}}.dump();
  const bool safe = call.method == "cut-plan";
  std::string text = (safe ? "GET /" : "POST /") + call.method +
                     "/x HTTP/1.1\r\nHost: soak\r\nX-Request-Id: " + call.id + "\r\nX-Class: " + call.method +
                     "\r\nX-Deadline-Ms: " + std::to_string(call.deadline.count()) + "\r\n";
  if (call.method == "log-in") text += "Idempotency-Key: " + call.id + "\r\n";
  if (safe) return text + "\r\n";
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Client::jsonRpcCall(bool asNotification) {
  if (asNotification)
    return json{{"jsonrpc", "2.0"}, {"method", "cut-plan"}, {"params", {{"ref", "note"}}}}.dump();
  const CallRecord& call = begin();
  return json{{"jsonrpc", "2.0"},
              {"id", call.id},
              {"method", call.method},
              {"params", {{"ref", call.id}, {"key", call.id}}}}
      .dump();
}

std::string Client::nextText() {
  if (protocol_ == Protocol::http) return httpCall();
  switch (style_) {
    case Style::batched: {
      const std::string first = jsonRpcCall(false);
      return "[" + first + "," + jsonRpcCall(true) + "," + jsonRpcCall(false) + "]\n";
    }
    case Style::notifying: return jsonRpcCall(true) + "\n" + jsonRpcCall(false) + "\n";
    default: return jsonRpcCall(false) + "\n";
  }
}

void Client::send(bool half) {
  const std::string text = nextText();
  if (!half) return write(text);
  const std::size_t first = static_cast<std::size_t>(draw(1, static_cast<int>(text.size()) - 1));
  unsentHalf_ = text.substr(first);
  write(text.substr(0, first));
}

void Client::finishHalf() {
  if (!record_ || unsentHalf_.empty()) return;
  write(std::exchange(unsentHalf_, {}));
}

void Client::wake() {
  restingOver_ = true;
  if (record_) fill();
}

// Sends what the style wants out now.
void Client::fill() {
  if (!record_ || record_->lastAnswered || !unsentHalf_.empty()) return;
  if (style_ == Style::resting && !restingOver_ && (!record_->calls.empty() || reconnectUntil_)) return;
  const std::size_t wanted = style_ == Style::pipelined ? kOpenOfPipelined : 1;
  while (record_ && open_.size() < wanted) send();
}

void Client::onReply(const std::string& id) {
  for (CallRecord& call : record_->calls) {
    if (call.id != id) continue;
    ++call.answers;
    call.answered = Clock::now();
  }
  open_.erase(id);
}

void Client::takeHttp() {
  while (record_ && !received_.empty()) {
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    error_code error;
    const std::size_t used = parser.put(asio::buffer(received_), error);
    if (!parser.is_done() || order_.empty()) return;
    received_.erase(0, used);
    const std::string id = order_.front();
    order_.pop_front();
    onReply(id);
    record_->lastAnswered = !parser.get().keep_alive();
  }
}

void Client::takeJsonRpc() {
  for (std::size_t end = 0; (end = received_.find('\n')) != std::string::npos;) {
    const json text = json::parse(received_.substr(0, end), nullptr, false);
    received_.erase(0, end + 1);
    for (const json& reply : text.is_array() ? text : json::array({text}))
      if (reply.is_object() && reply.contains("id") && reply["id"].is_string())
        onReply(reply["id"].get<std::string>());
  }
}

}  // namespace cairnjunction::soak

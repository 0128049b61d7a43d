#include "soak/slow_answer_client.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <nlohmann/json.hpp>
#include <utility>

namespace cairnjunction::soak {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;
using nlohmann::json;
using std::chrono::milliseconds;
using End = PlannedRequest::End;

constexpr milliseconds kReconnectDelay{20};
constexpr milliseconds kRejectedPause{50};
constexpr int kLongestThinkMs = 10;
constexpr std::uint64_t kTagsOfEach = 1'000'000;
constexpr int kRejectedCode = -32001;
constexpr std::uint64_t kBodyMost = 64 << 20;

}  // namespace

SlowAnswerClient::SlowAnswerClient(asio::io_context& io, const tcp::endpoint& gateway,
                                   ClientProtocol protocol, std::uint64_t number, std::uint64_t seed,
                                   DrawRequest draw, std::deque<PlannedRequest>& requests)
    : gateway_(gateway),
      protocol_(protocol),
      name_("c" + std::to_string(number)),
      firstTag_(number * kTagsOfEach),
      random_(seed),
      draw_(std::move(draw)),
      requests_(requests),
      socket_(io),
      timer_(io) {}

void SlowAnswerClient::close() {
  finishing_ = true;
  current_ = nullptr;
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

void SlowAnswerClient::connect() {
  if (finishing_ || !reconnects_) return;
  error_code ignored;
  socket_.close(ignored);
  buffer_.clear();
  line_.clear();
  socket_.async_connect(gateway_, [self = shared_from_this()](error_code ec) {
    if (ec) return self->after(kReconnectDelay, &SlowAnswerClient::connect);
    error_code notSet;
    self->socket_.set_option(tcp::no_delay(true), notSet);
    self->send();
  });
}

void SlowAnswerClient::after(milliseconds delay, void (SlowAnswerClient::*action)()) {
  timer_.expires_after(delay);
  timer_.async_wait([self = shared_from_this(), action](error_code ec) {
    if (!ec) (self.get()->*action)();
  });
}

void SlowAnswerClient::send() {
  if (finishing_) return;
  PlannedRequest request = draw_(random_);
  request.id = name_ + "-" + std::to_string(++sent_);
  request.protocol = protocol_;
  request.plan.tag = firstTag_ + static_cast<std::uint64_t>(sent_);
  requests_.push_back(request);
  current_ = &requests_.back();
  text_ = protocol_ == ClientProtocol::http ? httpText() : jsonRpcText();
  asio::async_write(socket_, asio::buffer(text_), [self = shared_from_this()](error_code ec, std::size_t) {
    if (self->current_ == nullptr) return;
    self->current_->sent = Clock::now();  // a request's time counts from its last byte
    if (ec) self->endRequest(End::closed, false);
    else self->receive();
  });
  current_->sent = Clock::now();
}

std::string SlowAnswerClient::httpText() const {
  const PlannedRequest& request = *current_;
  const bool safe = request.className == "cut-plan";
  std::string text = std::string(safe ? "GET" : "POST") + " /" + request.className + "?" +
                     request.plan.text() + " HTTP/1.1\r\nHost: api.internal\r\nX-Request-Id: " + request.id +
                     "\r\nX-Class: " + request.className +
                     "\r\nX-Deadline-Ms: " + std::to_string(request.deadline.count()) + "\r\n";
  if (request.className == "log-in") text += "Idempotency-Key: key-" + request.id + "\r\n";
  if (!safe) text += "Content-Length: " + std::to_string(request.plan.requestBytes) + "\r\n";
  return text + "\r\n" + std::string(safe ? 0 : request.plan.requestBytes, 'r');
}

std::string SlowAnswerClient::jsonRpcText() const {
  const PlannedRequest& request = *current_;
  json params = {{"plan", request.plan.text()}, {"wait", request.deadline.count()}};
  if (request.className == "log-in") params["key"] = "key-" + request.id;
  return json{{"jsonrpc", "2.0"}, {"id", request.id}, {"method", request.className}, {"params", params}}
             .dump() +
         "\n";
}

void SlowAnswerClient::receive() {
  if (protocol_ == ClientProtocol::jsonRpc) {
    asio::async_read_until(
        socket_, asio::dynamic_buffer(line_), '\n',
        [self = shared_from_this()](error_code ec, std::size_t bytes) { self->onJsonRpcLine(ec, bytes); });
    return;
  }
  response_.emplace();
  response_->body_limit(kBodyMost);
  http::async_read_header(socket_, buffer_, *response_,
                          [self = shared_from_this()](error_code ec, std::size_t) { self->onHttpHead(ec); });
}

void SlowAnswerClient::onHttpHead(error_code ec) {
  if (current_ == nullptr) return;
  if (ec) return endRequest(End::closed, false);
  if (response_->get().result() == http::status::ok) current_->begun = Clock::now();
  http::async_read(socket_, buffer_, *response_, [self = shared_from_this()](error_code failed, std::size_t) {
    self->onHttpResponse(failed);
  });
}

void SlowAnswerClient::onHttpResponse(error_code ec) {
  if (current_ == nullptr) return;
  if (ec) return endRequest(End::broken, false);
  const auto& message = response_->get();
  const bool keep = message.keep_alive();
  switch (message.result()) {
    case http::status::ok: {
      const bool right = message.body() == plannedBody(current_->plan);
      return endRequest(right ? End::served : End::servedWrong, keep);
    }
    case http::status::service_unavailable:
    case http::status::too_many_requests: return endRequest(End::rejected, keep);
    default: return endRequest(End::failed, keep);
  }
}

void SlowAnswerClient::onJsonRpcLine(error_code ec, std::size_t bytes) {
  if (current_ == nullptr) return;
  if (ec) return endRequest(line_.empty() ? End::closed : End::broken, false);
  const json answer = json::parse(line_.substr(0, bytes), nullptr, false);
  line_.erase(0, bytes);
  if (answer.is_discarded() || answer.value("id", json()) != current_->id)
    return endRequest(End::servedWrong, true);
  if (answer.contains("error"))
    return endRequest(answer["error"].value("code", 0) == kRejectedCode ? End::rejected : End::failed, true);
  std::string expected = plannedBody(current_->plan);
  if (expected.empty()) expected = "null";
  endRequest(answer["result"].dump() == expected ? End::served : End::servedWrong, true);
}

void SlowAnswerClient::endRequest(End end, bool keep) {
  current_->end = end;
  current_->ended = Clock::now();
  current_ = nullptr;
  milliseconds think(std::uniform_int_distribution<int>(0, kLongestThinkMs)(random_));
  if (end == End::rejected) think += kRejectedPause;
  if (!keep) think += kReconnectDelay;
  after(think, keep ? &SlowAnswerClient::send : &SlowAnswerClient::connect);
}

}  // namespace cairnjunction::soak

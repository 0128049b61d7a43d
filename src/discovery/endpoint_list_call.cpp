#include "discovery/endpoint_list_call.hpp"

#include <algorithm>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <utility>

#include "common/socket_io.hpp"

namespace cairnjunction {
namespace {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using boost::system::error_code;
using Clock = OneShotTimer::Clock;

constexpr std::uint64_t kMaxListBytes = 4 << 20;  // some ten thousand endpoints
// A list that comes slowly: the longest pause in it behind the call's timeout, and how long it may take in
// all.
constexpr std::chrono::milliseconds kMaxListPause{150};
constexpr std::chrono::milliseconds kMaxListTransfer{4000};

EndpointListResult parseBody(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (json.is_discarded()) return EndpointListFailure::malformed;
  try {
    return parseEndpointList(json);
  } catch (const EndpointListError&) {
    return EndpointListFailure::malformed;
  }
}

EndpointListFailure failureOf(error_code ec) {
  // Beast reports a truncated response as one of its own errors, although the connection failed.
  const bool truncated = ec == http::error::end_of_stream || ec == http::error::partial_message;
  const bool connectionError =
      truncated || ec.category() != http::make_error_code(http::error::end_of_stream).category();
  return connectionError ? EndpointListFailure::connectionFailed : EndpointListFailure::malformed;
}

}  // namespace

EndpointListCall::EndpointListCall(boost::asio::io_context& io, tcp::endpoint server)
    : server_(std::move(server)), socket_(io), deadline_(io) {}

void EndpointListCall::start(const std::string& target, std::chrono::milliseconds connectTimeout,
                             std::chrono::milliseconds callTimeout, ResultCallback onResult) {
  onResult_ = std::move(onResult);
  request_ = "GET " + target + " HTTP/1.1\r\nHost: " + textOf(server_) + "\r\n\r\n";
  parser_.emplace();
  parser_->body_limit(kMaxListBytes);
  const auto now = Clock::now();
  const auto callDeadline = now + callTimeout;
  latestEnd_ = callDeadline + kMaxListTransfer;
  receivedBefore_ = 0;
  awaitsList_ = false;
  if (mayReuseConnection()) {
    setDeadline(callDeadline);
    return write();
  }
  error_code ignored;
  socket_.close(ignored);
  buffer_.clear();
  setDeadline(std::min(callDeadline, now + connectTimeout));
  socket_.async_connect(server_, [self = shared_from_this(), callDeadline](error_code ec) {
    if (!self->onResult_) return;
    if (ec) return self->finish(EndpointListFailure::connectionFailed);
    error_code notSet;
    self->socket_.set_option(tcp::no_delay(true), notSet);
    self->setDeadline(callDeadline);
    self->write();
  });
}

// What has come since the last response would be taken for the next one.
bool EndpointListCall::mayReuseConnection() {
  return socket_.is_open() && buffer_.size() == 0 && peekInput(socket_) == SocketInput::none;
}

void EndpointListCall::cancel() {
  onResult_ = nullptr;
  deadline_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

void EndpointListCall::setDeadline(Clock::time_point deadline) {
  deadline_.startAt(deadline, [self = shared_from_this()] {
    if (self->onResult_) self->onDeadline();
  });
}

// A list that is still coming would come as slowly at the next call, and never be whole.
void EndpointListCall::onDeadline() {
  if (!awaitsList_) return finish(EndpointListFailure::timedOut);
  const auto now = Clock::now();
  const std::size_t received = receivedBytes();
  const bool progresses = received > receivedBefore_ || peekInput(socket_) == SocketInput::bytes;
  if (!progresses || now >= latestEnd_) return finish(EndpointListFailure::timedOut);
  receivedBefore_ = received;
  setDeadline(now + kMaxListPause);
}

std::size_t EndpointListCall::receivedBytes() const { return buffer_.size() + parser_->get().body().size(); }

void EndpointListCall::write() {
  awaitsList_ = true;
  asyncWriteAll(
      socket_, boost::asio::buffer(request_), [self = shared_from_this()](error_code ec, std::size_t) {
        if (!self->onResult_) return;
        if (ec) return self->finish(EndpointListFailure::connectionFailed);
        http::async_read(self->socket_, self->buffer_, *self->parser_,
                         [self](error_code readError, std::size_t) { self->onResponse(readError); });
      });
}

void EndpointListCall::onResponse(error_code ec) {
  if (!onResult_) return;
  if (ec) return finish(failureOf(ec));
  if (parser_->get().result() != http::status::ok) return finish(EndpointListFailure::rejected);
  finish(parseBody(parser_->get().body()));
}

void EndpointListCall::finish(const Result& result) {
  deadline_.cancel();
  error_code ignored;
  if (!std::holds_alternative<EndpointList>(result) || !parser_->get().keep_alive()) socket_.close(ignored);
  // Cleared first, because the callback may start the next call.
  const ResultCallback onResult = std::exchange(onResult_, nullptr);
  onResult(result);
}

}  // namespace cairnjunction

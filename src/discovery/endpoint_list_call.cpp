#include "discovery/endpoint_list_call.hpp"

#include <algorithm>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

namespace cairnjunction {
namespace {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

constexpr std::uint64_t kListMost = 4 << 20;  // bytes of one list: some ten thousand hosts

std::optional<EndpointList> listIn(const std::string& body) {
  const auto json = nlohmann::json::parse(body, nullptr, false);
  if (json.is_discarded()) return std::nullopt;
  try {
    return parseEndpointList(json);
  } catch (const std::invalid_argument&) {  // nonsense is no list
    return std::nullopt;
  }
}

}  // namespace

EndpointListCall::EndpointListCall(boost::asio::io_context& io, tcp::endpoint server)
    : server_(std::move(server)), socket_(io), timer_(io) {}

void EndpointListCall::start(const std::string& target, std::chrono::milliseconds connect,
                             std::chrono::milliseconds most, Ended ended) {
  ended_ = std::move(ended);
  request_ = {http::verb::get, target, 11};
  request_.set(http::field::host, textOf(server_));
  parser_.emplace();
  parser_->body_limit(kListMost);
  const auto end = Clock::now() + most;
  if (socket_.is_open()) {
    limit(end);
    return write();
  }
  buffer_.clear();
  limit(std::min(end, Clock::now() + connect));
  socket_.async_connect(server_, [self = shared_from_this(), end](error_code ec) {
    if (!self->ended_) return;
    if (ec) return self->finish({});
    error_code ignored;
    self->socket_.set_option(tcp::no_delay(true), ignored);
    self->limit(end);
    self->write();
  });
}

void EndpointListCall::giveUp() {
  ended_ = nullptr;
  ++turn_;
  timer_.cancel();
  error_code ignored;
  socket_.close(ignored);
}

void EndpointListCall::limit(Clock::time_point at) {
  timer_.expires_at(at);
  timer_.async_wait([self = shared_from_this(), mine = ++turn_](error_code ec) {
    if (!ec && self->ended_ && mine == self->turn_) self->finish({std::nullopt, true});
  });
}

void EndpointListCall::write() {
  http::async_write(socket_, request_, [self = shared_from_this()](error_code ec, std::size_t) {
    if (!self->ended_) return;
    if (ec) return self->finish({});
    http::async_read(self->socket_, self->buffer_, *self->parser_,
                     [self](error_code readError, std::size_t) { self->answered(readError); });
  });
}

void EndpointListCall::answered(error_code ec) {
  if (!ended_) return;
  const bool good = !ec && parser_->get().result() == http::status::ok;
  finish({good ? listIn(parser_->get().body()) : std::nullopt});
}

void EndpointListCall::finish(const Result& result) {
  ++turn_;
  timer_.cancel();
  error_code ignored;
  if (!result.list || !parser_->get().keep_alive()) socket_.close(ignored);
  const Ended ended = std::exchange(ended_, nullptr);
  ended(result);
}

}  // namespace cairnjunction

#include "discovery/endpoint_watch.hpp"

#include <utility>

namespace cairnjunction {

using tcp = boost::asio::ip::tcp;

EndpointWatch::EndpointWatch(boost::asio::io_context& io, const DiscoveryTimeouts& timeouts,
                             RandomDuration& random, Callbacks callbacks)
    : io_(io), timeouts_(timeouts), random_(random), callbacks_(std::move(callbacks)), overdueTimer_(io) {}

void EndpointWatch::open(const tcp::endpoint& server, std::optional<std::int64_t> version) {
  stop();
  state_ = State::opening;
  send(server, openingRequest(version, timeouts_));
}

void EndpointWatch::resume(Connection connection, const tcp::endpoint& server, std::int64_t version) {
  stop();
  connection_ = std::move(connection);
  state_ = State::waiting;
  // Random, so that gateways whose watches start together do not send their next long polls together.
  const auto wait = random_.between(timeouts_.watchMin, timeouts_.watchMax);
  send(server, longPollRequest(version, wait, timeouts_));
  overdueTimer_.startAfter(wait + timeouts_.watchGrace, [this] { onOverdue(); });
}

void EndpointWatch::stop() {
  overdueTimer_.cancel();
  closeConnection();
  state_ = State::off;
}

void EndpointWatch::closeConnection() {
  if (const Connection connection = std::exchange(connection_, nullptr)) connection->cancel();
}

void EndpointWatch::send(const tcp::endpoint& server, const ListRequest& request) {
  if (!connection_ || !connection_->reusable()) connection_ = std::make_shared<EndpointListCall>(io_, server);
  connection_->start(
      request.target, timeouts_.connect, request.timeout,
      [this, kind = request.kind](const EndpointListResult& result) { onCallEnded(kind, result); });
}

void EndpointWatch::onCallEnded(CallKind kind, const EndpointListResult& result) {
  // Moved out first, so that stop() leaves the connection open for the next call.
  const Connection connection = std::exchange(connection_, nullptr);
  stop();
  callbacks_.onAnswer({kind, connection, result});
}

void EndpointWatch::onOverdue() {
  state_ = State::overdue;
  callbacks_.onOverdue();
}

}  // namespace cairnjunction

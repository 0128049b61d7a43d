#include "discovery/retrying_call.hpp"

#include <utility>

namespace cairnjunction {

RetryingCall::RetryingCall(boost::asio::io_context& io, const DiscoveryTimeouts& timeouts,
                           RandomDuration& random)
    : io_(io),
      timeouts_(timeouts),
      random_(random),
      backoff_(timeouts.retryInitialBackoff, timeouts.retryMaxBackoff),
      retryTimer_(io) {}

void RetryingCall::send(const boost::asio::ip::tcp::endpoint& server, const ListRequest& request,
                        EndpointListCall::ResultCallback onResult) {
  if (!connection_ || !connection_->reusable()) connection_ = std::make_shared<EndpointListCall>(io_, server);
  state_ = State::pending;
  connection_->start(request.target, timeouts_.connect, request.timeout,
                     [this, onResult = std::move(onResult)](const EndpointListResult& result) {
                       state_ = State::idle;
                       onResult(result);
                     });
}

void RetryingCall::retryAfterBackoff(std::function<void()> sendAttempt) {
  closeConnection();
  state_ = State::backingOff;
  retryTimer_.startAfter(backoff_.next(random_), std::move(sendAttempt));
}

void RetryingCall::cancel() {
  retryTimer_.cancel();
  closeConnection();
  backoff_.reset();
  state_ = State::idle;
}

std::shared_ptr<EndpointListCall> RetryingCall::releaseConnection() {
  return std::exchange(connection_, nullptr);
}

void RetryingCall::closeConnection() {
  if (const auto connection = releaseConnection()) connection->cancel();
}

}  // namespace cairnjunction

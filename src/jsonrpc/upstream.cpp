#include "jsonrpc/upstream.hpp"

#include <boost/asio/post.hpp>
#include <memory>
#include <utility>

namespace cairnjunction::jsonrpc {

using policy::ConnectionUse;
using policy::EndpointId;
using policy::FailureReason;
using policy::Outcome;

Upstream::Upstream(boost::asio::io_context& io, const Limits& limits, Ended ended, ResponseDelayed delayed)
    : io_(io),
      delayed_(std::move(delayed)),
      attempts_(std::move(ended)),
      pool_(io, limits, connectionCounts(), [this](EndpointId endpoint) {
        return std::make_shared<UpstreamConnection>(io_, pool_, attempts_, delayed_, endpoint);
      }) {}

Upstream::~Upstream() { closeAll(); }

void Upstream::closeAll() {
  if (std::exchange(stopped_, true)) return;
  attempts_.stopReporting();
  onConnections(nullptr);
  pool_.stop();
}

void Upstream::start(AttemptKey key, EndpointId endpoint, const Call& call, const AttemptTimeouts& timeouts) {
  auto* const entry = pool_.endpoints().find(endpoint);
  if (entry == nullptr) return attempts_.endUnconnected(key, endpoint, FailureReason::cancelledBeforeSend);
  const auto connection = pool_.acquire(*entry, endpoint);
  if (!connection) return attempts_.endUnconnected(key, endpoint, FailureReason::noDescriptor);
  if (connection->add(key, call, timeouts) == UpstreamConnection::AddResult::added) return;
  boost::asio::post(io_, guard_.guard([this, key, endpoint] {
    attempts_.end(
        {key, endpoint, Outcome::invalidRequest, {}, {}, FailureReason::unknown, ConnectionUse::none});
  }));
}

void Upstream::cancel(AttemptKey key) {
  if (const auto connection = attempts_.find(key)) connection->cancel(key, Outcome::cancelled);
}

void Upstream::cancelIfUnsent(AttemptKey key) {
  if (const auto connection = attempts_.find(key))
    connection->cancelIfUnsent(key, FailureReason::cancelledBeforeSend);
}

}  // namespace cairnjunction::jsonrpc

// Runs attempts over HTTP/1.1.
#include "http/upstream.hpp"

#include <chrono>
#include <memory>
#include <utility>

#include "upstream/attempt_deadlines.hpp"

namespace cairnjunction {

using policy::EndpointId;
using policy::FailureReason;

HttpUpstream::HttpUpstream(boost::asio::io_context& io, const Limits& limits, Ended ended,
                           ResponseEvents events)
    : events_(std::move(events)),
      attempts_(std::move(ended)),
      pool_(io, limits, connectionCounts(), [this, &io](EndpointId endpoint) {
        return std::make_shared<HttpConnection>(io, pool_, attempts_, events_, endpoint);
      }) {
  pool_.onUnsolicitedBytes([this](const UnsolicitedBytes& found) { onUnsolicited(found); });
}

HttpUpstream::~HttpUpstream() { closeAll(); }

void HttpUpstream::closeAll() {
  onConnections(nullptr);
  for (const auto& connection : attempts_.takeAll()) connection->close();
  pool_.stop();
}

void HttpUpstream::onUnsolicited(const UnsolicitedBytes& found) {
  ++unsolicitedBytes_;
  if (seen_) seen_(found);
  if (found.after == UnsolicitedAfter::response) return;  // the silence of the others covers that
  for (const auto& connection : attempts_.connections())
    if (connection->endpoint() == found.endpoint) connection->onEndpointDistrusted(found.after);
}

void HttpUpstream::start(AttemptKey key, EndpointId endpoint, const Call& call,
                         const AttemptTimeouts& timeouts) {
  const AttemptDeadlines deadlines(timeouts, std::chrono::steady_clock::now());
  auto* const entry = pool_.endpoints().find(endpoint);
  if (entry == nullptr) return attempts_.endUnconnected(key, endpoint, FailureReason::cancelledBeforeSend);
  const auto connection = pool_.acquire(*entry, endpoint);
  if (!connection) return attempts_.endUnconnected(key, endpoint, FailureReason::noDescriptor);
  attempts_.add(key, connection);
  connection->start(key, entry->address, call, deadlines);
}

void HttpUpstream::cancel(AttemptKey key) {
  if (const auto connection = attempts_.find(key)) connection->cancel();
}

void HttpUpstream::cancelIfUnsent(AttemptKey key) {
  if (const auto connection = attempts_.find(key)) connection->cancelIfUnsent();
}

}  // namespace cairnjunction

// Runs attempts over HTTP/1.1: acquires a connection for each and reports its outcome. Never retries by
// itself.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <utility>

#include "cairnjunction/load_balancer.hpp"
#include "core/attempt.hpp"
#include "core/call.hpp"
#include "http/upstream_connection.hpp"
#include "http/upstream_pool.hpp"
#include "upstream/descriptor_quota.hpp"
#include "upstream/endpoint_upstream.hpp"

namespace cairnjunction {

class HttpUpstream final : public EndpointUpstream {
 public:
  using Limits = HttpConnectionLimits;
  using Ended = HttpConnection::Attempts::Ended;

  // `ended` is called once for each attempt; it must not destroy the upstream. Without `events.started` no
  // response is streamed: one whose body exceeds kMaxBufferedResponseBytes counts as malformed.
  HttpUpstream(boost::asio::io_context& io, const Limits& limits, Ended ended, ResponseEvents events = {});
  ~HttpUpstream() override;
  HttpUpstream(const HttpUpstream&) = delete;
  HttpUpstream& operator=(const HttpUpstream&) = delete;

  void setLimits(const Limits& limits) { pool_.setLimits(limits); }
  // Besides the connection limit, each connection acquires a descriptor from `quota`, which is shared with
  // other users and must outlive the upstream. Null: only the limit applies.
  void shareDescriptors(DescriptorQuota* quota) { pool_.setDescriptorQuota(quota); }

  // `seen` is called at each finding of unsolicited bytes; it must not call back into the upstream.
  void onUnsolicitedBytes(std::function<void(const UnsolicitedBytes&)> seen) { seen_ = std::move(seen); }
  std::uint64_t unsolicitedBytes() const { return unsolicitedBytes_; }  // findings since the start

  void start(AttemptKey key, policy::EndpointId endpoint, const Call& call,
             const AttemptTimeouts& timeouts) override;
  void cancel(AttemptKey key) override;
  void cancelIfUnsent(AttemptKey key) override;
  void closeIdle(policy::EndpointId endpoint) override { pool_.closeIdle(endpoint); }
  void forget(policy::EndpointId endpoint) override { pool_.forget(endpoint); }
  bool updateEndpoint(policy::EndpointId endpoint, const boost::asio::ip::tcp::endpoint& address,
                      bool serving) override {
    return pool_.updateEndpoint(endpoint, address, serving);
  }
  void removeAllEndpoints() override { pool_.endpoints().setNoneServing(); }
  void stop() override { closeAll(); }
  std::size_t endpointCount() const override { return pool_.endpointCount(); }
  std::uint64_t attemptsWritten() const override { return attempts_.written(); }

 private:
  void closeAll();
  void onUnsolicited(const UnsolicitedBytes& found);

  const ResponseEvents events_;
  HttpConnection::Attempts attempts_;
  HttpConnectionPool pool_;
  std::function<void(const UnsolicitedBytes&)> seen_;  // may be empty
  std::uint64_t unsolicitedBytes_ = 0;
};

}  // namespace cairnjunction

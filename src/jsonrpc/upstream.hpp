// Attempts over JSON-RPC: many on each connection. How each ends is mapped to an Outcome as
// docs/design/jsonrpc.md lists. Never repeats an attempt by itself.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>

#include "cairnjunction/load_balancer.hpp"
#include "common/callback_guard.hpp"
#include "core/attempt.hpp"
#include "core/call.hpp"
#include "jsonrpc/upstream_connection.hpp"
#include "jsonrpc/upstream_pool.hpp"
#include "upstream/endpoint_upstream.hpp"

namespace cairnjunction::jsonrpc {

class Upstream final : public EndpointUpstream {
 public:
  using Limits = UpstreamLimits;
  using Ended = UpstreamConnection::Attempts::Ended;

  // `ended` is called once for each attempt; it must not destroy the upstream. No response is streamed.
  Upstream(boost::asio::io_context& io, const Limits& limits, Ended ended, ResponseDelayed delayed = nullptr);
  ~Upstream() override;
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  void setLimits(std::size_t connections, policy::Duration connectTimeout, policy::Duration idleClose) {
    pool_.setLimits(connections, connectTimeout, idleClose);
  }
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

  boost::asio::io_context& io_;
  const ResponseDelayed delayed_;
  UpstreamConnection::Attempts attempts_;
  UpstreamPool pool_;
  bool stopped_ = false;
  CallbackGuard guard_;  // of the ends that are posted
};

}  // namespace cairnjunction::jsonrpc

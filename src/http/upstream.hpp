// Attempts over HTTP/1.1: connections to hosts, one attempt at a time on each. Maps how a socket ends to an
// Outcome; it sends nothing again by itself.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "common/callback_guard.hpp"
#include "core/call.hpp"
#include "http/message.hpp"
#include "upstream/descriptor_quota.hpp"
#include "upstream/endpoint_upstream.hpp"

namespace cairnjunction {

class HttpUpstream final : public EndpointUpstream {
 public:
  struct Limits {
    std::size_t connections = 256;      // over all hosts
    policy::Duration connectTimeout{};  // for a new one
    policy::Duration idleClose{};       // the host closes idle ones after this at the latest; 0 = never
    // Nothing is written to a connection for so long after an answer. Danger: a host that answers twice does
    // it some milliseconds late, and the second answer would be taken for that to the next request.
    policy::Duration quiet = std::chrono::milliseconds(5);
  };
  using Ended = std::function<void(AttemptOutcome)>;

  // Without `started` no answer is passed on while it comes: one above kHeldAnswer is spoilt.
  HttpUpstream(boost::asio::io_context& io, Limits limits, Ended ended, ResponseStarted started = nullptr);
  ~HttpUpstream() override;
  HttpUpstream(const HttpUpstream&) = delete;
  HttpUpstream& operator=(const HttpUpstream&) = delete;

  void setLimits(const Limits& limits) { limits_ = limits; }
  // Beside the limit each connection is then one of a part shared with others. `share` must outlive us.
  void shareDescriptors(DescriptorQuota* share) { share_ = share; }
  bool updateEndpoint(policy::EndpointId host, const boost::asio::ip::tcp::endpoint& endpoint,
                      bool serving) override;
  void removeAllEndpoints() override;
  void forget(policy::EndpointId host) override;
  // Sends on the latest used idle connection if there is one.
  void start(AttemptKey key, policy::EndpointId host, const Call& call,
             const AttemptTimeouts& limits) override;
  void cancel(AttemptKey key) override;
  void cancelIfUnsent(AttemptKey key) override;
  void closeIdle(policy::EndpointId host) override;
  void stop() override;
  std::size_t connectionCount() const override { return open_; }
  std::size_t endpointCount() const override { return hosts_.size(); }

 private:
  struct Connection;
  struct Host {
    boost::asio::ip::tcp::endpoint endpoint;
    bool serving = false;
    std::vector<std::shared_ptr<Connection>> idle;  // the latest used last
  };
  std::shared_ptr<Connection> takeIdle(Host& host);
  bool closeOldestIdle();
  bool outlived(const Connection& connection) const;
  void dropIdle(const std::shared_ptr<Connection>& connection);
  void sweep();

  boost::asio::io_context& io_;
  Limits limits_;
  Ended ended_;
  ResponseStarted started_;
  DescriptorQuota* share_ = nullptr;  // null: the limit alone
  std::unordered_map<policy::EndpointId, Host> hosts_;
  std::unordered_map<AttemptKey, std::shared_ptr<Connection>, AttemptKeyHash> busy_;
  std::size_t open_ = 0;
  boost::asio::steady_timer sweeper_;
  CallbackGuard lifetime_;  // of what the event loop is still to call
};

}  // namespace cairnjunction

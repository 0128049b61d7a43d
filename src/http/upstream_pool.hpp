// The connections of an HTTP upstream: opens them within its limits, keeps idle ones for each endpoint and
// closes those that are of no more use.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

#include "cairnjunction/load_balancer.hpp"
#include "http/upstream_connection.hpp"
#include "upstream/connection_counts.hpp"
#include "upstream/descriptor_quota.hpp"
#include "upstream/endpoint_table.hpp"
#include "upstream/periodic_timer.hpp"

namespace cairnjunction {

struct HttpConnectionLimits {
  std::size_t connections = 256;      // over all endpoints
  policy::Duration connectTimeout{};  // for a new connection
  policy::Duration idleClose{};       // endpoints close idle ones after this at the latest; 0 = never
  // Nothing is written to a connection for so long after an answer. An endpoint that answers twice does it
  // some milliseconds late, and the second answer would be taken for the answer to the next request.
  policy::Duration quiet = std::chrono::milliseconds(5);
};

class HttpConnectionPool {
 public:
  using ConnectionPtr = std::shared_ptr<HttpConnection>;
  using Endpoints = EndpointTable<HttpConnection>;  // with the idle connections, the latest used last
  using MakeConnection = std::function<ConnectionPtr(policy::EndpointId)>;

  // `counts` must outlive the pool.
  HttpConnectionPool(boost::asio::io_context& io, const HttpConnectionLimits& limits,
                     ConnectionCounts& counts, MakeConnection makeConnection);
  HttpConnectionPool(const HttpConnectionPool&) = delete;
  HttpConnectionPool& operator=(const HttpConnectionPool&) = delete;

  const HttpConnectionLimits& limits() const { return limits_; }
  void setLimits(const HttpConnectionLimits& limits) { limits_ = limits; }
  // Beside the limit, each connection takes one of these. Must outlive the pool; null: the limit alone.
  void setDescriptorQuota(DescriptorQuota* quota) { descriptorQuota_ = quota; }

  Endpoints& endpoints() { return endpoints_; }
  std::size_t endpointCount() const { return endpoints_.size(); }
  ConnectionCounts& counts() { return counts_; }
  // As EndpointUpstream has them.
  bool updateEndpoint(policy::EndpointId endpoint, const boost::asio::ip::tcp::endpoint& address,
                      bool serving);
  void forget(policy::EndpointId endpoint);
  void closeIdle(policy::EndpointId endpoint);
  void stop();  // closes the idle ones

  // A connection for an attempt to an endpoint of the table: an idle one, or a new one that is not connected
  // yet, for which an idle one is closed if need be. Null if there is no room for another one.
  ConnectionPtr acquire(Endpoints::Entry& entry, policy::EndpointId endpoint);

  // From its connections. One that has become idle is kept, if its endpoint is in the table;
  void addIdle(ConnectionPtr connection);
  void closeIdle(const ConnectionPtr& connection);  // one that is kept is of no more use;
  // one was closed. `onlyStreaming`: it was excluded from its endpoint's counts.
  void onClosed(policy::EndpointId endpoint, bool established, bool onlyStreaming);

 private:
  ConnectionPtr takeIdle(Endpoints::Entry& entry);
  bool mayOpen();
  bool closeOldestIdle();
  bool isIdleTooLong(const HttpConnection& connection) const;
  void closeOutdated();

  HttpConnectionLimits limits_;
  ConnectionCounts& counts_;
  const MakeConnection makeConnection_;
  DescriptorQuota* descriptorQuota_ = nullptr;
  Endpoints endpoints_;
  PeriodicTimer idleCheck_;  // runs closeOutdated()
};

}  // namespace cairnjunction

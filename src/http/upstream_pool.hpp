// The connections of an HTTP upstream: opens them within its limits, pools the idle ones of each endpoint and
// closes those that can't be used any more.
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
  std::size_t connections = 256;      // maximum, to all endpoints together
  policy::Duration connectTimeout{};  // for establishing a connection
  policy::Duration idleClose{};       // idle time after which endpoints may close a connection; 0 = never
  // Quiet period: no request is written to a connection until this time after its last response. A faulty
  // endpoint that responds twice sends the second response some milliseconds late, and it would be taken for
  // the response to the next request.
  policy::Duration quiet = std::chrono::milliseconds(5);
};

class HttpConnectionPool {
 public:
  using ConnectionPtr = std::shared_ptr<HttpConnection>;
  // Each endpoint with its idle connections, the most recently used last.
  using Endpoints = EndpointTable<HttpConnection>;
  using MakeConnection = std::function<ConnectionPtr(policy::EndpointId)>;

  // `counts` must outlive the pool.
  HttpConnectionPool(boost::asio::io_context& io, const HttpConnectionLimits& limits,
                     ConnectionCounts& counts, MakeConnection makeConnection);
  HttpConnectionPool(const HttpConnectionPool&) = delete;
  HttpConnectionPool& operator=(const HttpConnectionPool&) = delete;

  const HttpConnectionLimits& limits() const { return limits_; }
  void setLimits(const HttpConnectionLimits& limits) { limits_ = limits; }
  // Besides the connection limit, each connection acquires a descriptor from `quota`, which must outlive the
  // pool. Null: only the limit applies.
  void setDescriptorQuota(DescriptorQuota* quota) { descriptorQuota_ = quota; }

  Endpoints& endpoints() { return endpoints_; }
  std::size_t endpointCount() const { return endpoints_.size(); }
  ConnectionCounts& counts() { return counts_; }
  // These implement the functions of EndpointUpstream with the same names.
  bool updateEndpoint(policy::EndpointId endpoint, const boost::asio::ip::tcp::endpoint& address,
                      bool serving);
  void forget(policy::EndpointId endpoint);
  void closeIdle(policy::EndpointId endpoint);
  void stop();  // closes all idle connections

  // A connection for an attempt to an endpoint of the table: an idle one, or a new one that is not connected
  // yet. At a limit the longest idle connection is closed for it. Null if a limit is reached and none is
  // idle.
  ConnectionPtr acquire(Endpoints::Entry& entry, policy::EndpointId endpoint);

  // Called by the connections. Adds one that has become idle, if its endpoint is in the table.
  void addIdle(ConnectionPtr connection);
  // Removes an idle connection that can't be used any more, and closes it.
  void closeIdle(const ConnectionPtr& connection);
  // A connection was closed. `established`: it had been connected; `onlyStreaming`: it was excluded from the
  // counts of its endpoint.
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

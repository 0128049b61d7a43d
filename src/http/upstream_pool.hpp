// The connections of an HTTP upstream: opens them within its limits, pools the idle ones of each endpoint and
// closes those that can't be used any more.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <unordered_set>
#include <utility>

#include "cairnjunction/load_balancer.hpp"
#include "common/memory_account.hpp"
#include "http/upstream_connection.hpp"
#include "upstream/connection_counts.hpp"
#include "upstream/connection_trust.hpp"
#include "upstream/descriptor_quota.hpp"
#include "upstream/endpoint_table.hpp"
#include "upstream/periodic_timer.hpp"

namespace cairnjunction {

struct HttpConnectionLimits {
  std::size_t connections = 256;      // maximum, to all endpoints together
  policy::Duration connectTimeout{};  // for establishing a connection
  policy::Duration idleClose{};       // idle time after which endpoints may close a connection; 0 = never
  SilenceSettings silence = {};       // before a request is written to a connection
  // Memory for responses that are not passed on yet, in bytes, and the account that they are charged to.
  std::size_t responseBytes = std::numeric_limits<std::size_t>::max();
  std::shared_ptr<MemoryAccount> memory = nullptr;  // null: they are not charged
  // Longest silence between two reads of a response that is streamed. Its client can't tell a pause of the
  // endpoint from its end, so a response is broken off only after more than an endpoint pauses.
  policy::Duration responseSilence = std::chrono::seconds(10);
};

// Bytes that an endpoint sent without being asked.
struct UnsolicitedBytes {
  policy::EndpointId endpoint = policy::kNone;
  UnsolicitedAfter after = UnsolicitedAfter::response;
  policy::Duration silence{};  // of the connection until then
  bool first = false;          // the first ones of the endpoint for some time
};

std::string logLine(const UnsolicitedBytes& found, const std::string& endpoint);

class HttpConnectionPool {
 public:
  using ConnectionPtr = std::shared_ptr<HttpConnection>;
  // Each endpoint with its idle connections, the most recently used last.
  using Endpoints = EndpointTable<HttpConnection>;
  using MakeConnection = std::function<ConnectionPtr(policy::EndpointId)>;
  using UnsolicitedBytesSeen = std::function<void(const UnsolicitedBytes&)>;

  // `counts` must outlive the pool.
  HttpConnectionPool(boost::asio::io_context& io, const HttpConnectionLimits& limits,
                     ConnectionCounts& counts, MakeConnection makeConnection);
  HttpConnectionPool(const HttpConnectionPool&) = delete;
  HttpConnectionPool& operator=(const HttpConnectionPool&) = delete;

  const HttpConnectionLimits& limits() const { return limits_; }
  void setLimits(const HttpConnectionLimits& limits) {
    limits_ = limits;
    trust_.configure(limits.silence);
  }
  // `seen` is called at each finding of unsolicited bytes.
  void onUnsolicitedBytes(UnsolicitedBytesSeen seen) { unsolicitedBytesSeen_ = std::move(seen); }
  // Besides the connection limit, each connection acquires a descriptor from `quota`, which must outlive the
  // pool. Null: only the limit applies.
  void setDescriptorQuota(DescriptorQuota* quota) { descriptorQuota_ = quota; }

  Endpoints& endpoints() { return endpoints_; }
  std::size_t endpointCount() const { return endpoints_.size(); }
  ConnectionCounts& counts() { return counts_; }
  ConnectionTrust& trust() { return trust_; }
  // These implement the functions of EndpointUpstream with the same names.
  bool updateEndpoint(policy::EndpointId endpoint, const boost::asio::ip::tcp::endpoint& address,
                      bool serving);
  void forget(policy::EndpointId endpoint);
  void closeIdle(policy::EndpointId endpoint);
  void stop();  // closes all idle connections

  // A connection for an attempt to an endpoint of the table: an idle one that has been silent for long
  // enough, or will be as soon as a new one would, or a new one that is not connected yet. At a limit an idle
  // one of the endpoint, whatever its silence, or a new one for which the longest idle one is closed. Null if
  // a limit is reached and none is idle.
  ConnectionPtr acquire(Endpoints::Entry& entry, policy::EndpointId endpoint);

  // When a request may be written to the connection.
  HttpConnection::Clock::time_point silentEnough(const HttpConnection& connection,
                                                 HttpConnection::Clock::time_point now) const;

  // Called by the connections. The endpoint has sent unsolicited bytes on this one: closes its idle
  // connections that can't be trusted any more.
  void onUnsolicitedBytes(const HttpConnection& connection);
  // Adds one that has become idle, if its endpoint is in the table.
  void addIdle(ConnectionPtr connection);
  // Removes an idle connection that can't be used any more, and closes it.
  void closeIdle(const ConnectionPtr& connection);
  // A connection was closed. `established`: it had been connected; `onlyStreaming`: it was excluded from the
  // counts of its endpoint.
  void onClosed(HttpConnection& connection, bool established, bool onlyStreaming);

 private:
  using Clock = HttpConnection::Clock;

  ConnectionPtr takeSilent(Endpoints::Entry& entry);
  Clock::time_point waitUntil(const Endpoints::Entry& entry, policy::EndpointId endpoint,
                              Clock::time_point now) const;
  ConnectionPtr takeSoonestSilent(Endpoints::Entry& entry, Clock::time_point by);
  ConnectionPtr open(policy::EndpointId endpoint);
  void openSpares(Endpoints::Entry& entry, policy::EndpointId endpoint, bool attemptWaits);
  void closeUsedIdle(policy::EndpointId endpoint);
  bool closeIfUnusable(Endpoints::Entry& entry, const ConnectionPtr& connection);
  bool isAtLimit() const { return counts_.total() >= limits_.connections; }
  bool mayOpen();
  bool closeOldestIdle();
  bool isIdleTooLong(const HttpConnection& connection) const;
  void closeOutdated();

  HttpConnectionLimits limits_;
  ConnectionCounts& counts_;
  const MakeConnection makeConnection_;
  DescriptorQuota* descriptorQuota_ = nullptr;
  ConnectionTrust trust_;
  UnsolicitedBytesSeen unsolicitedBytesSeen_;  // may be empty
  Endpoints endpoints_;
  std::unordered_set<ConnectionPtr> openingSpares_;  // not established
  PeriodicTimer idleCheck_;                          // runs closeOutdated()
};

}  // namespace cairnjunction

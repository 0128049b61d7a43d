// The connections of a JSON-RPC upstream: opens them within its limits, chooses one for each call, and has
// what they share.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "cairnjunction/load_balancer.hpp"
#include "common/callback_guard.hpp"
#include "jsonrpc/frame.hpp"
#include "jsonrpc/parser.hpp"
#include "upstream/connection_counts.hpp"
#include "upstream/endpoint_table.hpp"
#include "upstream/periodic_timer.hpp"

namespace cairnjunction::jsonrpc {

class UpstreamConnection;

struct UpstreamLimits {
  std::size_t connections = 256;      // over all endpoints
  policy::Duration connectTimeout{};  // for a new connection
  policy::Duration idleClose{};       // endpoints close idle ones after this at the latest; 0 = never
  std::uint32_t streams = 32;         // calls on one connection
  Form form = Form::lines;
  std::size_t answerBytes = 64 << 10;  // of one answer; a larger one counts as malformed
  std::size_t unsentBytes = 1 << 20;   // of one connection: an endpoint that reads nothing is sent no more
  // For the answer to a cancel. A longer wait holds up the retry behind an endpoint that is silent; a shorter
  // one lets a pause of the endpoint end the other calls of the connection too.
  std::chrono::milliseconds cancelWait{100};
};

class UpstreamPool {
 public:
  using ConnectionPtr = std::shared_ptr<UpstreamConnection>;
  using Endpoints = EndpointTable<UpstreamConnection>;  // with all connections, the latest opened last
  using MakeConnection = std::function<ConnectionPtr(policy::EndpointId)>;

  // `counts` must outlive the pool.
  UpstreamPool(boost::asio::io_context& io, const UpstreamLimits& limits, ConnectionCounts& counts,
               MakeConnection makeConnection);
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  const UpstreamLimits& limits() const { return limits_; }
  void setLimits(std::size_t connections, policy::Duration connectTimeout, policy::Duration idleClose);

  Endpoints& endpoints() { return endpoints_; }
  std::size_t endpointCount() const { return endpoints_.size(); }
  ConnectionCounts& counts() { return counts_; }
  // As EndpointUpstream has them.
  bool updateEndpoint(policy::EndpointId endpoint, const boost::asio::ip::tcp::endpoint& address,
                      bool serving);
  void forget(policy::EndpointId endpoint);
  void closeIdle(policy::EndpointId endpoint);
  void stop();  // closes all connections

  // A connection for a call to an endpoint of the table: one that has room, or a new one that is connecting.
  // Null if there is no room for another one.
  ConnectionPtr acquire(Endpoints::Entry& entry, policy::EndpointId endpoint);

  // For its connections. One was closed:
  void onClosed(const UpstreamConnection& connection, bool established);
  // One has something to send: it is flushed once the events that are due now are handled, so that calls
  // which begin together are written together.
  void flushSoon(ConnectionPtr connection);
  // Unique among all connections, so that a reply to a call of an earlier connection matches none.
  std::uint64_t nextCallId() { return ++lastCallId_; }
  // Shared by all, for use within one event.
  Parser& parser() { return parser_; }
  std::vector<char>& readBuffer() { return readBuffer_; }

 private:
  static ConnectionPtr fullestWithRoom(Endpoints::Entry& entry);
  static ConnectionPtr latestIdle(Endpoints::Entry& entry);
  bool closeOldestIdle();
  void drainOutdated();

  boost::asio::io_context& io_;
  UpstreamLimits limits_;
  ConnectionCounts& counts_;
  const MakeConnection makeConnection_;
  Endpoints endpoints_;
  std::uint64_t lastCallId_ = 0;
  Parser parser_;
  std::vector<char> readBuffer_;
  std::vector<ConnectionPtr> toFlush_;  // empty unless flushPosted_
  bool flushPosted_ = false;
  PeriodicTimer idleCheck_;  // runs drainOutdated()
  CallbackGuard guard_;      // of the posted flush
};

}  // namespace cairnjunction::jsonrpc

// Attempts over JSON-RPC: connections to workers with many calls on each, matched by id in any order. How
// each ends is mapped to an Outcome as docs/design/jsonrpc.md lists; it sends nothing again by itself.
//
// A call is sent as a request of JSON-RPC 2.0 with one member more, `call`: its name, its key if it has one,
// and the time in milliseconds that it is waited for. `rpc.cancel` (a notification, params {"id": N}) tells
// that it is not wanted any more; the worker then answers it as soon as it can, best by an error.
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
#include "jsonrpc/frame.hpp"
#include "jsonrpc/parser.hpp"
#include "upstream/endpoint_upstream.hpp"

namespace cairnjunction::jsonrpc {

class Upstream final : public EndpointUpstream {
 public:
  struct Limits {
    std::size_t connections = 256;      // over all hosts
    policy::Duration connectTimeout{};  // for a new one
    policy::Duration idleClose{};       // the host closes idle ones after this at the latest; 0 = never
    std::uint32_t streams = 32;         // calls on one connection
    Form form = Form::lines;
    std::size_t answerBytes = 64 << 10;  // of one answer; what is larger is taken for spoilt
    std::size_t unsentBytes = 1 << 20;   // of one connection: a host that reads nothing is sent no more
    // For the answer to a cancel. Danger: longer, and a retry waits for a host that is silent; shorter, and a
    // pause of the host takes the other calls of the connection along.
    std::chrono::milliseconds cancelWait{100};
  };
  using Ended = std::function<void(AttemptOutcome)>;

  Upstream(boost::asio::io_context& io, const Limits& limits, Ended ended);
  ~Upstream() override;
  Upstream(const Upstream&) = delete;
  Upstream& operator=(const Upstream&) = delete;

  void setLimits(std::size_t connections, policy::Duration connectTimeout, policy::Duration idleClose) {
    limits_.connections = connections;
    limits_.connectTimeout = connectTimeout;
    limits_.idleClose = idleClose;
  }
  void start(AttemptKey key, policy::EndpointId host, const Call& call,
             const AttemptTimeouts& limits) override;
  void cancel(AttemptKey key) override;
  void cancelIfUnsent(AttemptKey key) override;
  void closeIdle(policy::EndpointId host) override;
  void forget(policy::EndpointId host) override;
  bool updateEndpoint(policy::EndpointId host, const boost::asio::ip::tcp::endpoint& endpoint,
                      bool serving) override;
  void removeAllEndpoints() override;
  void stop() override;
  std::size_t connectionCount() const override { return open_; }
  std::size_t endpointCount() const override { return hosts_.size(); }

 private:
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;
  struct Host {
    boost::asio::ip::tcp::endpoint endpoint;
    bool serving = false;
    std::vector<ConnectionPtr> connections;
  };

  ConnectionPtr choose(Host& host);
  bool closeIdleOne();
  void remove(Connection& connection);
  void flushSoon(ConnectionPtr connection);
  void sweep();

  boost::asio::io_context& io_;
  Limits limits_;
  Ended ended_;
  Parser parser_;
  std::unordered_map<policy::EndpointId, Host> hosts_;
  std::unordered_map<AttemptKey, ConnectionPtr, AttemptKeyHash> busy_;
  std::vector<ConnectionPtr> unflushed_;
  std::vector<char> scratch_;
  std::size_t open_ = 0;
  bool flushing_ = false, stopped_ = false;
  boost::asio::steady_timer sweeper_;
  CallbackGuard lifetime_;  // of what the event loop is still to call
};

}  // namespace cairnjunction::jsonrpc

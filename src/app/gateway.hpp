// One gateway: puts the engine, the fronts, the upstream and discovery together, on one event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "admin/admin_server.hpp"
#include "admin/figures.hpp"
#include "app/fleet_endpoint_lists.hpp"
#include "app/load_balancer_clock.hpp"
#include "app/pools.hpp"
#include "cairnjunction/load_balancer.hpp"
#include "common/callback_guard.hpp"
#include "config/config.hpp"
#include "core/engine.hpp"
#include "core/reply_margin.hpp"
#include "discovery/discovery_client.hpp"
#include "http/frontend.hpp"
#include "jsonrpc/frontend.hpp"
#include "jsonrpc/settings.hpp"
#include "upstream/endpoint_upstream.hpp"

namespace cairnjunction {

// After a stop was asked for, connections are still accepted for so long: clients hear of it late.
inline constexpr std::chrono::milliseconds kAcceptOn{700};
// The platform kills what has not ended so long after the longest deadline, which counts up to the second of
// these.
inline constexpr std::chrono::milliseconds kKillSlack{700};
inline constexpr std::chrono::milliseconds kLongestCounted{3000};

class Gateway final : private Runtime {
 public:
  struct Waits {  // shorter in tests only
    HttpServer::Limits clients;
    DiscoveryClient::Timeouts discovery;
  };

  // Listens and asks discovery at once. Throws boost::system::system_error if it can't listen. `jsonRpc` was
  // resolved against the settings in `config` (jsonrpc::resolve). With `router` HTTP requests go by it, and
  // its pools are made; otherwise all go to the hosts from discovery. Throws BadConfig for a server of a pool
  // with no address. With `fleet` it is a member: lists come from their owner, and its own calls on discovery
  // only where it is that owner, or alone. Nothing that it serves waits for the fleet.
  Gateway(boost::asio::io_context& io, const Config& config, Waits waits,
          std::function<void(std::string)> log, const jsonrpc::Settings& jsonRpc = {},
          std::shared_ptr<const route::Router> router = nullptr, const fleet::Settings* fleet = nullptr);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return http_.server().listening(); }
  boost::asio::ip::tcp::endpoint listeningJsonRpc() const { return jsonRpc_->listening(); }
  const jsonrpc::Frontend* jsonRpc() const { return jsonRpc_.get(); }  // null: off
  // A new configuration: its discovery and limits hold from now on. What is under way goes on.
  // Resolved as for the constructor. Throws BadConfig, and then nothing has changed.
  void reload(const Config& config, const jsonrpc::Settings& jsonRpc = {});
  void reloadFailed() { ++reloadFailures_; }  // a file was turned down
  admin::Figures figures() const;
  const admin::AdminServer* adminServer() const { return adminServer_.get(); }  // null: none
  std::size_t openRequests() const { return engine_.activeCalls(); }
  std::size_t hosts() const { return upstream_->endpointCount(); }
  const Engine& engine() const { return engine_; }
  const FleetEndpointLists* fleet() const { return fleet_.get(); }  // null: off
  Pools* pools() { return pools_.get(); }                           // null: no routes
  std::size_t connections() const {
    return http_.server().connections() + upstream_->connectionCount() +
           (jsonRpc_ ? jsonRpc_->connections() : 0) + (pools_ ? pools_->connections() : 0);
  }
  // Finishes what was taken, then closes all and calls `done`.
  void drain(std::function<void()> done);

 private:
  policy::Timestamp now() const override;
  void wakeAt(policy::Timestamp at) override;
  void pollEndpoints() override;
  void requestResync() override;
  void log(const std::string& line) override { log_(line); }

  policy::Timestamp moduleTime(std::int64_t unixMs) const;
  void told(const EndpointList& list);
  void told(const EndpointList& list, policy::EndpointListKind kind);
  std::unique_ptr<EndpointUpstream> makeUpstream(const Config& config);
  void fromDiscovery(const EndpointList& list);
  void discoveryFailed();
  void emptied(bool& front);
  policy::Duration killedAfter() const;
  policy::Duration serveOn() const;
  void finishDrain();
  std::string answerOperator(std::string_view line) const;

  boost::asio::io_context& io_;
  LoadBalancerClock clock_;
  std::chrono::system_clock::time_point unixStart_;
  policy::Settings settings_;
  jsonrpc::Settings jsonRpcSettings_;
  Waits waits_;
  const bool shared_;  // the clients' listening socket is held by others too
  std::function<void(std::string)> log_;
  std::function<void(const Config&)> limitUpstream_;  // set with the upstream, so before it
  std::unique_ptr<EndpointUpstream> upstream_;
  Engine engine_;
  DiscoveryClient discovery_;
  boost::asio::steady_timer waker_, drainTimer_;
  policy::Timestamp wakeAt_{};
  policy::Timestamp killAt_{};  // in a stop: no sooner than this
  std::function<void()> drained_;
  bool ready_ = false, draining_ = false;
  bool httpEmpty_ = false, jsonRpcEmpty_ = false;  // in a drain: no client is left
  std::unique_ptr<Pools> pools_;                   // before the front, which goes by them
  HttpFrontend http_;                              // the fronts last: they may hand over calls from here on
  std::unique_ptr<jsonrpc::Frontend> jsonRpc_;
  std::uint64_t reloads_ = 0, reloadFailures_ = 0;
  std::unique_ptr<admin::AdminServer> adminServer_;
  std::unique_ptr<FleetEndpointLists> fleet_;
  CallbackGuard lifetime_;  // of what the event loop is still to call
};

}  // namespace cairnjunction

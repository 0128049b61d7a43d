// One gateway process: connects engine, frontends, upstream and discovery on one event loop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "admin/admin_server.hpp"
#include "admin/figures.hpp"
#include "app/fleet_endpoint_lists.hpp"
#include "app/hold_up_detector.hpp"
#include "app/load_balancer_clock.hpp"
#include "app/memory_monitor.hpp"
#include "app/pools.hpp"
#include "app/shutdown_schedule.hpp"
#include "cairnjunction/load_balancer.hpp"
#include "common/callback_guard.hpp"
#include "common/memory_account.hpp"
#include "config/config.hpp"
#include "core/engine.hpp"
#include "core/rate_limited_log.hpp"
#include "discovery/discovery_client.hpp"
#include "http/frontend.hpp"
#include "jsonrpc/frontend.hpp"
#include "jsonrpc/settings.hpp"
#include "upstream/connection_trust.hpp"
#include "upstream/endpoint_upstream.hpp"

namespace cairnjunction {

class Gateway final : private Runtime {
 public:
  struct Waits {  // timeouts; tests use shorter ones
    HttpServer::Limits clients;
    DiscoveryClient::Timeouts discovery;
    SilenceSettings silence = {};  // of connections to endpoints
  };

  // Listens and contacts discovery at once. Throws boost::system::system_error if it can't listen. `jsonRpc`
  // must be resolved against the settings in `config` (jsonrpc::resolve). With `router`, HTTP requests are
  // routed by it and its pools are made; otherwise all go to the endpoints from discovery. Throws BadConfig
  // for a pool's server that has no address. With `fleet` the gateway is a member: it gets endpoint lists
  // from the holder of that task's lease, and contacts discovery itself only while it holds the lease or is
  // isolated. No request waits for the fleet.
  Gateway(boost::asio::io_context& io, const Config& config, Waits waits,
          std::function<void(std::string)> log, const jsonrpc::Settings& jsonRpc = {},
          std::shared_ptr<const route::Router> router = nullptr, const fleet::Settings* fleet = nullptr);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return http_.server().listening(); }
  boost::asio::ip::tcp::endpoint listeningJsonRpc() const { return jsonRpc_->listening(); }
  const jsonrpc::Frontend* jsonRpc() const { return jsonRpc_.get(); }  // null: off
  // Applies a new configuration, resolved as for the constructor: its discovery and limits hold from now on,
  // requests in flight go on. Throws BadConfig; then nothing has changed.
  void reload(const Config& config, const jsonrpc::Settings& jsonRpc = {});
  void reloadFailed() { ++reloadFailures_; }  // a configuration file was rejected
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
  // Graceful shutdown: finishes accepted requests, then closes all connections and calls `done`.
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
  void callAt(policy::Timestamp time, void (Gateway::*step)());
  void onAcceptingOver();
  void finishDrain();
  void stopReading();
  void logShutdownStep(std::string_view step);
  void appendConnectionFigures(admin::Figures& figures) const;
  void appendMemoryFigures(admin::Figures& figures) const;
  std::string answerOperator(std::string_view line) const;

  boost::asio::io_context& io_;
  LoadBalancerClock clock_;
  std::chrono::system_clock::time_point unixStart_;
  policy::Settings settings_;
  jsonrpc::Settings jsonRpcSettings_;
  Waits waits_;
  const bool shared_;  // other processes have the clients' listening socket too
  std::function<void(std::string)> log_;
  const std::shared_ptr<MemoryAccount> memory_ = std::make_shared<MemoryAccount>();
  RateLimitedLog memoryLog_;
  std::function<void(const Config&)> limitUpstream_;  // set by makeUpstream(), so declared before upstream_
  std::function<std::uint64_t()> unsolicitedBytes_;   // likewise; empty: not of this protocol
  std::unique_ptr<EndpointUpstream> upstream_;
  Engine engine_;
  DiscoveryClient discovery_;
  boost::asio::steady_timer waker_, drainTimer_;
  policy::Timestamp wakeAt_{};
  HoldUpDetector holdUps_;     // by the waker
  ShutdownSchedule shutdown_;  // once it has begun
  std::function<void()> drained_;
  bool ready_ = false, draining_ = false;
  bool httpEmpty_ = false, jsonRpcEmpty_ = false;  // graceful shutdown: no connection is left
  std::unique_ptr<Pools> pools_;                   // before http_, which refers to them
  HttpFrontend http_;                              // frontends last: they may hand over calls at once
  std::unique_ptr<jsonrpc::Frontend> jsonRpc_;
  std::uint64_t reloads_ = 0, reloadFailures_ = 0;
  std::unique_ptr<admin::AdminServer> adminServer_;
  std::unique_ptr<FleetEndpointLists> fleet_;
  MemoryMonitor memoryMonitor_;
  CallbackGuard lifetime_;  // guards callbacks still queued in the event loop
};

}  // namespace cairnjunction

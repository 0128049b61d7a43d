// The pools of a routes file. Each has a load balancer and an upstream of its own; the bounds on descriptors,
// calls and bytes are shared quotas, so that a failing pool can't use up what the others need.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "app/load_balancer_clock.hpp"
#include "common/callback_guard.hpp"
#include "config/config.hpp"
#include "core/engine.hpp"
#include "http/routing.hpp"
#include "http/upstream.hpp"
#include "limits/request_limiter.hpp"
#include "pools/passive_health_filter.hpp"
#include "pools/shared_quota.hpp"
#include "route/router.hpp"
#include "upstream/descriptor_quota.hpp"

namespace cairnjunction {

// A pool of fixed addresses.
class FixedPool final : private Runtime, private DescriptorQuota {
 public:
  // Resolves the servers' names and blocks meanwhile, so it is for the start only. Throws BadConfig for a
  // name without an address.
  FixedPool(boost::asio::io_context& io, const route::Pool& pool, std::size_t index,
            pools::SharedQuota& descriptors, const HttpUpstream::Limits& limits,
            const policy::Settings& settings, std::function<void(std::string)> log);
  ~FixedPool();
  FixedPool(const FixedPool&) = delete;
  FixedPool& operator=(const FixedPool&) = delete;

  Engine& engine() { return engine_; }
  HttpUpstream& upstream() { return upstream_; }

 private:
  struct Server {
    std::string uid;
    boost::asio::ip::tcp::endpoint endpoint;
    int attemptsMost;
    double weight;
  };

  policy::Timestamp now() const override;
  void wakeAt(policy::Timestamp at) override;
  void pollEndpoints() override {}
  void requestResync() override {}
  void log(const std::string& line) override { log_(name_ + ": " + line); }
  bool acquire() override { return descriptors_.acquire(index_, 1); }
  void release() override { descriptors_.release(index_, 1); }

  void ended(AttemptOutcome end);
  void tell(policy::EndpointListKind kind);
  void tellSoon();
  void planAt();

  boost::asio::io_context& io_;
  LoadBalancerClock clock_;
  std::string name_;
  std::size_t index_;
  pools::SharedQuota& descriptors_;
  std::function<void(std::string)> log_;
  std::vector<Server> servers_;
  pools::PassiveHealthFilter plan_;
  std::map<policy::EndpointId, std::size_t> serverOf_;
  HttpUpstream upstream_;
  Engine engine_;
  boost::asio::steady_timer waker_, planTimer_;
  policy::Timestamp wakeAt_{};
  bool telling_ = false;
  CallbackGuard lifetime_;
};

class Pools final : public HttpRouting {
 public:
  // `discovered` is the engine for the endpoints from discovery, for pools that name it as their source; it
  // must outlive this object. `calls`, `bytes`: bounds on calls in flight and their bodies, over all pools.
  // Throws BadConfig.
  Pools(boost::asio::io_context& io, std::shared_ptr<const route::Router> router, Engine& discovered,
        const HttpUpstream::Limits& limits, const policy::Settings& settings, std::uint64_t calls,
        std::uint64_t bytes, const std::function<void(std::string)>& log);

  const route::Router& router() const override { return *router_; }
  Engine* engineOf(std::string_view pool) override;
  int admit(const route::Decision& decision, std::uint64_t bytes, Hold& hold) override;
  void over(const Hold& hold) override;

  bool mayConfigure(const policy::Settings& settings) const;
  void configure(const policy::Settings& settings);
  // For a graceful shutdown: as the functions of the engine, counted from now.
  void limitTimeRemaining(policy::Duration left);
  void expectKillIn(policy::Duration left);
  void stop();
  std::size_t connections() const;
  const std::vector<std::unique_ptr<FixedPool>>& fixed() const { return fixed_; }

 private:
  std::shared_ptr<const route::Router> router_;
  std::uint64_t callsMost_;       // bound on calls in flight over all pools; fixed at the start
  std::vector<Engine*> engines_;  // by pool
  std::map<std::string, std::size_t, std::less<>> indexOf_;
  pools::SharedQuota descriptors_, calls_, bytes_;
  limits::RequestLimiter limiter_;
  std::vector<std::unique_ptr<FixedPool>> fixed_;
};

}  // namespace cairnjunction

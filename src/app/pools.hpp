// The pools of a file of routes: each with a decision module and an upstream of its own, under bounds that
// they share, so that a sick one takes neither the descriptors nor the room of another.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "app/module_clock.hpp"
#include "config/config.hpp"
#include "core/engine.hpp"
#include "http/routing.hpp"
#include "http/upstream.hpp"
#include "lifetime.hpp"
#include "limits/limiter.hpp"
#include "pools/budget.hpp"
#include "pools/plan.hpp"
#include "route/router.hpp"
#include "upstream/share.hpp"

namespace cairnjunction {

// A pool of fixed addresses.
class FixedPool final : private Runtime, private DescriptorShare {
 public:
  // Looks names of servers up, and waits for it: at the start only. Throws BadConfig for one that has no
  // address.
  FixedPool(boost::asio::io_context& io, const route::Pool& pool, std::size_t index,
            pools::Budget& descriptors, const HttpUpstream::Limits& limits,
            const ochrehill::Settings& settings, std::function<void(std::string)> log);
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

  ochrehill::Time now() const override;
  void wakeAt(ochrehill::Time at) override;
  void subscribe() override {}
  void doubtList() override {}
  void log(const std::string& line) override { log_(name_ + ": " + line); }
  bool take() override { return descriptors_.take(index_, 1); }
  void give() override { descriptors_.give(index_, 1); }

  void ended(AttemptEnd end);
  void tell(ochrehill::ListKind kind);
  void tellSoon();
  void planAt();

  boost::asio::io_context& io_;
  ModuleClock clock_;
  std::string name_;
  std::size_t index_;
  pools::Budget& descriptors_;
  std::function<void(std::string)> log_;
  std::vector<Server> servers_;
  pools::Plan plan_;
  std::map<ochrehill::HostId, std::size_t> serverOf_;
  HttpUpstream upstream_;
  Engine engine_;
  boost::asio::steady_timer waker_, planTimer_;
  ochrehill::Time wakeAt_{};
  bool telling_ = false;
  Lifetime lifetime_;
};

class Pools final : public HttpRouting {
 public:
  // `discovered` is the engine of the hosts from discovery, for pools that name it as their source; it must
  // outlive us. `calls`: under way in all. Throws BadConfig.
  Pools(boost::asio::io_context& io, std::shared_ptr<const route::Router> router, Engine& discovered,
        const HttpUpstream::Limits& limits, const ochrehill::Settings& settings, std::uint64_t calls,
        std::uint64_t bytes, const std::function<void(std::string)>& log);

  const route::Router& router() const override { return *router_; }
  Engine* engineOf(std::string_view pool) override;
  int admit(const route::Decision& decision, std::uint64_t bytes, Hold& hold) override;
  void over(const Hold& hold) override;

  bool mayConfigure(const ochrehill::Settings& settings) const;
  void configure(const ochrehill::Settings& settings);
  void answerWithin(ochrehill::Duration left);      // in a stop, as Engine has it
  void endCallsBeyond(ochrehill::Duration toKill);  // the same
  void stop();
  std::size_t connections() const;
  const std::vector<std::unique_ptr<FixedPool>>& fixed() const { return fixed_; }

 private:
  std::shared_ptr<const route::Router> router_;
  std::uint64_t callsMost_;       // under way in all; as at the start
  std::vector<Engine*> engines_;  // by pool
  std::map<std::string, std::size_t, std::less<>> indexOf_;
  pools::Budget descriptors_, calls_, bytes_;
  limits::Limiter limiter_;
  std::vector<std::unique_ptr<FixedPool>> fixed_;
};

}  // namespace cairnjunction

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

#include "core/call.hpp"
#include "http/message.hpp"
#include "lifetime.hpp"
#include "ochrehill/ochrehill.hpp"
#include "upstream/host_upstream.hpp"
#include "upstream/share.hpp"

namespace cairnjunction {

class HttpUpstream final : public HostUpstream {
 public:
  struct Limits {
    std::size_t connections = 256;         // over all hosts
    ochrehill::Duration connectTimeout{};  // for a new one
    ochrehill::Duration idleClose{};       // the host closes idle ones after this at the latest; 0 = never
    // Nothing is written to a connection for so long after an answer. Danger: a host that answers twice does
    // it some milliseconds late, and the second answer would be taken for that to the next request.
    ochrehill::Duration quiet = std::chrono::milliseconds(5);
  };
  using Ended = std::function<void(AttemptEnd)>;

  // Without `started` no answer is passed on while it comes: one above kHeldAnswer is spoilt.
  HttpUpstream(boost::asio::io_context& io, Limits limits, Ended ended, AnswerStarted started = nullptr);
  ~HttpUpstream() override;
  HttpUpstream(const HttpUpstream&) = delete;
  HttpUpstream& operator=(const HttpUpstream&) = delete;

  void setLimits(const Limits& limits) { limits_ = limits; }
  // Beside the limit each connection is then one of a part shared with others. `share` must outlive us.
  void shareDescriptors(DescriptorShare* share) { share_ = share; }
  bool list(ochrehill::HostId host, const boost::asio::ip::tcp::endpoint& endpoint, bool serving) override;
  void unlistAll() override;
  void forget(ochrehill::HostId host) override;
  // Sends on the latest used idle connection if there is one.
  void start(AttemptKey key, ochrehill::HostId host, const Call& call, const AttemptLimits& limits) override;
  void cancel(AttemptKey key) override;
  void withdraw(AttemptKey key) override;
  void closeIdle(ochrehill::HostId host) override;
  void stop() override;
  std::size_t connections() const override { return open_; }
  std::size_t hosts() const override { return hosts_.size(); }

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
  AnswerStarted started_;
  DescriptorShare* share_ = nullptr;  // null: the limit alone
  std::unordered_map<ochrehill::HostId, Host> hosts_;
  std::unordered_map<AttemptKey, std::shared_ptr<Connection>, AttemptKeyHash> busy_;
  std::size_t open_ = 0;
  boost::asio::steady_timer sweeper_;
  Lifetime lifetime_;  // of what the event loop is still to call
};

}  // namespace cairnjunction

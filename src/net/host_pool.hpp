// Connections to hosts and the attempts on them. Carries out what it is told and maps how a socket ends to
// an Outcome; it sends nothing again by itself.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>
#include <vector>

#include "ochrehill/ochrehill.hpp"

namespace cairnjunction {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;
using HttpResponse = boost::beast::http::response<boost::beast::http::string_body>;

inline constexpr std::uint64_t kBodyLimit = 64 << 10;
inline constexpr std::uint32_t kHeaderLimit = 16 << 10;

struct AttemptKey {
  ochrehill::RequestId request = 0;
  std::uint32_t attempt = 0;
  bool operator==(const AttemptKey&) const = default;
};

struct AttemptEnd {
  AttemptKey key;
  ochrehill::HostId host = ochrehill::kNone;
  ochrehill::Outcome outcome = ochrehill::Outcome::reset;
  ochrehill::Duration taken{};
  HttpResponse answer;  // whole, with Outcome::served
};

class HostPool {
 public:
  struct Limits {
    std::size_t connections = 256;         // over all hosts
    ochrehill::Duration connectTimeout{};  // for a new one
    ochrehill::Duration idleClose{};       // the host closes idle ones after this at the latest; 0 = never
  };
  using Ended = std::function<void(AttemptEnd)>;  // may be called from within start() and cancel()

  HostPool(boost::asio::io_context& io, Limits limits, Ended ended);
  ~HostPool();
  HostPool(const HostPool&) = delete;
  HostPool& operator=(const HostPool&) = delete;

  void setLimits(const Limits& limits) { limits_ = limits; }
  // A host that the list names. Connections to one that does not serve are closed as they come free.
  void list(ochrehill::HostId host, const boost::asio::ip::tcp::endpoint& endpoint, bool serving);
  void unlistAll();                     // before a whole list: what it leaves out serves no more
  void forget(ochrehill::HostId host);  // gone, with no attempt out: its id may be given to another host
  // Sends the request, on the latest used idle connection if there is one. Ends exactly once.
  void start(AttemptKey key, ochrehill::HostId host, HttpRequest request, ochrehill::Duration limit);
  void cancel(AttemptKey key);
  void closeIdle(ochrehill::HostId host);
  void stop();  // closes all without a word
  std::size_t connections() const { return open_; }
  std::size_t hosts() const { return hosts_.size(); }

 private:
  struct Connection;
  struct Host {
    boost::asio::ip::tcp::endpoint endpoint;
    bool serving = false;
    std::vector<std::shared_ptr<Connection>> idle;  // the latest used last
  };
  struct KeyHash {
    std::size_t operator()(const AttemptKey& k) const {
      return std::hash<std::uint64_t>{}(k.request * 16 + k.attempt);
    }
  };

  std::shared_ptr<Connection> takeIdle(Host& host);
  bool closeOldestIdle();
  bool outlived(const Connection& connection) const;
  void dropIdle(const std::shared_ptr<Connection>& connection);
  void sweep();

  boost::asio::io_context& io_;
  Limits limits_;
  Ended ended_;
  std::unordered_map<ochrehill::HostId, Host> hosts_;
  std::unordered_map<AttemptKey, std::shared_ptr<Connection>, KeyHash> busy_;
  std::size_t open_ = 0;
  boost::asio::steady_timer sweeper_;
};

}  // namespace cairnjunction

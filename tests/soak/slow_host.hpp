// A stand-in host that reads requests and writes answers as slowly as the plan in each request says, over
// HTTP or JSON-RPC, and records what became of each.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "soak/answer_plan.hpp"

namespace cairnjunction::soak {

// One run of a request at a host.
struct HostRun {
  using Clock = std::chrono::steady_clock;
  Clock::time_point received;                            // its request was whole
  std::optional<Clock::time_point> firstByte, lastByte;  // written of the final answer
  Clock::time_point lastWrite;                           // of any piece of it
  std::optional<Clock::time_point> cut;                  // the gateway closed the connection before the end
  std::size_t written = 0;                               // bytes of the answer
  std::string deadlineMs;                                // that the gateway has passed on; empty: none
};

// By the tag in the request's plan.
struct HostLedger {
  std::map<std::uint64_t, std::vector<HostRun>> runs;
  std::map<std::uint64_t, HostRun::Clock::time_point> slowReads;  // when the reading of the last one began
};

enum class HostProtocol { http, jsonRpc };

class SlowHost {
 public:
  // `ledger` must outlive the host's connections.
  SlowHost(boost::asio::io_context& io, HostProtocol protocol, HostLedger& ledger);
  ~SlowHost();
  SlowHost(const SlowHost&) = delete;
  SlowHost& operator=(const SlowHost&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return acceptor_.local_endpoint(); }

 private:
  class Connection;
  class HttpConnection;
  class JsonRpcConnection;

  void accept();

  boost::asio::io_context& io_;
  const HostProtocol protocol_;
  HostLedger& ledger_;
  boost::asio::ip::tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<Connection>> connections_;
};

}  // namespace cairnjunction::soak

// An open-loop load: calls are sent at their scheduled times, whatever the outcome of earlier ones. Each uses
// a connection of its own; its latency counts from the scheduled time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <fstream>
#include <random>
#include <string>
#include <vector>

namespace cairnjunction::lab {

class Load {
 public:
  // Writes a line for each call to `ledger` when it ends. `wait`: how long a client waits for a response;
  // later the call counts as lost.
  Load(boost::asio::io_context& io, std::vector<std::uint16_t> gateways, double rate, std::uint64_t seed,
       const std::string& ledger, std::chrono::milliseconds wait);
  void start() { next(); }
  void stop();  // no further calls; those under way go on
  bool idle() const { return open_ == 0; }
  std::uint64_t calls() const { return calls_; }

 private:
  struct Call;
  void next();
  void begin();

  boost::asio::io_context& io_;
  std::vector<std::uint16_t> gateways_;
  double rate_;
  std::mt19937_64 random_;
  std::ofstream ledger_;
  std::chrono::milliseconds wait_;
  boost::asio::steady_timer timer_;
  std::chrono::steady_clock::time_point due_;
  std::uint64_t calls_ = 0, open_ = 0;
  bool stopped_ = false;
};

}  // namespace cairnjunction::lab

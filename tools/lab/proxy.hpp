// A link of the lab's own between two processes: passes bytes, or delays them, holds them back and then
// delivers them all, passes one way only, or resets in the middle.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <set>

namespace cairnjunction::lab {

class Proxy {
 public:
  // Bytes held back in each direction of a connection; then it is not read on, as by a full pipe.
  static constexpr std::size_t kHeldMost = 8 << 20;

  Proxy(boost::asio::io_context& io, std::uint16_t listen, std::uint16_t target);
  ~Proxy();
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  // What the dialling side sends (`out`) and what it is sent (`in`); true: held back, also on new
  // connections.
  void hold(bool out, bool in);
  void delay(std::chrono::milliseconds by);
  void refuse(bool on);  // no connections any more, and those that are there are reset; or again
  void reset();          // all connections; a chunk that waits is written to its half before

  std::uint64_t bytes() const { return bytes_; }  // passed on, both ways
  std::size_t held() const;                       // bytes, read and not passed on yet
  std::size_t connections() const { return connections_.size(); }

 private:
  struct Connection;
  void accept();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  const boost::asio::ip::tcp::endpoint listen_, target_;
  std::set<std::shared_ptr<Connection>> connections_;
  bool holdOut_ = false, holdIn_ = false;
  std::chrono::milliseconds delay_{0};
  std::uint64_t bytes_ = 0;
};

}  // namespace cairnjunction::lab

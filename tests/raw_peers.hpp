// Endpoints on loopback that handle raw bytes, for tests of any protocol: one to which connections are not
// established until it starts to accept, and one that does not read until readAll().
#pragma once

#include <array>
#include <boost/asio/read.hpp>

#include "net_peers.hpp"

namespace cairnjunction::testing {

// An accepted connection that stores all received bytes.
class RawConnection : public std::enable_shared_from_this<RawConnection> {
 public:
  explicit RawConnection(tcp::socket socket) : socket_(std::move(socket)) {}

  void read() {
    socket_.async_read_some(asio::buffer(chunk_), [self = shared_from_this()](error_code ec, std::size_t n) {
      if (ec) {
        self->closedByPeer = true;
        return;
      }
      self->received += n;
      self->text.append(self->chunk_.data(), n);
      self->read();
    });
  }
  // Reads so many bytes more, and then nothing until the next call.
  void readOnce(std::size_t bytes) {
    auto into = std::make_shared<std::string>(bytes, '\0');
    asio::async_read(socket_, asio::buffer(*into),
                     [self = shared_from_this(), into](error_code, std::size_t n) { self->received += n; });
  }
  void send(const std::string& bytes) {
    auto held = std::make_shared<std::string>(bytes);
    asio::async_write(socket_, asio::buffer(*held),
                      [self = shared_from_this(), held](error_code, std::size_t) {});
  }
  void close() {
    error_code ignored;
    socket_.close(ignored);
  }

  std::size_t received = 0;
  std::string text;
  bool closedByPeer = false;

 private:
  tcp::socket socket_;
  std::array<char, 65536> chunk_;
};

// Accepts connections only after acceptAll() or takeAll(). Until then its backlog is full (`filled` > 0 once
// it is), so that further connections are not established.
class FullListener {
 public:
  explicit FullListener(asio::io_context& io) : acceptor_(io) {
    acceptor_.open(tcp::v4());
    acceptor_.bind(loopback());
    acceptor_.listen(0);
    endpoint = acceptor_.local_endpoint();
    for (int i = 0; i < 3; ++i) {
      fillers_.push_back(std::make_unique<tcp::socket>(io));
      fillers_.back()->async_connect(endpoint, [this](error_code ec) { filled += !ec; });
    }
  }
  ~FullListener() {
    for (const auto& connection : taken) connection->close();
  }
  void acceptAll() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) return;
      taken.push_back(std::make_shared<RawConnection>(std::move(socket)));
      taken.back()->read();
      acceptAll();
    });
  }
  // Bytes received on all connections.
  std::size_t received() const {
    std::size_t n = 0;
    for (const auto& connection : taken) n += connection->received;
    return n;
  }
  bool allEnded() const {
    return std::all_of(taken.begin(), taken.end(), [](const auto& c) { return c->closedByPeer; });
  }
  void dropFillers() { fillers_.clear(); }
  // Accepts the pending connections from now on. What they sent is complete once allLeft() returns true.
  void takeAll() {
    acceptAll();
    dropFillers();
  }
  bool allLeft() const { return !taken.empty() && allEnded(); }

  tcp::endpoint endpoint;
  int filled = 0;
  std::vector<std::shared_ptr<RawConnection>> taken;

 private:
  tcp::acceptor acceptor_;
  std::vector<std::unique_ptr<tcp::socket>> fillers_;
};

// Accepts connections but reads nothing until readAll(). Its receive buffer is so small that a large text
// does not fit.
class DeafListener {
 public:
  explicit DeafListener(asio::io_context& io) : acceptor_(io) {
    acceptor_.open(tcp::v4());
    acceptor_.set_option(asio::socket_base::receive_buffer_size(4096));
    acceptor_.bind(loopback());
    acceptor_.listen();
    endpoint = acceptor_.local_endpoint();
    accept();
  }
  ~DeafListener() {
    for (const auto& connection : taken) connection->close();
  }
  void readAll() {
    for (const auto& connection : taken) connection->read();
  }

  tcp::endpoint endpoint;
  std::vector<std::shared_ptr<RawConnection>> taken;

 private:
  void accept() {
    acceptor_.async_accept([this](error_code ec, tcp::socket socket) {
      if (ec) return;
      taken.push_back(std::make_shared<RawConnection>(std::move(socket)));
      accept();
    });
  }
  tcp::acceptor acceptor_;
};

// Bytes: more than the kernel buffers for a peer that does not read.
inline constexpr std::size_t kMoreThanFits = 24 << 20;

}  // namespace cairnjunction::testing

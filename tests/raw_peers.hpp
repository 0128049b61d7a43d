// Hosts of any protocol on loopback, in bytes: some whose connections don't come up until they are told to
// take them, some that don't read what they are sent.
#pragma once

#include <array>

#include "net_peers.hpp"

namespace cairnjunction::testing {

// A connection that keeps the bytes that come.
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

// Takes connections only once it is told to. Its queue is full before, so that further ones don't come up.
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
  // Of all connections, in bytes.
  std::size_t received() const {
    std::size_t n = 0;
    for (const auto& connection : taken) n += connection->received;
    return n;
  }
  bool allEnded() const {
    return std::all_of(taken.begin(), taken.end(), [](const auto& c) { return c->closedByPeer; });
  }
  void dropFillers() { fillers_.clear(); }
  // From now on whoever waited is let in; what comes of them is seen once they have left again.
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

// Takes connections and reads nothing till it is told to, with so little room that a large text does not fit.
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

// More than the system takes in for a peer that does not read.
inline constexpr std::size_t kMoreThanFits = 24 << 20;

}  // namespace cairnjunction::testing

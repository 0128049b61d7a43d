#include "admin/admin_server.hpp"

#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>

#include "common/socket_io.hpp"

namespace cairnjunction::admin {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using tcp = asio::ip::tcp;

constexpr std::chrono::milliseconds kAcceptRetryDelay{20};  // after a failed accept

}  // namespace

// One client: reads a line, writes the response, and reads on until the client closes the connection.
class AdminServer::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(AdminServer& server, tcp::socket socket)
      : server_(&server), socket_(std::move(socket)), timer_(server.io_, kConnectionTimeout) {}

  void start() {
    timer_.async_wait([self = shared_from_this()](error_code ec) {
      if (!ec) self->disconnect();
    });
    read();
  }

  void close() {
    server_ = nullptr;
    error_code ignored;
    timer_.cancel(ignored);
    socket_.close(ignored);
  }

 private:
  void disconnect() {
    if (server_) server_->disconnect(shared_from_this());
  }

  void read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [self = shared_from_this()](error_code ec, std::size_t size) {
                              if (!self->server_) return;
                              if (ec) return self->disconnect();
                              self->request_.append(self->chunk_.data(), size);
                              const std::size_t end = self->request_.find('\n');
                              if (end != std::string::npos)
                                return self->handleLine(std::string_view(self->request_).substr(0, end));
                              if (self->request_.size() > kMaxLineBytes)
                                return self->write("FAILURE the line is too long\n");
                              self->read();
                            });
  }

  void handleLine(std::string_view line) {
    if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
    write(line.size() > kMaxLineBytes ? "FAILURE the line is too long\n" : server_->handler_(line));
  }

  void write(std::string text) {
    response_ = std::move(text);
    asyncWriteAll(socket_, asio::buffer(response_), [self = shared_from_this()](error_code, std::size_t) {
      if (!self->server_) return;
      // Lingering close: closing a socket with unread bytes resets the connection, and the client may lose
      // the response. So only the sending side is shut down, and further input is discarded until the client
      // closes.
      error_code ignored;
      self->socket_.shutdown(tcp::socket::shutdown_send, ignored);
      self->discardInput();
    });
  }

  void discardInput() {  // until the client closes the connection or the timer expires
    socket_.async_read_some(asio::buffer(chunk_), [self = shared_from_this()](error_code ec, std::size_t) {
      if (!self->server_) return;
      if (ec) return self->disconnect();
      self->discardInput();
    });
  }

  AdminServer* server_;  // null once disconnected
  tcp::socket socket_;
  asio::steady_timer timer_;
  std::array<char, 512> chunk_;
  std::string request_, response_;
};

AdminServer::AdminServer(asio::io_context& io, const tcp::endpoint& listen, RequestHandler handler)
    : io_(io), acceptor_(io, listen, true), acceptRetryTimer_(io), handler_(std::move(handler)) {
  accept();
}

AdminServer::~AdminServer() {
  for (const auto& connection : connections_) connection->close();
}

void AdminServer::accept() {
  acceptor_.async_accept(callbackGuard_.guard([this](error_code ec, tcp::socket socket) {
    if (ec == asio::error::operation_aborted) return;
    if (ec) {
      // Without a free file descriptor the listener stays readable, and accepting again at once would
      // busy-loop.
      acceptRetryTimer_.expires_after(kAcceptRetryDelay);
      acceptRetryTimer_.async_wait(callbackGuard_.guard([this](error_code stopped) {
        if (!stopped) accept();
      }));
      return;
    }
    if (connections_.size() >= kMaxConnections) disconnect(connections_.front());
    connections_.push_back(std::make_shared<Connection>(*this, std::move(socket)));
    connections_.back()->start();
    accept();
  }));
}

void AdminServer::disconnect(const std::shared_ptr<Connection>& connection) {
  // `connection` may refer to an element of the list, so a copy keeps it alive while it is removed.
  // NOLINTNEXTLINE(performance-unnecessary-copy-initialization): see above
  const std::shared_ptr<Connection> removed = connection;
  removed->close();
  connections_.remove(removed);
}

}  // namespace cairnjunction::admin

// The TCP server for operators. Each connection carries one request line and is closed after its response.
// Clients that connect and send nothing do not block others: at the limit the oldest connection is closed in
// favour of the new one.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "common/callback_guard.hpp"

namespace cairnjunction::admin {

class AdminServer {
 public:
  // Small, because file descriptors are needed for clients and endpoints. Operators usually make one call at
  // a time, and a few calls may hang.
  static constexpr std::size_t kMaxConnections = 8;
  static constexpr std::size_t kMaxLineBytes = 256;  // without the line end; the longest call takes 10 bytes
  static constexpr std::chrono::seconds kConnectionTimeout{6};  // from accept until the client has closed

  // Takes a line without its line end (LF or CR LF) and returns the response, which ends with LF. Must not
  // throw.
  using RequestHandler = std::function<std::string(std::string_view line)>;

  // Listens on `listen` from the start. Throws boost::system::system_error if that fails.
  AdminServer(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
              RequestHandler handler);
  ~AdminServer();
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return acceptor_.local_endpoint(); }
  std::size_t connectionCount() const { return connections_.size(); }

 private:
  class Connection;
  void accept();
  void disconnect(const std::shared_ptr<Connection>& connection);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer acceptRetryTimer_;
  RequestHandler handler_;
  std::list<std::shared_ptr<Connection>> connections_;  // oldest first
  CallbackGuard callbackGuard_;                         // for handlers that are pending on the event loop
};

}  // namespace cairnjunction::admin

// Local administration of a coordinator through a Unix domain socket that only the coordinator's user and
// root may use. A client sends one line of JSON and receives one line of JSON; the connection is then closed.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "common/callback_guard.hpp"

namespace cairnjunction::fleet {

class AdminSocket {
 public:
  static constexpr std::size_t kMaxRequestBytes = 4096;
  static constexpr std::size_t kMaxClients = 8;  // concurrent; further clients are disconnected
  // From accepting a client to closing its connection.
  static constexpr std::chrono::seconds kClientTimeout{5};

  // Receives the request, a JSON object, and returns the response, an object or array. Must not throw.
  using Handler = std::function<nlohmann::json(const nlohmann::json& request)>;

  // Listens at `path` and replaces a socket file that an earlier process left there. Throws
  // boost::system::system_error if it can't listen.
  AdminSocket(boost::asio::io_context& io, std::string path, Handler handler);
  ~AdminSocket();
  AdminSocket(const AdminSocket&) = delete;
  AdminSocket& operator=(const AdminSocket&) = delete;

 private:
  struct Client;
  void accept();
  void serveClient(boost::asio::local::stream_protocol::socket socket);

  const std::string path_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  Handler handler_;
  std::size_t clients_ = 0;  // currently connected, at most kMaxClients
  CallbackGuard lifetime_;
};

// Sends `request` to the socket at `path`, blocks until the response arrives, and returns it. Throws
// std::runtime_error with the cause if there is no response, or with the text of the response's "error".
nlohmann::json queryAdminSocket(const std::string& path, const nlohmann::json& request);

}  // namespace cairnjunction::fleet

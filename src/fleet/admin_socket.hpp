// The operators' access to a coordinator on its own machine: a Unix socket that only its user and root may
// use. A client sends one line of JSON, is sent one line of JSON, and the connection ends.
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
  static constexpr std::size_t kMaxClients = 8;  // at a time; further ones are disconnected
  // From accepting a client to the end of its connection.
  static constexpr std::chrono::seconds kClientTimeout{5};

  // Given an object; returns the answer, an object or array. Must not throw.
  using Handler = std::function<nlohmann::json(const nlohmann::json& request)>;

  // Replaces a socket that a former process left at `path`. Throws boost::system::system_error.
  AdminSocket(boost::asio::io_context& io, std::string path, Handler handler);
  ~AdminSocket();
  AdminSocket(const AdminSocket&) = delete;
  AdminSocket& operator=(const AdminSocket&) = delete;

 private:
  struct Client;
  void accept();
  void serve(boost::asio::local::stream_protocol::socket socket);

  const std::string path_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  Handler handler_;
  std::size_t clients_ = 0;  // connected now; at most kMaxClients
  CallbackGuard lifetime_;
};

// Sends `request` to the socket at `path` and waits for the answer. Throws std::runtime_error with what
// failed, or with the answer's "error".
nlohmann::json queryAdminSocket(const std::string& path, const nlohmann::json& request);

}  // namespace cairnjunction::fleet

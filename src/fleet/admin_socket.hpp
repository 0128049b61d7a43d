// The operators' way to a keeper on its own machine: a Unix socket that only its user and root may use. One
// line of JSON is asked, one is answered.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/local/stream_protocol.hpp>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "common/callback_guard.hpp"

namespace cairnjunction::fleet {

class AdminSocket {
 public:
  static constexpr std::size_t kLineMost = 4096;  // bytes of a question
  static constexpr std::size_t kCallersMost = 8;
  static constexpr std::chrono::seconds kPatience{5};

  using Answer = std::function<nlohmann::json(const nlohmann::json& question)>;  // must not throw

  // Takes the path over from a process that is gone. Throws boost::system::system_error.
  AdminSocket(boost::asio::io_context& io, const std::string& path, Answer answer);
  ~AdminSocket();
  AdminSocket(const AdminSocket&) = delete;
  AdminSocket& operator=(const AdminSocket&) = delete;

 private:
  struct Caller;
  void accept();

  std::string path_;
  boost::asio::local::stream_protocol::acceptor acceptor_;
  Answer answer_;
  std::size_t callers_ = 0;
  CallbackGuard lifetime_;
};

// Asks and waits for the answer. Throws std::runtime_error with what failed.
nlohmann::json queryAdminSocket(const std::string& path, const nlohmann::json& question);

}  // namespace cairnjunction::fleet

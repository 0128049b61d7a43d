// The operators' door: a TCP listener of its own. Each connection carries one line, and is closed behind its
// one answer. Callers that hold a connection with no whole line keep nobody out: the one that is there for
// the longest time makes room.
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

class Door {
 public:
  // Of descriptors, which are the clients' and the hosts': one call at a time is usual, a few may hang.
  static constexpr std::size_t kCallersMost = 8;
  static constexpr std::size_t kLineMost = 256;        // bytes; the longest call has ten
  static constexpr std::chrono::seconds kPatience{6};  // for a line, and for a caller to read its answer

  // What to answer to a line, which comes without its end (LF, or CR LF). Ends with LF. Must not throw.
  using Answer = std::function<std::string(std::string_view line)>;

  // Listens at once. Throws boost::system::system_error.
  Door(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen, Answer answer);
  ~Door();
  Door(const Door&) = delete;
  Door& operator=(const Door&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return acceptor_.local_endpoint(); }
  std::size_t callers() const { return callers_.size(); }

 private:
  class Caller;
  void accept();
  void leave(const std::shared_ptr<Caller>& caller);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer again_;
  Answer answer_;
  std::list<std::shared_ptr<Caller>> callers_;  // the one that came first is first
  CallbackGuard lifetime_;                      // of what the event loop is still to call
};

}  // namespace cairnjunction::admin

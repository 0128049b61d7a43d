// Connections of JSON-RPC clients: accepts, frames what comes, writes replies, keeps the bounds. It knows
// frames and not what stands in them.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "common/callback_guard.hpp"
#include "jsonrpc/frame.hpp"
#include "jsonrpc/settings.hpp"

namespace cairnjunction::jsonrpc {

using ConnectionId = std::uint64_t;  // never used again

class Server {
 public:
  struct Callbacks {
    // A text. kPadding bytes behind it may be read. Valid during the call only. `began`: its first byte.
    std::function<void(ConnectionId, std::string_view text, std::chrono::steady_clock::time_point began)>
        frame;
    // What came can't be framed, or is late: to be answered by a last reply.
    std::function<void(ConnectionId, const char* why)> bad;
    std::function<void(ConnectionId)> gone;  // the connection is closed, by whichever side
  };

  // Listens at once. Throws boost::system::system_error.
  Server(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
         const FrontendLimits& limits, std::chrono::milliseconds userTimeout, Callbacks callbacks);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return acceptor_.local_endpoint(); }
  // One frame, if the connection is still there. Sent at the end of this turn of the event loop, with what
  // else is written in it.
  void write(ConnectionId id, std::string_view text);
  void closeAfterReplies(ConnectionId id);  // nothing more is read
  void close(ConnectionId id);              // at once; Callbacks::gone is not called
  // `calls` of the connection are open now, and past the limit no more is read.
  void holds(ConnectionId id, std::size_t calls);

  void stopAccepting();  // takes what waits, closes the listener, and each connection that has nothing open
  std::function<void()> onEmpty;  // after stopAccepting: the last connection is closed
  std::size_t connections() const { return connections_.size(); }
  // Held: texts not whole, replies not taken, and what the front adds. Past the limit connections are closed
  // at the end of a turn of the loop, so it may be over it by what one turn reads from workers.
  std::size_t bytes() const { return bytes_; }
  void charge(std::size_t bytes) { bytes_ += bytes; }
  void release(std::size_t bytes) { bytes_ -= bytes; }

 private:
  class Connection;
  enum class Queue { reading, stalled, idle, lingering };  // connections that wait, by what they wait for
  using List = std::list<Connection*>;

  void accept();
  bool takeWaiting(std::size_t most);
  bool makeRoom();
  void keepWithin();
  void sweep();
  void erase(ConnectionId id);
  List& list(Queue q) { return lists_[static_cast<std::size_t>(q)]; }

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::acceptor acceptor_;
  FrontendLimits limits_;
  std::chrono::milliseconds userTimeout_;
  Callbacks callbacks_;
  boost::asio::steady_timer sweeper_, again_;
  std::unordered_map<ConnectionId, std::shared_ptr<Connection>> connections_;
  std::array<List, 4> lists_;  // each in order of coming: the front is the first to be overdue
  std::vector<char> scratch_;  // read into by all: an idle connection holds no buffer
  std::vector<std::shared_ptr<Connection>> unflushed_;
  std::size_t bytes_ = 0;
  ConnectionId last_ = 0;
  bool flushing_ = false, stopping_ = false;
  CallbackGuard lifetime_;  // of what the event loop is still to call
};

}  // namespace cairnjunction::jsonrpc

// Connections of JSON-RPC clients: accepts them, splits what arrives into frames, writes responses, keeps the
// bounds. It does not interpret the frames' content.
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
#include "common/memory_account.hpp"
#include "jsonrpc/frame.hpp"
#include "jsonrpc/settings.hpp"

namespace cairnjunction::jsonrpc {

using ConnectionId = std::uint64_t;  // never used again

class Server {
 public:
  struct Callbacks {
    // A frame's text, valid during the call; kPadding bytes behind it are readable. `began`: arrival of its
    // first byte.
    std::function<void(ConnectionId, std::string_view text, std::chrono::steady_clock::time_point began)>
        frame;
    // A frame that was read behind the last one that is answered (closeAfterReplies()): to be rejected.
    std::function<void(ConnectionId, std::string_view text)> unwanted;
    // Invalid framing, or a text that is late: to be followed by a last response.
    std::function<void(ConnectionId, const char* why)> bad;
    std::function<void(ConnectionId)> gone;  // the connection closed, except by close()
  };

  // Listens at once. Throws boost::system::system_error. `memory`: what is held is charged to it; may be
  // null.
  Server(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& listen,
         const FrontendLimits& limits, std::chrono::milliseconds userTimeout, Callbacks callbacks,
         std::shared_ptr<MemoryAccount> memory = nullptr);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  boost::asio::ip::tcp::endpoint listening() const { return acceptor_.local_endpoint(); }
  // Writes one frame, if the connection still exists. Sent at the end of this turn of the event loop,
  // together with other frames.
  void write(ConnectionId id, std::string_view text);
  void closeAfterReplies(ConnectionId id);  // reads nothing more
  void close(ConnectionId id);              // at once, by a reset; Callbacks::gone is not called
  // Backpressure: the connection has `calls` open calls now; at the limit it is not read.
  void holds(ConnectionId id, std::size_t calls);

  void stopAccepting();           // accepts the backlog, closes the listener, ends idle connections
  void stopReading();             // after stopAccepting: what is not read whole now is not taken
  std::function<void()> onEmpty;  // after stopAccepting: the last connection is closed
  std::size_t connections() const { return connections_.size(); }
  // Bytes held: incomplete texts, responses not read by clients, and what the frontend charges. Above the
  // limit connections are closed at the end of a turn of the event loop, so it may be exceeded by what one
  // turn reads from workers.
  std::size_t bytes() const { return held_.bytes(); }
  void charge(std::size_t bytes) { held_.add(bytes); }
  void release(std::size_t bytes) { held_.remove(bytes); }

 private:
  class Connection;                                        // server_connection.hpp
  static constexpr std::size_t kChunk = 64 << 10;          // bytes read at a time, before other connections
  enum class Queue { reading, stalled, idle, lingering };  // waiting connections, by what they wait for
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
  std::array<List, 4> lists_;  // oldest first: the first one times out first
  std::vector<char> scratch_;  // read buffer shared by all: idle connections hold none
  std::vector<std::shared_ptr<Connection>> unflushed_;
  MemoryCharge held_;
  ConnectionId last_ = 0;
  bool flushing_ = false, stopping_ = false;
  CallbackGuard lifetime_;  // guards callbacks still queued in the event loop
};

}  // namespace cairnjunction::jsonrpc

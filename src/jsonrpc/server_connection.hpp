// One client's connection of the JSON-RPC server: reading, backpressure, writing, and how it ends.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "jsonrpc/frame.hpp"
#include "jsonrpc/server.hpp"

namespace cairnjunction::jsonrpc {

class Server::Connection : public std::enable_shared_from_this<Connection> {
 public:
  using Clock = std::chrono::steady_clock;
  using tcp = boost::asio::ip::tcp;

  Connection(Server& server, ConnectionId id, tcp::socket socket)
      : id_(id), server_(&server), socket_(std::move(socket)), reader_(server.limits_.frameBytes) {}

  void start();

  ConnectionId id() const { return id_; }
  Clock::time_point queuedSince() const { return queuedSince_; }
  // Nothing is owed, half received or half sent.
  bool isResting() const { return openCalls_ == 0 && received_.empty() && unsent_.empty() && !handingOver_; }
  // And nothing has come that is not read yet.
  bool isSilent();

  // Appends a frame, which is sent by flush() at the end of this turn of the event loop.
  void write(std::string_view text);
  void flush();
  void setOpenCalls(std::size_t calls);  // at the limit it is not read

  // No more is read, and the connection ends with its last response. What is read already and was not handed
  // over is handed over to be rejected, but for half a text.
  void closeAfterReplies();
  // In a graceful shutdown: ends it if nothing is owed and nothing has come.
  void endIfSilent();
  void close();  // at once

  // At once, by a reset, as is every end that is not the client's own: a call may be written just then, and
  // is never read. An ordinary end would look to its client like one behind a call that has run.
  void reset();

  // The client has ended the connection, or it is broken: closes it and tells the frontend.
  void drop();
  void dropByReset();  // the same, for a reason of ours

  void onTimeout(Queue queue);  // it has waited in the queue for as long as it may

 private:
  bool isAtLimit() const;
  void moveTo(Queue queue);
  void leaveQueue();
  void updateQueue();
  void waitUntilReadable();
  void onReadable();
  std::string_view handOver(std::string_view input);
  std::string_view handOverFrames(std::string_view input);
  void handOverKept();
  void append(std::string_view bytes);
  void keep(std::string_view rest);
  void dropInput();
  void resetOnClose();
  void pause() { paused_ = true; }
  void resume();
  void reportBad(const char* why);
  void endIfDone();
  void beginEnd();
  bool isAcknowledged();
  void endIfAcknowledged();

  const ConnectionId id_;
  Server* server_;
  tcp::socket socket_;
  FrameReader reader_;
  std::string received_, unsent_;  // received, not consumed; to be sent, of which sent_ bytes are
  std::size_t sent_ = 0, mark_ = 0, openCalls_ = 0;
  std::optional<Queue> queue_;
  List::iterator queuePlace_;
  Clock::time_point queuedSince_, readAt_;      // when it entered its queue; when of the last read
  std::optional<Clock::time_point> textBegan_;  // arrival of an incomplete text's first byte
  bool reading_ = false, waitingWrite_ = false, unflushed_ = false, paused_ = false, deferred_ = false;
  bool closing_ = false, lingering_ = false, closed_ = false;
  bool handingOver_ = false;  // the texts of a read are being handed over
  bool handedOver_ = false;   // a text was handed over since updateQueue()
};

}  // namespace cairnjunction::jsonrpc

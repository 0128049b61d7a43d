// A TCP connection between a member and a coordinator, or two coordinators, that carries frames with limits
// on time and memory. Every way in which it can end has a name, for logs and tests.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "fleet/frame.hpp"

namespace cairnjunction::fleet {

// Why a link ended, as observed on this side.
enum class LinkEnd : std::uint8_t {
  connectionRefused,  // connecting failed: nothing listens there, or there is no route
  connectTimeout,     // the connection was not established within Limits::connectTimeout
  rejected,           // the peer sent JoinRejected, with its reason
  // No complete frame arrived within Limits::receiveTimeout: half-open connection, or a peer that hangs.
  receiveTimeout,
  // More than Limits::maxQueuedBytes were queued, or writing one frame took longer than Limits::sendTimeout.
  sendTimeout,
  reset,      // the peer closed or reset the connection, possibly within a frame
  badFrame,   // received an invalid frame, or a message that the peer must not send
  notLeader,  // the peer does not lead, or, at a coordinator, this side no longer leads
  stopped     // this side closed the link for another reason
};
// The name in event log lines.
std::string_view nameOf(LinkEnd end);

// Pending operations keep the object alive, so an owner must call abandon() before what the callbacks use is
// destroyed. All calls and callbacks are on the event loop's thread.
class Link : public std::enable_shared_from_this<Link> {
 public:
  struct Limits {
    std::chrono::milliseconds connectTimeout{1000};
    std::chrono::milliseconds receiveTimeout{3000};   // between complete received frames
    std::chrono::milliseconds sendTimeout{3000};      // for writing one frame to the socket
    std::size_t maxQueuedBytes = 2 * kMaxFrameBytes;  // bytes that wait to be written
  };
  struct Callbacks {
    std::function<void()> onConnected;  // dialled links only; may be empty
    std::function<void(const Message&)> onMessage;
    std::function<void(LinkEnd, const std::string& detail)> onEnd;  // called once; no callback follows it
  };

  // Starts to connect to `address`. The callbacks are never called before this returns.
  static std::shared_ptr<Link> dial(boost::asio::io_context& io,
                                    const boost::asio::ip::tcp::endpoint& address, const Limits& limits,
                                    Callbacks callbacks);
  // Takes over a connected socket.
  static std::shared_ptr<Link> accepted(boost::asio::io_context& io, boost::asio::ip::tcp::socket socket,
                                        const Limits& limits, Callbacks callbacks);

  // Queues a frame, which is written once the link is connected. May end the link with sendTimeout before it
  // returns. Does nothing after finish() or the end. Encoding a message may throw BadFrame.
  void send(const Message& message) { send(encode(message)); }
  void send(SharedFrame frame);
  // Ends with `end` after the queue is written; sendTimeout still applies to each frame.
  void finish(LinkEnd end);
  // Ends at once and drops the queue.
  void close(LinkEnd end, const std::string& detail = {});
  // Ends at once, without calling any callback.
  void abandon();

  bool isConnected() const { return connected_; }
  std::uint64_t bytesIn() const { return bytesIn_; }
  std::uint64_t bytesOut() const { return bytesOut_; }

 private:
  using ErrorCode = boost::system::error_code;

  Link(boost::asio::io_context& io, boost::asio::ip::tcp::socket socket, const Limits& limits,
       Callbacks callbacks);
  void onSocketReady();
  void restartReceiveTimer();
  void readLength();
  void readPayload(std::size_t size);
  void onPayload(std::size_t size);
  void writeNext();
  void onWritten(ErrorCode error, std::size_t size);
  void onSocketError(ErrorCode error);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer receiveTimer_;  // before the link is connected: for connectTimeout
  boost::asio::steady_timer sendTimer_;     // runs while a frame is being written
  Limits limits_;
  Callbacks callbacks_;  // onEnd is empty once the link has ended
  std::array<unsigned char, kFrameLengthBytes> length_{};
  std::string payload_;
  std::deque<SharedFrame> queue_;  // if writing_, its front is being written
  std::size_t queuedBytes_ = 0;    // sum of the sizes in queue_
  std::uint64_t bytesIn_ = 0;      // of complete frames, with their length fields
  std::uint64_t bytesOut_ = 0;
  bool connected_ = false;  // connected and not ended
  bool ended_ = false;      // no more reads, writes or callbacks
  bool writing_ = false;    // a write of the queue's front is pending
  // Set by finish(): how the link ends when queue_ is empty. Nothing more is queued then.
  std::optional<LinkEnd> pendingEnd_;
};

}  // namespace cairnjunction::fleet

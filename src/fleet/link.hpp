// One TCP connection of the fleet: frames in and out, with bounds on time and memory. Every way in which it
// can end has a name, so that logs and tests say what was seen.
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

// Why a link ended, by what this side saw.
enum class LinkEnd : std::uint8_t {
  connectionRefused,  // connecting failed: nobody listens, or there is no route
  connectTimeout,     // the connection was not established within Limits::connectTimeout
  rejected,           // the peer sent JoinRejected, with its reason
  receiveTimeout,     // no whole frame came within Limits::receiveTimeout: half open, cut, or the peer hangs
  sendTimeout,        // more than Limits::maxQueuedBytes waited, or one frame for longer than sendTimeout
  reset,              // the peer closed or reset the connection, perhaps in the middle of a frame
  badFrame,           // what came is no frame, or a message that the peer must not send
  notLeader,          // the peer does not lead, or (at a coordinator) this side leads no longer
  stopped             // this side closed it for a reason of its own
};
// As it stands in log lines.
std::string_view nameOf(LinkEnd end);

// Kept alive by its own pending operations; the holder of a pointer that goes away calls abandon() first.
// All calls and callbacks are on the event loop's thread.
class Link : public std::enable_shared_from_this<Link> {
 public:
  struct Limits {
    std::chrono::milliseconds connectTimeout{1000};
    std::chrono::milliseconds receiveTimeout{3000};   // between whole frames that are received
    std::chrono::milliseconds sendTimeout{3000};      // for one frame to be accepted by the system
    std::size_t maxQueuedBytes = 2 * kMaxFrameBytes;  // bytes that wait to be written
  };
  struct Callbacks {
    std::function<void()> onConnected;  // of a link that was dialled; may be empty
    std::function<void(const Message&)> onMessage;
    std::function<void(LinkEnd, const std::string& detail)> onEnd;  // once, and no callback after it
  };

  static std::shared_ptr<Link> dial(boost::asio::io_context& io,
                                    const boost::asio::ip::tcp::endpoint& address, const Limits& limits,
                                    Callbacks callbacks);
  static std::shared_ptr<Link> accepted(boost::asio::io_context& io, boost::asio::ip::tcp::socket socket,
                                        const Limits& limits, Callbacks callbacks);

  // Queues a frame; it is written once the link is connected. May end the link with sendTimeout at once.
  void send(const Message& message) { send(encode(message)); }
  void send(SharedFrame frame);
  // Writes what is queued, for as long as sendTimeout allows, and then ends with `end`.
  void finish(LinkEnd end);
  // Ends at once; what is queued is dropped.
  void close(LinkEnd end, const std::string& detail = {});
  // Ends at once without a call to onEnd.
  void abandon();

  bool isUp() const { return up_; }
  std::uint64_t bytesIn() const { return bytesIn_; }
  std::uint64_t bytesOut() const { return bytesOut_; }

 private:
  using ErrorCode = boost::system::error_code;

  Link(boost::asio::io_context& io, boost::asio::ip::tcp::socket socket, const Limits& limits,
       Callbacks callbacks);
  void begin();
  void restartReceiveTimer();
  void readLength();
  void readPayload(std::size_t size);
  void onPayload(std::size_t size);
  void writeNext();
  void onWritten(ErrorCode error, std::size_t size);
  void onSocketError(ErrorCode error);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer receiveTimer_;  // while connecting: for connectTimeout
  boost::asio::steady_timer sendTimer_;     // runs while a frame is being written
  Limits limits_;
  Callbacks callbacks_;  // onEnd is empty once the link has ended
  std::array<unsigned char, kFrameLengthBytes> length_{};
  std::string payload_;
  std::deque<SharedFrame> queue_;  // its front is the frame that is being written, if writing_
  std::size_t queuedBytes_ = 0;    // the sum of queue_
  std::uint64_t bytesIn_ = 0;      // of whole frames
  std::uint64_t bytesOut_ = 0;
  bool up_ = false;                   // connected and not ended
  bool ended_ = false;                // nothing is read, written or called back any more
  bool writing_ = false;              // one frame is with the system
  std::optional<LinkEnd> finishing_;  // ends so once queue_ is empty; nothing is added to it
};

}  // namespace cairnjunction::fleet

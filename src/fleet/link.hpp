// One TCP connection of the fleet: frames in and out, bounded, with a name for each way in which it ends.
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

enum class LinkEnd {
  connectionRefused,  // nobody listens
  connectTimeout,     // it did not come up in time
  rejected,           // by the other side, with a reason
  receiveTimeout,     // no whole frame for its time: half open, cut, or the other side hangs
  sendTimeout,        // more waits to be written than the bound, or the same for too long
  reset,              // closed or reset by the other side, perhaps in the middle of a frame
  badFrame,           // what came is no frame of ours
  notLeader,          // the other side does not lead
  stopped             // by us
};
std::string_view nameOf(LinkEnd end);

class Link : public std::enable_shared_from_this<Link> {
 public:
  struct Limits {
    std::chrono::milliseconds connectTimeout{1000};
    std::chrono::milliseconds receiveTimeout{3000};  // between whole frames that come
    std::chrono::milliseconds sendTimeout{3000};     // for one frame to be taken by the system
    std::size_t maxQueuedBytes = 2 * kFrameMost;     // bytes that wait to be written
  };
  struct Callbacks {
    std::function<void()> up;
    std::function<void(const Message&)> message;
    std::function<void(LinkEnd, const std::string& why)> ended;  // once, and nothing after it
  };

  static std::shared_ptr<Link> dial(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& to,
                                    const Limits& limits, Callbacks callbacks);
  static std::shared_ptr<Link> accepted(boost::asio::io_context& io, boost::asio::ip::tcp::socket socket,
                                        const Limits& limits, Callbacks callbacks);

  void send(const Message& message) { send(encode(message)); }
  void send(Bytes frame);
  // What was sent is still written, for as long as `slow` allows; then `ended` comes with `end`.
  void finish(LinkEnd end);
  void close(LinkEnd end, const std::string& why = {});
  void abandon();  // without a word: `ended` is not called
  bool isUp() const { return up_; }
  std::uint64_t bytesIn() const { return bytesIn_; }
  std::uint64_t bytesOut() const { return bytesOut_; }

 private:
  Link(boost::asio::io_context& io, boost::asio::ip::tcp::socket socket, const Limits& limits,
       Callbacks callbacks);
  void begin();
  void watchSilence();
  void readLength();
  void readPayload(std::size_t size);
  void write();
  void lost(boost::system::error_code ec);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer silence_, slow_;
  Limits limits_;
  Callbacks callbacks_;
  std::array<unsigned char, 4> length_{};
  std::string payload_;
  std::deque<Bytes> out_;
  std::size_t queued_ = 0;
  std::uint64_t bytesIn_ = 0, bytesOut_ = 0;
  bool up_ = false, over_ = false, writing_ = false;
  std::optional<LinkEnd> finishing_;
};

}  // namespace cairnjunction::fleet

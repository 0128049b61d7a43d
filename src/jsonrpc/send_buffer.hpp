// What a connection is still to send: frames in their order, of which those that are not begun can be taken
// back. Knows of each request whether its last byte is written.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

#include "jsonrpc/frame.hpp"

namespace cairnjunction::jsonrpc {

class SendBuffer {
 public:
  // Of a frame: positions among all bytes that the connection ever sends. `end` is behind its last byte.
  struct Range {
    std::uint64_t begin = 0;
    std::uint64_t end = 0;
  };
  enum class Status {
    empty,    // all is written
    blocked,  // the socket takes no more for now
    failed    // the connection is broken
  };
  struct Written {
    Status status = Status::empty;
    std::size_t requests = 0;  // whose last byte was written now
  };

  explicit SendBuffer(Form form) : form_(form) {}

  Range appendRequest(std::string_view text);
  void appendNotification(std::string_view text);
  // Takes back a request that is not begun. The ranges of those behind it move by its size: see moved().
  void remove(const Range& request);
  // The range that another request has after `removed` was taken back.
  static Range moved(const Range& request, const Range& removed);
  // Writes as much as the socket takes, which must not block.
  Written write(boost::asio::ip::tcp::socket& socket);

  bool isWritten(const Range& request) const { return request.end <= position(); }  // to its last byte
  bool isBegun(const Range& request) const { return request.begin < position(); }
  std::size_t unsentBytes() const { return bytes_.size() - sent_; }

 private:
  std::uint64_t position() const { return base_ + sent_; }
  void dropSent();

  const Form form_;
  std::string bytes_;                        // of the stream, from base_ on
  std::size_t sent_ = 0;                     // of bytes_
  std::uint64_t base_ = 0;                   // sent before bytes_
  std::deque<std::uint64_t> unwrittenEnds_;  // of the requests whose last byte is not written, ascending
};

}  // namespace cairnjunction::jsonrpc

// Writes the request of one attempt to a connection and tracks whether its last byte has been written.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <string>
#include <string_view>

#include "cairnjunction/load_balancer.hpp"
#include "core/call.hpp"

namespace cairnjunction {

class RequestWriter {
 public:
  enum class Result {
    written,  // the last byte has been written
    blocked,  // the send buffer of the socket is full; call write() again when the socket is writable
    failed    // the connection is broken, and the last byte has not been written
  };

  // Begins the request. `call` must stay valid until write() has returned Result::written or clear() has been
  // called. `timeRemaining` is sent to the endpoint as the deadline.
  void begin(const Call& call, const boost::asio::ip::tcp::endpoint& address, policy::Duration timeRemaining);
  // Writes as much as the socket accepts; the socket must be non-blocking. An asynchronous write is not used:
  // its completion could still be queued in the event loop when the attempt ends, and then it would be
  // unknown whether the last byte has been written.
  Result write(boost::asio::ip::tcp::socket& socket);
  void clear();                                          // drops the request
  std::size_t writtenBytes() const { return written_; }  // since begin()

 private:
  std::string head_;         // includes a small body
  std::string_view body_;    // a larger body, owned by the call; empty once written
  std::size_t written_ = 0;  // bytes of head_ and body_ together
};

}  // namespace cairnjunction

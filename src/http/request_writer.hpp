// Writes the request of one attempt to a connection, and knows whether its last byte is written.
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
    written,  // to its last byte
    blocked,  // the socket takes no more for now
    failed    // the connection is broken, and the last byte was not written
  };

  // Begins the request. `call` must stay valid until write() has returned Result::written or clear() was
  // called. `timeRemaining` is passed to the endpoint.
  void begin(const Call& call, const boost::asio::ip::tcp::endpoint& address, policy::Duration timeRemaining);
  // Writes as much as the socket takes, which must not block. By this and not by an operation of the library,
  // whose completion may be in the event loop's queue when the attempt ends: then it could not be known
  // whether the last byte was written.
  Result write(boost::asio::ip::tcp::socket& socket);
  void clear();  // frees what the request took

 private:
  std::string head_;         // and a small body behind it
  std::string_view body_;    // a larger body, which is the call's; empty when it is written
  std::size_t written_ = 0;  // bytes of both together
};

}  // namespace cairnjunction

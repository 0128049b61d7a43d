// Connects a socket to an endpoint, and reports why it failed. There is no timeout here: the caller enforces
// it by closing the socket.
#pragma once

#include <array>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <optional>
#include <utility>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction {

// Maps the system's error of a failed connect to a reason: a lack of resources of the gateway (noDescriptor),
// a timeout, or any other error, which means that the endpoint accepts no connections.
inline policy::FailureReason connectFailureReason(const boost::system::error_code& ec) {
  namespace errc = boost::system::errc;
  constexpr std::array localResourceErrors{errc::too_many_files_open, errc::too_many_files_open_in_system,
                                           errc::no_buffer_space, errc::not_enough_memory,
                                           errc::address_not_available};
  for (const errc::errc_t error : localResourceErrors)
    if (ec == error) return policy::FailureReason::noDescriptor;
  return ec == errc::timed_out ? policy::FailureReason::connectTimeout
                               : policy::FailureReason::connectionRefused;
}

enum class ConnectStart {
  begun,
  noDescriptor  // no socket could be opened; `done` is not called
};

// Opens `socket`, which must be closed, and connects it asynchronously; it becomes non-blocking, with Nagle's
// algorithm off. The event loop calls `done(std::optional<policy::FailureReason>)`, with an empty value if
// the connection is established; it is also called if the socket is closed before. `socket` must stay valid
// until then.
template <class Handler>
ConnectStart beginConnect(boost::asio::ip::tcp::socket& socket, const boost::asio::ip::tcp::endpoint& address,
                          Handler done) {
  boost::system::error_code ec;
  socket.open(address.protocol(), ec);
  if (!ec) socket.non_blocking(true, ec);
  if (ec) return ConnectStart::noDescriptor;
  socket.async_connect(
      address, [&socket, done = std::move(done)](const boost::system::error_code& connectError) mutable {
        if (connectError) return done(std::optional(connectFailureReason(connectError)));
        boost::system::error_code ignored;
        socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        done(std::optional<policy::FailureReason>());
      });
  return ConnectStart::begun;
}

}  // namespace cairnjunction

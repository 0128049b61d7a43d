// The beginning of a connection to an endpoint: opens the socket, connects it and says why it did not come
// up. The time limit is the caller's, which closes the socket when it is over.
#pragma once

#include <array>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <optional>
#include <utility>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction {

// Why a connection did not come up, by the system's error: a lack of the gateway's own, silence, or else what
// the machine or the network answered, which is that nobody takes connections there.
inline policy::FailureReason connectFailureReason(const boost::system::error_code& ec) {
  namespace errc = boost::system::errc;
  constexpr std::array ownLacks{errc::too_many_files_open, errc::too_many_files_open_in_system,
                                errc::no_buffer_space, errc::not_enough_memory, errc::address_not_available};
  for (const errc::errc_t lack : ownLacks)
    if (ec == lack) return policy::FailureReason::noDescriptor;
  return ec == errc::timed_out ? policy::FailureReason::connectTimeout
                               : policy::FailureReason::connectionRefused;
}

enum class ConnectStart {
  begun,
  noDescriptor  // no socket could be opened; the handler is not called
};

// Connects `socket`, which is closed so far, without blocking and with Nagle's algorithm off. `socket` must
// stay valid until `done(std::optional<policy::FailureReason>)` is called, by the event loop: empty, if the
// connection is up. It is also called after the socket was closed.
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

// When an idle connection must be closed, and whether it can still be used.
#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction {

// An attempt that is written while the endpoint closes the connection fails, although it may have been
// executed. So an idle connection is closed this long before the endpoint's idle timeout, or a fifth of the
// timeout if that is less.
inline constexpr policy::Duration kIdleMargin = std::chrono::seconds(2);
// How often idle connections are checked: the longest delay of closing one.
inline constexpr policy::Duration kIdleCheckInterval = std::chrono::milliseconds(250);

// Whether an idle connection must be closed. `endpointIdleTimeout` is the time after which the endpoint
// closes it; 0: never.
inline bool isIdleTooLong(std::chrono::steady_clock::time_point idleSince,
                          std::chrono::steady_clock::time_point now, policy::Duration endpointIdleTimeout) {
  if (endpointIdleTimeout <= policy::Duration::zero()) return false;
  return now - idleSince >= endpointIdleTimeout - std::min(kIdleMargin, endpointIdleTimeout / 5);
}

// Whether the peer has neither closed an idle connection nor sent unexpected bytes. Asks the system directly,
// since the event loop may notice either only later. `socket` must be non-blocking.
inline bool isOpenAndSilent(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  boost::system::error_code ec;
  socket.receive(boost::asio::buffer(&byte, 1), boost::asio::ip::tcp::socket::message_peek, ec);
  return ec == boost::asio::error::would_block || ec == boost::asio::error::try_again;
}

}  // namespace cairnjunction

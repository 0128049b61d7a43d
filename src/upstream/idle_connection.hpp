// When a connection without attempts is to be given up, and whether it can still be used.
#pragma once

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>

#include "cairnjunction/load_balancer.hpp"

namespace cairnjunction {

// A connection that the endpoint is just closing fails an attempt that is written to it, and that attempt may
// have been executed. So an idle connection is closed earlier than the endpoint would by this, or by a fifth
// of a short idle time.
inline constexpr policy::Duration kIdleMargin = std::chrono::seconds(2);
// How late an idle connection may be closed.
inline constexpr policy::Duration kIdleCheckInterval = std::chrono::milliseconds(250);

// `endpointIdleTimeout`: after which the endpoint closes it; 0: never.
inline bool isIdleTooLong(std::chrono::steady_clock::time_point idleSince,
                          std::chrono::steady_clock::time_point now, policy::Duration endpointIdleTimeout) {
  if (endpointIdleTimeout <= policy::Duration::zero()) return false;
  return now - idleSince >= endpointIdleTimeout - std::min(kIdleMargin, endpointIdleTimeout / 5);
}

// Whether the peer has neither closed an idle connection nor sent anything unasked, as far as the system
// knows now: the event loop may come to it only later. `socket` must not block.
inline bool isOpenAndSilent(boost::asio::ip::tcp::socket& socket) {
  char byte = 0;
  boost::system::error_code ec;
  socket.receive(boost::asio::buffer(&byte, 1), boost::asio::ip::tcp::socket::message_peek, ec);
  return ec == boost::asio::error::would_block || ec == boost::asio::error::try_again;
}

}  // namespace cairnjunction

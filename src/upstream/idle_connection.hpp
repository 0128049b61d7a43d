// When an idle connection must be closed, and whether it can still be used.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <string_view>

#include "cairnjunction/load_balancer.hpp"
#include "common/socket_io.hpp"

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

// What an endpoint has done on a connection on which no response is due.
enum class IdleInput {
  silent,
  closed,           // closed or reset it, or announced that it closes it
  unsolicitedBytes  // sent bytes without being asked
};

// Asks the system directly, since the event loop may notice it only later. `socket` must be non-blocking.
inline IdleInput idleInputOf(boost::asio::ip::tcp::socket& socket) {
  // A server may close an idle connection with a response 408 (RFC 9110, 15.5.9).
  constexpr std::string_view timeoutResponse11 = "HTTP/1.1 408 ";
  constexpr std::string_view timeoutResponse10 = "HTTP/1.0 408 ";
  std::array<char, timeoutResponse11.size()> start;
  std::size_t size = 0;
  switch (peekInput(socket, boost::asio::buffer(start), size)) {
    case SocketInput::none: return IdleInput::silent;
    case SocketInput::ended: return IdleInput::closed;
    case SocketInput::bytes: break;
  }
  const std::string_view bytes(start.data(), size);
  const bool announced = bytes == timeoutResponse11 || bytes == timeoutResponse10;
  return announced ? IdleInput::closed : IdleInput::unsolicitedBytes;
}

// Whether the peer has neither closed an idle connection nor sent unexpected bytes.
inline bool isOpenAndSilent(boost::asio::ip::tcp::socket& socket) {
  return peekInput(socket) == SocketInput::none;
}

}  // namespace cairnjunction

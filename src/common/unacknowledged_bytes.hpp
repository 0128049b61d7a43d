// How much of what was written to a socket its peer has not taken yet.
#pragma once

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <cstddef>

namespace cairnjunction {

// Bytes that the peer's system has not acknowledged; 0 if the system can't tell.
template <class Socket>
std::size_t unacknowledgedBytes(Socket& socket) {
  int bytes = 0;
  if (::ioctl(socket.native_handle(), SIOCOUTQ, &bytes) != 0 || bytes < 0) return 0;
  return static_cast<std::size_t>(bytes);
}

}  // namespace cairnjunction

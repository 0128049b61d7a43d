// Helpers for non-blocking sockets, for client and worker connections.
#pragma once

#include <boost/asio/error.hpp>
#include <boost/system/error_code.hpp>

namespace cairnjunction::jsonrpc {

inline bool wouldBlock(boost::system::error_code ec) {
  return ec == boost::asio::error::would_block || ec == boost::asio::error::try_again;
}

}  // namespace cairnjunction::jsonrpc

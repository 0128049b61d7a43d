// Reads and writes on non-blocking sockets in all the ways that Linux documents: a call that a signal
// interrupts is repeated, a short write is continued, and only a full or empty buffer is waited for. All code
// of the gateway that uses sockets goes through here, or through the event loop's reads, which do the same.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <utility>

namespace cairnjunction {

inline bool wouldBlock(const boost::system::error_code& ec) {
  return ec == boost::asio::error::would_block || ec == boost::asio::error::try_again;
}

// Like Socket::read_some and Socket::write_some, but never ends with `interrupted`.
template <class Socket, class Buffers>
std::size_t readSome(Socket& socket, const Buffers& buffers, boost::system::error_code& ec) {
  for (;;) {
    const std::size_t size = socket.read_some(buffers, ec);
    if (ec != boost::asio::error::interrupted) return size;
  }
}

template <class Socket, class Buffers>
std::size_t writeSome(Socket& socket, const Buffers& buffers, boost::system::error_code& ec) {
  for (;;) {
    const std::size_t size = socket.write_some(buffers, ec);
    if (ec != boost::asio::error::interrupted) return size;
  }
}

// What a socket has to read, without reading it.
enum class SocketInput {
  none,
  bytes,
  ended  // the peer has closed or reset the connection, and all before that is read
};

// Copies what can be read now into `buffer` and leaves it at the socket; `size` is the number of bytes.
template <class Socket>
SocketInput peekInput(Socket& socket, const boost::asio::mutable_buffer& buffer, std::size_t& size) {
  boost::system::error_code ec;
  do {
    size = socket.receive(buffer, boost::asio::socket_base::message_peek, ec);
  } while (ec == boost::asio::error::interrupted);
  if (!ec) return SocketInput::bytes;
  return wouldBlock(ec) ? SocketInput::none : SocketInput::ended;
}

template <class Socket>
SocketInput peekInput(Socket& socket) {
  char byte = 0;
  std::size_t size = 0;
  return peekInput(socket, boost::asio::buffer(&byte, 1), size);
}

// Why a listener gave no connection.
enum class AcceptFailure {
  nonePending,
  connectionLost,  // the next one may be accepted at once
  noDescriptor,    // the process has none left
  noResources      // the system has none left for the moment
};

inline AcceptFailure acceptFailureOf(const boost::system::error_code& ec) {
  namespace errc = boost::system::errc;
  if (wouldBlock(ec)) return AcceptFailure::nonePending;
  if (ec == errc::too_many_files_open) return AcceptFailure::noDescriptor;
  if (ec == errc::too_many_files_open_in_system || ec == errc::no_buffer_space ||
      ec == errc::not_enough_memory)
    return AcceptFailure::noResources;
  return AcceptFailure::connectionLost;  // Linux also reports errors of the new connection here
}

// Makes accept() return when a pending connection was aborted. By default Asio then waits for the next one,
// in the middle of the event loop.
template <class Acceptor>
void reportAbortedConnections(Acceptor& acceptor) {
  acceptor.set_option(boost::asio::socket_base::enable_connection_aborted(true));
}

// Writes all of `data`, then calls `done(error_code, bytes written)` from the event loop. `data` and the
// socket must stay valid until then. Use this in place of asio::async_write: its wait behind a short write is
// never ended by the edge-triggered event loop, since the socket has been writable all the time.
template <class Socket, class Handler>
void asyncWriteAll(Socket& socket, boost::asio::const_buffer data, Handler done, std::size_t written = 0) {
  boost::system::error_code ec;
  if (!socket.non_blocking()) socket.non_blocking(true, ec);
  while (!ec && data.size() > 0) {
    const std::size_t size = writeSome(socket, boost::asio::const_buffers_1(data), ec);
    data += size;
    written += size;
  }
  if (!wouldBlock(ec)) {
    boost::asio::post(socket.get_executor(),
                      [done = std::move(done), ec, written]() mutable { done(ec, written); });
    return;
  }
  socket.async_wait(
      boost::asio::socket_base::wait_write,
      [&socket, data, done = std::move(done), written](const boost::system::error_code& waitError) mutable {
        if (waitError) return done(waitError, written);
        asyncWriteAll(socket, data, std::move(done), written);
      });
}

}  // namespace cairnjunction

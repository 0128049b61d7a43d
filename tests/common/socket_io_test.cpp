// Sockets whose calls are interrupted or short, as Linux documents it.
#include "common/socket_io.hpp"

#include <gtest/gtest.h>

#include <boost/asio/read.hpp>
#include <string>

#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

// A socket of which every second call is interrupted, and each other one moves a single byte.
class FaultySocket {
 public:
  explicit FaultySocket(tcp::socket& socket) : socket_(socket) {}

  bool non_blocking() const { return socket_.non_blocking(); }
  void non_blocking(bool mode, error_code& ec) { socket_.non_blocking(mode, ec); }
  auto get_executor() { return socket_.get_executor(); }
  template <class Handler>
  void async_wait(tcp::socket::wait_type what, Handler handler) {
    ++waits;
    socket_.async_wait(what, std::move(handler));
  }
  template <class Buffers>
  std::size_t write_some(const Buffers& buffers, error_code& ec) {
    if (interrupts(ec)) return 0;
    return socket_.write_some(asio::buffer(*asio::buffer_sequence_begin(buffers), 1), ec);
  }
  template <class Buffers>
  std::size_t read_some(const Buffers& buffers, error_code& ec) {
    if (interrupts(ec)) return 0;
    return socket_.read_some(asio::buffer(*asio::buffer_sequence_begin(buffers), 1), ec);
  }
  std::size_t receive(const asio::mutable_buffer& buffer, tcp::socket::message_flags flags, error_code& ec) {
    if (interrupts(ec)) return 0;
    return socket_.receive(buffer, flags, ec);
  }

  int waits = 0;

 private:
  bool interrupts(error_code& ec) {
    interrupt_ = !interrupt_;
    if (interrupt_) ec = asio::error::interrupted;
    return interrupt_;
  }

  tcp::socket& socket_;
  bool interrupt_ = false;
};

class SocketIoTest : public LoopTest {
 protected:
  tcp::socket near{io}, far{io};

  void SetUp() override {
    tcp::acceptor acceptor(io, loopback());
    near.connect(acceptor.local_endpoint());
    acceptor.accept(far);
    near.non_blocking(true);
    far.non_blocking(true);
  }
};

TEST_F(SocketIoTest, ShortAndInterruptedWritesAreContinuedWithoutAWait) {
  FaultySocket faulty(near);
  const std::string text = "a response that is written byte by byte";
  std::size_t written = 0;
  asyncWriteAll(faulty, asio::buffer(text), [&](error_code ec, std::size_t size) {
    EXPECT_FALSE(ec);
    written = size;
  });
  EXPECT_EQ(written, 0u) << "told from the event loop";
  ASSERT_TRUE(until([&] { return written == text.size(); }));
  EXPECT_EQ(faulty.waits, 0);
  std::string received(text.size(), ' ');
  asio::read(far, asio::buffer(received));
  EXPECT_EQ(received, text);
}

TEST_F(SocketIoTest, WriteToAFullSocketWaitsAndGoesOn) {
  const std::string text(8 << 20, 'x');
  std::size_t written = 0, received = 0;
  asyncWriteAll(near, asio::buffer(text), [&](error_code ec, std::size_t size) {
    EXPECT_FALSE(ec);
    written = size;
  });
  std::string piece(64 << 10, ' ');
  ASSERT_TRUE(until([&] {
    error_code ec;
    received += far.read_some(asio::buffer(piece), ec);
    return written == text.size() && received == text.size();
  }));
}

TEST_F(SocketIoTest, WriteToAClosedSocketTellsTheError) {
  near.close();
  bool told = false;
  asyncWriteAll(near, asio::buffer("x", 1), [&](error_code ec, std::size_t) { told = bool(ec); });
  ASSERT_TRUE(until([&] { return told; }));
}

TEST_F(SocketIoTest, InterruptedReadIsRepeated) {
  far.send(asio::buffer("ab", 2));
  FaultySocket faulty(near);
  char byte = 0;
  error_code ec;
  ASSERT_TRUE(until([&] { return peekInput(near) == SocketInput::bytes; }));
  EXPECT_EQ(readSome(faulty, asio::buffer(&byte, 1), ec), 1u);
  EXPECT_FALSE(ec);
}

TEST_F(SocketIoTest, PeekTellsBytesFromAnEndAndFromAnInterruption) {
  FaultySocket faulty(near);
  EXPECT_EQ(peekInput(faulty), SocketInput::none);
  far.send(asio::buffer("a", 1));
  ASSERT_TRUE(until([&] { return peekInput(faulty) == SocketInput::bytes; }));
  char byte = 0;
  near.receive(asio::buffer(&byte, 1));
  far.close();
  ASSERT_TRUE(until([&] { return peekInput(faulty) == SocketInput::ended; }));
}

TEST(AcceptFailureTest, ErrorsOfOneConnectionAreToldFromAWantOfDescriptors) {
  namespace errc = boost::system::errc;
  const auto failureOf = [](errc::errc_t error) {
    return acceptFailureOf({error, boost::system::system_category()});
  };
  EXPECT_EQ(failureOf(errc::resource_unavailable_try_again), AcceptFailure::nonePending);
  for (const auto error :
       {errc::connection_aborted, errc::interrupted, errc::protocol_error, errc::network_down,
        errc::host_unreachable, errc::network_unreachable, errc::operation_not_permitted, errc::timed_out})
    EXPECT_EQ(failureOf(error), AcceptFailure::connectionLost);
  EXPECT_EQ(failureOf(errc::too_many_files_open), AcceptFailure::noDescriptor);
  for (const auto error :
       {errc::too_many_files_open_in_system, errc::no_buffer_space, errc::not_enough_memory})
    EXPECT_EQ(failureOf(error), AcceptFailure::noResources);
}

}  // namespace
}  // namespace cairnjunction::testing

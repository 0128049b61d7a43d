#include "jsonrpc/send_buffer.hpp"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>

namespace cairnjunction::testing {
namespace {

using boost::asio::ip::tcp;
using jsonrpc::Form;
using jsonrpc::SendBuffer;
using Status = SendBuffer::Status;

class SendBufferTest : public ::testing::Test {
 protected:
  boost::asio::io_context io;
  tcp::acceptor acceptor{io, {boost::asio::ip::address_v4::loopback(), 0}};
  tcp::socket socket{io};
  tcp::socket peer{io};
  SendBuffer buffer{Form::lines};

  SendBufferTest() {
    socket.connect(acceptor.local_endpoint());
    acceptor.accept(peer);
    socket.non_blocking(true);
  }
  std::string receive() {
    std::array<char, 65536> bytes{};
    return {bytes.data(), peer.read_some(boost::asio::buffer(bytes))};
  }
};

TEST_F(SendBufferTest, FramesAreWrittenInTheirOrder) {
  const auto first = buffer.appendRequest("{1}");
  buffer.appendNotification("{n}");
  const auto second = buffer.appendRequest("{2}");
  EXPECT_FALSE(buffer.isBegun(first));
  EXPECT_EQ(buffer.unsentBytes(), 12u);
  const SendBuffer::Written written = buffer.write(socket);
  EXPECT_EQ(written.status, Status::empty);
  EXPECT_EQ(written.requests, 2u) << "a notification is none";
  EXPECT_TRUE(buffer.isWritten(first));
  EXPECT_TRUE(buffer.isWritten(second));
  EXPECT_EQ(buffer.unsentBytes(), 0u);
  EXPECT_EQ(receive(), "{1}\n{n}\n{2}\n");
}

// A client leaves before its request is written: those behind it move forward, and are still told apart.
TEST_F(SendBufferTest, ARequestThatIsTakenBackIsNeverWritten) {
  const auto first = buffer.appendRequest("{first}");
  const auto second = buffer.appendRequest("{second}");
  const auto third = buffer.appendRequest("{third}");
  buffer.remove(second);
  const auto moved = SendBuffer::moved(third, second);
  EXPECT_EQ(moved.begin, second.begin);
  EXPECT_EQ(moved.end - moved.begin, third.end - third.begin);
  EXPECT_EQ(SendBuffer::moved(first, second).begin, first.begin);
  EXPECT_EQ(buffer.write(socket).requests, 2u);
  EXPECT_TRUE(buffer.isWritten(moved));
  EXPECT_EQ(receive(), "{first}\n{third}\n");
}

TEST_F(SendBufferTest, PositionsGoOnThroughTheWholeConnection) {
  const auto first = buffer.appendRequest("{1}");
  buffer.write(socket);
  const auto second = buffer.appendRequest("{2}");
  EXPECT_EQ(second.begin, first.end);
  EXPECT_TRUE(buffer.isWritten(first));
  EXPECT_FALSE(buffer.isBegun(second));
}

// A worker that reads nothing: the request that is half written is begun and not written.
TEST_F(SendBufferTest, ARequestThatTheSocketTakesInPartIsBegunAndNotWritten) {
  const auto large = buffer.appendRequest(std::string(32 << 20, 'x'));
  const auto behind = buffer.appendRequest("{2}");
  const SendBuffer::Written written = buffer.write(socket);
  EXPECT_EQ(written.status, Status::blocked);
  EXPECT_EQ(written.requests, 0u);
  EXPECT_TRUE(buffer.isBegun(large));
  EXPECT_FALSE(buffer.isWritten(large));
  EXPECT_FALSE(buffer.isBegun(behind));
  std::size_t received = 0;
  SendBuffer::Written rest = written;
  std::size_t requests = 0;
  while (rest.status == Status::blocked) {
    received += receive().size();
    rest = buffer.write(socket);
    requests += rest.requests;
  }
  EXPECT_EQ(rest.status, Status::empty);
  EXPECT_EQ(requests, 2u);
  EXPECT_GT(received, 0u);
  EXPECT_TRUE(buffer.isWritten(behind));
}

TEST_F(SendBufferTest, ABrokenConnectionIsTold) {
  const auto request = buffer.appendRequest("{1}");
  socket.close();
  EXPECT_EQ(buffer.write(socket).status, Status::failed);
  EXPECT_FALSE(buffer.isWritten(request));
}

}  // namespace
}  // namespace cairnjunction::testing

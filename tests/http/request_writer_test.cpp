// RequestWriter over a real connection: small and large requests, and a broken connection.
#include "http/request_writer.hpp"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using Result = RequestWriter::Result;

class RequestWriterTest : public ::testing::Test {
 protected:
  boost::asio::io_context io;
  tcp::acceptor acceptor{io, {boost::asio::ip::address_v4::loopback(), 0}};
  tcp::socket socket{io};
  tcp::socket peer{io};
  RequestWriter writer;
  Call call;

  RequestWriterTest() {
    socket.connect(acceptor.local_endpoint());
    acceptor.accept(peer);
    socket.non_blocking(true);
    call.externalId = "name";
    call.message.verb = "POST";
    call.message.target = "/work";
  }
  std::string receive(std::size_t maxBytes) {
    std::string bytes(maxBytes, '\0');
    bytes.resize(peer.read_some(boost::asio::buffer(bytes)));
    return bytes;
  }
};

TEST_F(RequestWriterTest, SmallRequestIsWrittenAtOnce) {
  call.message.body = "text";
  writer.begin(call, acceptor.local_endpoint(), 250ms);
  EXPECT_EQ(writer.write(socket), Result::written);
  const std::string text = receive(4096);
  EXPECT_EQ(text.rfind("POST /work HTTP/1.1\r\n", 0), 0u) << text;
  EXPECT_NE(text.find("X-Deadline-Ms: 250\r\n"), std::string::npos) << text;
  EXPECT_EQ(text.substr(text.size() - 8), "\r\n\r\ntext");
}

// With an endpoint that reads slowly, writing resumes where it stopped: no byte is lost or sent twice.
TEST_F(RequestWriterTest, LargeRequestResumesAfterTheSocketWasBlocked) {
  call.message.body.resize(16 << 20);
  for (std::size_t i = 0; i < call.message.body.size(); ++i)
    call.message.body[i] = static_cast<char>('a' + i / 7 % 26);
  writer.begin(call, acceptor.local_endpoint(), 250ms);
  std::string received;
  int blocked = 0;
  Result result = writer.write(socket);
  while (result == Result::blocked) {
    ++blocked;
    received += receive(1 << 20);
    result = writer.write(socket);
  }
  EXPECT_EQ(result, Result::written);
  EXPECT_GT(blocked, 0);
  socket.close();
  boost::system::error_code ec;
  std::array<char, 65536> rest{};
  while (const std::size_t bytes = peer.read_some(boost::asio::buffer(rest), ec))
    received.append(rest.data(), bytes);
  const std::size_t bodyBegin = received.find("\r\n\r\n") + 4;
  EXPECT_TRUE(received.substr(bodyBegin) == call.message.body);
}

TEST_F(RequestWriterTest, WriteFailsOnABrokenConnection) {
  socket.close();
  writer.begin(call, acceptor.local_endpoint(), 250ms);
  EXPECT_EQ(writer.write(socket), Result::failed);
}

}  // namespace
}  // namespace cairnjunction::testing

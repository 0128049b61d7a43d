// Tests of links on loopback: between two links, and between a link and a raw socket.
#include "fleet/link.hpp"

#include <boost/asio/write.hpp>

#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using fleet::LinkEnd;
using fleet::Message;

class LinkTest : public LoopTest {
 protected:
  tcp::acceptor acceptor{io, loopback()};
  std::shared_ptr<fleet::Link> near, far;
  std::optional<LinkEnd> nearEnd, farEnd;
  int receivedCount = 0;
  fleet::Link::Limits limits{1000ms, 300ms, 300ms, 1 << 20};

  fleet::Link::Callbacks callbacks(std::optional<LinkEnd>& end) {
    return {nullptr, [this](const Message&) { ++receivedCount; },
            [&end](LinkEnd reason, const std::string&) { end = reason; }};
  }
  void connect() {
    acceptor.async_accept([this](error_code ec, tcp::socket socket) {
      ASSERT_FALSE(ec);
      far = fleet::Link::accepted(io, std::move(socket), limits, callbacks(farEnd));
    });
    near = fleet::Link::dial(io, acceptor.local_endpoint(), limits, callbacks(nearEnd));
    ASSERT_TRUE(until([&] { return near->isConnected() && far; }));
  }
  void TearDown() override {
    for (const auto& link : {near, far})
      if (link) link->abandon();
    io.restart();
    io.poll();
  }
};

// Nothing listens, both sides send nothing, or one side finishes its link after a last message: each end is
// reported with its LinkEnd.
TEST_F(LinkTest, ReportsTheReasonOfEachEnd) {
  near = fleet::Link::dial(io, {asio::ip::make_address("127.0.0.1"), 1}, limits, callbacks(nearEnd));
  ASSERT_TRUE(until([&] { return nearEnd.has_value(); }));
  EXPECT_EQ(*nearEnd, LinkEnd::connectionRefused);
  nearEnd.reset();
  connect();
  ASSERT_TRUE(until([&] { return nearEnd && farEnd; })) << "neither side sends a frame";
  EXPECT_TRUE(*nearEnd == LinkEnd::receiveTimeout || *farEnd == LinkEnd::receiveTimeout);
  nearEnd.reset();
  farEnd.reset();
  connect();
  near->send(fleet::Leave{});
  near->finish(LinkEnd::stopped);
  ASSERT_TRUE(until([&] { return farEnd.has_value(); }));
  EXPECT_EQ(*farEnd, LinkEnd::reset);
  EXPECT_EQ(receivedCount, 1) << "a message queued before finish() is delivered";
}

// A raw peer sends invalid bytes: a frame truncated at each byte before closing, an incomplete frame without
// closing, an excessive length, and payloads that are no message.
TEST_F(LinkTest, TruncatedAndInvalidFramesEndTheLinkWithAReason) {
  const std::string frame = *fleet::encode(fleet::Heartbeat{lease::BootTime(1ms), {{{"list", 0}, 4, 3}}});
  const auto sendRaw = [&](const std::string& bytes, bool closes) {
    farEnd.reset();
    tcp::socket raw(io);
    acceptor.async_accept([this](error_code, tcp::socket socket) {
      far = fleet::Link::accepted(io, std::move(socket), limits, callbacks(farEnd));
    });
    raw.connect(acceptor.local_endpoint());
    asio::write(raw, asio::buffer(bytes));
    if (closes) raw.close();
    EXPECT_TRUE(until([&] { return farEnd.has_value(); }));
    return *farEnd;
  };
  for (std::size_t size = 0; size < frame.size(); ++size)
    EXPECT_EQ(sendRaw(frame.substr(0, size), true), LinkEnd::reset) << size;
  EXPECT_EQ(receivedCount, 0);
  EXPECT_EQ(sendRaw(frame.substr(0, frame.size() - 1), false), LinkEnd::receiveTimeout)
      << "an incomplete frame does not restart the timer";
  EXPECT_EQ(sendRaw("\xff\xff\xff\xff", false), LinkEnd::badFrame) << "the length exceeds the maximum";
  EXPECT_EQ(sendRaw(std::string("\0\0\0\1x", 5), false), LinkEnd::badFrame);
  EXPECT_EQ(sendRaw(std::string("\0\0\0\0", 4), false), LinkEnd::badFrame);
}

// The peer reads nothing, so frames accumulate in the send queue. The link ends when the queue's limit is
// exceeded.
TEST_F(LinkTest, APeerThatDoesNotReadEndsTheLink) {
  tcp::socket raw(io);
  acceptor.async_accept([this](error_code, tcp::socket socket) {
    limits.receiveTimeout = 60s;
    far = fleet::Link::accepted(io, std::move(socket), limits, callbacks(farEnd));
  });
  raw.connect(acceptor.local_endpoint());
  ASSERT_TRUE(until([&] { return far != nullptr; }));
  for (int i = 0; i < 100 && !farEnd; ++i)
    far->send(fleet::Command{{{"list", 0}, 1, 1, {"n0", 1}}, false, std::string(1 << 18, 'x')});
  ASSERT_TRUE(until([&] { return farEnd.has_value(); }));
  EXPECT_EQ(*farEnd, LinkEnd::sendTimeout);
}

// An owner abandons the link before it is destroyed: no callback is called afterwards.
TEST_F(LinkTest, AnAbandonedLinkCallsNoCallback) {
  connect();
  near->abandon();
  EXPECT_FALSE(near->isConnected());
  ASSERT_TRUE(until([&] { return farEnd.has_value(); }));
  EXPECT_EQ(*farEnd, LinkEnd::reset);
  EXPECT_FALSE(nearEnd.has_value());
}

}  // namespace
}  // namespace cairnjunction::testing

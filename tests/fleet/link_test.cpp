// Links between two sides on loopback, and between a link and a raw socket.
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
  int heard = 0;
  fleet::Link::Limits limits{1000ms, 300ms, 300ms, 1 << 20};

  fleet::Link::Callbacks callbacks(std::optional<LinkEnd>& end) {
    return {nullptr, [this](const Message&) { ++heard; },
            [&end](LinkEnd seen, const std::string&) { end = seen; }};
  }
  void connect() {
    acceptor.async_accept([this](error_code ec, tcp::socket socket) {
      ASSERT_FALSE(ec);
      far = fleet::Link::accepted(io, std::move(socket), limits, callbacks(farEnd));
    });
    near = fleet::Link::dial(io, acceptor.local_endpoint(), limits, callbacks(nearEnd));
    ASSERT_TRUE(until([&] { return near->isUp() && far; }));
  }
  void TearDown() override {
    for (const auto& link : {near, far})
      if (link) link->abandon();
    io.restart();
    io.poll();
  }
};

// Nobody listens; both sides are silent; one side ends its link after a last message. Each is seen by its
// name.
TEST_F(LinkTest, EachEndHasItsName) {
  near = fleet::Link::dial(io, {asio::ip::make_address("127.0.0.1"), 1}, limits, callbacks(nearEnd));
  ASSERT_TRUE(until([&] { return nearEnd.has_value(); }));
  EXPECT_EQ(*nearEnd, LinkEnd::connectionRefused);
  nearEnd.reset();
  connect();
  ASSERT_TRUE(until([&] { return nearEnd && farEnd; })) << "nobody says a word";
  EXPECT_TRUE(*nearEnd == LinkEnd::receiveTimeout || *farEnd == LinkEnd::receiveTimeout);
  nearEnd.reset();
  farEnd.reset();
  connect();
  near->send(fleet::Leave{});
  near->finish(LinkEnd::stopped);
  ASSERT_TRUE(until([&] { return farEnd.has_value(); }));
  EXPECT_EQ(*farEnd, LinkEnd::reset);
  EXPECT_EQ(heard, 1) << "what was sent before the end arrives";
}

// A raw peer sends what a link never would: a frame cut at each of its bytes, half a frame and then nothing,
// a length that is too long, and payloads that are no message.
TEST_F(LinkTest, BytesThatAreCutOffOrWrongEndTheLinkByName) {
  const std::string frame = *fleet::encode(fleet::Heartbeat{lease::BootTime(1ms), {{{"list", 0}, 4, 3}}});
  const auto play = [&](const std::string& bytes, bool closes) {
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
    EXPECT_EQ(play(frame.substr(0, size), true), LinkEnd::reset) << size;
  EXPECT_EQ(heard, 0);
  EXPECT_EQ(play(frame.substr(0, frame.size() - 1), false), LinkEnd::receiveTimeout)
      << "half a frame says nothing";
  EXPECT_EQ(play("\xff\xff\xff\xff", false), LinkEnd::badFrame) << "too long";
  EXPECT_EQ(play(std::string("\0\0\0\1x", 5), false), LinkEnd::badFrame);
  EXPECT_EQ(play(std::string("\0\0\0\0", 4), false), LinkEnd::badFrame);
}

// The peer reads nothing, so what is sent piles up here. The link ends at its bound.
TEST_F(LinkTest, APeerThatReadsNothingEndsTheLink) {
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

// The link is abandoned by its holder, which is about to go away: no callback comes any more.
TEST_F(LinkTest, AnAbandonedLinkCallsNobody) {
  connect();
  near->abandon();
  EXPECT_FALSE(near->isUp());
  ASSERT_TRUE(until([&] { return farEnd.has_value(); }));
  EXPECT_EQ(*farEnd, LinkEnd::reset);
  EXPECT_FALSE(nearEnd.has_value());
}

}  // namespace
}  // namespace cairnjunction::testing

// The lab's link by itself: what it holds back comes, whatever becomes of the two sides.
#include "lab/proxy.hpp"

#include "raw_peers.hpp"

namespace cairnjunction::testing {
namespace {

// The process that sent it is killed, and the other side says something more to it meanwhile.
TEST_F(LoopTest, WhatIsHeldBackComesAlsoWhenItsSenderIsGone) {
  for (const bool reset : {false, true}) {
    SCOPED_TRACE(reset);
    ReservedPort port(io);
    tcp::acceptor acceptor(io, loopback());
    std::shared_ptr<RawConnection> receiver;
    acceptor.async_accept([&](error_code ec, tcp::socket socket) {
      ASSERT_FALSE(ec);
      receiver = std::make_shared<RawConnection>(std::move(socket));
      receiver->read();
    });
    lab::Proxy link(io, port.endpoint.port(), acceptor.local_endpoint().port());
    tcp::socket sender(io);
    sender.connect(port.endpoint);
    ASSERT_TRUE(until([&] { return receiver != nullptr; }));
    link.hold(true, false);
    asio::write(sender, asio::buffer(std::string("an order")));
    ASSERT_TRUE(until([&] { return link.held() == 8; }));
    if (reset) sender.set_option(asio::socket_base::linger(true, 0));
    sender.close();
    // The first of these may still be taken by the system, for a process that is gone.
    for (int i = 0; i < 3; ++i) {
      receiver->send("a beat");
      for (int turn = 0; turn < 50; ++turn) io.poll();
    }
    link.hold(true, false);  // once more, as at the begin or end of any other fault
    for (int turn = 0; turn < 50; ++turn) io.poll();
    EXPECT_TRUE(receiver->text.empty());
    EXPECT_EQ(link.held(), 8u);
    link.hold(false, false);
    ASSERT_TRUE(until([&] { return receiver->closedByPeer; }));
    EXPECT_EQ(receiver->text, "an order");
    EXPECT_EQ(link.connections(), 0u);
  }
}

}  // namespace
}  // namespace cairnjunction::testing

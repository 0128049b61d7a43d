// Idle connections: when they are closed, and whether they are usable.
#include "upstream/idle_connection.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;

const Clock::time_point kNow = Clock::time_point() + 1h;

TEST(IdleConnection, IsKeptWithoutAnIdleTimeout) {
  EXPECT_FALSE(isIdleTooLong(kNow - 59min, kNow, policy::Duration::zero()));
}

// Guards against the endpoint closing a connection while a request is being sent on it, which loses the
// request.
TEST(IdleConnection, IsClosedTwoSecondsBeforeTheEndpointsTimeout) {
  EXPECT_FALSE(isIdleTooLong(kNow - 57999ms, kNow, 60s));
  EXPECT_TRUE(isIdleTooLong(kNow - 58s, kNow, 60s));
}

TEST(IdleConnection, IsClosedAFifthOfAShortTimeoutEarly) {
  EXPECT_FALSE(isIdleTooLong(kNow - 799ms, kNow, 1s));
  EXPECT_TRUE(isIdleTooLong(kNow - 800ms, kNow, 1s));
}

class IdleSocketTest : public ::testing::Test {
 protected:
  boost::asio::io_context io;
  tcp::acceptor acceptor{io, {boost::asio::ip::address_v4::loopback(), 0}};
  tcp::socket near{io};
  tcp::socket far{io};

  IdleSocketTest() {
    near.connect(acceptor.local_endpoint());
    acceptor.accept(far);
    near.non_blocking(true);
  }
  // Waits until the connection is unusable, for at most 10 s.
  bool becomesUnusable() {
    const auto deadline = Clock::now() + 10s;
    while (Clock::now() < deadline)
      if (!isOpenAndSilent(near)) return true;
    return false;
  }
};

TEST_F(IdleSocketTest, AnOpenConnectionWithoutUnreadBytesIsUsable) { EXPECT_TRUE(isOpenAndSilent(near)); }

TEST_F(IdleSocketTest, AConnectionClosedByThePeerIsNotUsable) {
  far.close();
  EXPECT_TRUE(becomesUnusable());
}

TEST_F(IdleSocketTest, AConnectionWithUnexpectedBytesIsNotUsable) {
  boost::asio::write(far, boost::asio::buffer("x", 1));
  EXPECT_TRUE(becomesUnusable());
  EXPECT_FALSE(isOpenAndSilent(near)) << "the check does not consume the byte";
}

}  // namespace
}  // namespace cairnjunction::testing

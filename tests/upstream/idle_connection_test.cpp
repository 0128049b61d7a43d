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

TEST(IdleConnection, WithoutAnIdleTimeoutItIsKept) {
  EXPECT_FALSE(isIdleTooLong(kNow - 59min, kNow, policy::Duration::zero()));
}

// The endpoint closes it while a request is on its way there, and the request is lost.
TEST(IdleConnection, ItIsGivenUpTwoSecondsBeforeTheEndpointWould) {
  EXPECT_FALSE(isIdleTooLong(kNow - 57999ms, kNow, 60s));
  EXPECT_TRUE(isIdleTooLong(kNow - 58s, kNow, 60s));
}

TEST(IdleConnection, OfAShortIdleTimeoutAFifthIsKeptFree) {
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
  bool comesToBeUnusable() {
    const auto patience = Clock::now() + 10s;
    while (Clock::now() < patience)
      if (!isOpenAndSilent(near)) return true;
    return false;
  }
};

TEST_F(IdleSocketTest, AnOpenConnectionWithoutBytesIsUsable) { EXPECT_TRUE(isOpenAndSilent(near)); }

TEST_F(IdleSocketTest, OneThatThePeerHasClosedIsNot) {
  far.close();
  EXPECT_TRUE(comesToBeUnusable());
}

TEST_F(IdleSocketTest, OneOnWhichSomethingCameUnaskedIsNot) {
  boost::asio::write(far, boost::asio::buffer("x", 1));
  EXPECT_TRUE(comesToBeUnusable());
  EXPECT_FALSE(isOpenAndSilent(near)) << "the byte was left where it is";
}

}  // namespace
}  // namespace cairnjunction::testing

// Connecting a socket, and the reasons of failures.
#include "upstream/connector.hpp"

#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <vector>

namespace cairnjunction::testing {
namespace {

using boost::asio::ip::tcp;
using policy::FailureReason;
namespace errc = boost::system::errc;

class ConnectorTest : public ::testing::Test {
 protected:
  boost::asio::io_context io;
  tcp::socket socket{io};
  std::vector<std::optional<FailureReason>> results;

  ConnectStart begin(const tcp::endpoint& address) {
    return beginConnect(socket, address,
                        [this](std::optional<FailureReason> failure) { results.push_back(failure); });
  }
};

TEST_F(ConnectorTest, AnEstablishedConnectionIsNonBlockingWithoutDelay) {
  tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  EXPECT_EQ(begin(acceptor.local_endpoint()), ConnectStart::begun);
  EXPECT_TRUE(results.empty()) << "only the event loop calls the handler";
  io.run();
  ASSERT_EQ(results.size(), 1u);
  EXPECT_FALSE(results[0]);
  EXPECT_TRUE(socket.non_blocking());
  tcp::no_delay noDelay;
  socket.get_option(noDelay);
  EXPECT_TRUE(noDelay.value());
}

TEST_F(ConnectorTest, APortWithoutAListenerRefusesTheConnection) {
  tcp::acceptor acceptor(io, {boost::asio::ip::address_v4::loopback(), 0});
  const tcp::endpoint address = acceptor.local_endpoint();
  acceptor.close();
  begin(address);
  io.run();
  ASSERT_EQ(results.size(), 1u);
  EXPECT_EQ(results[0], FailureReason::connectionRefused);
}

TEST(ConnectFailureReason, DistinguishesLocalResourcesTimeoutAndRefusal) {
  const auto reasonOf = [](errc::errc_t code) { return connectFailureReason(errc::make_error_code(code)); };
  for (const auto code : {errc::too_many_files_open, errc::too_many_files_open_in_system,
                          errc::no_buffer_space, errc::not_enough_memory, errc::address_not_available})
    EXPECT_EQ(reasonOf(code), FailureReason::noDescriptor);
  EXPECT_EQ(reasonOf(errc::timed_out), FailureReason::connectTimeout);
  EXPECT_EQ(reasonOf(errc::connection_refused), FailureReason::connectionRefused);
  EXPECT_EQ(reasonOf(errc::host_unreachable), FailureReason::connectionRefused);
}

}  // namespace
}  // namespace cairnjunction::testing

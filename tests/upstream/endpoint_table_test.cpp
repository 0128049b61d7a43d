// The endpoint table: addresses, serving endpoints, and when connections are retired.
#include "upstream/endpoint_table.hpp"

#include <gtest/gtest.h>

namespace cairnjunction::testing {
namespace {

using boost::asio::ip::tcp;

struct FakeConnection {};
using Table = EndpointTable<FakeConnection>;

tcp::endpoint addressAt(unsigned short port) { return {boost::asio::ip::address_v4::loopback(), port}; }

class EndpointTableTest : public ::testing::Test {
 protected:
  Table table;
  int retired = 0;

  bool update(const tcp::endpoint& address, bool serving) {
    return table.update(1, address, serving, [this](const Table::Entry&) { ++retired; });
  }
};

TEST_F(EndpointTableTest, ANewEndpointDoesNotCountAsMoved) {
  EXPECT_FALSE(update(addressAt(8080), true));
  EXPECT_TRUE(table.isServingAt(1, addressAt(8080)));
  EXPECT_FALSE(table.isServingAt(1, addressAt(8081)));
  EXPECT_FALSE(table.isServingAt(2, addressAt(8080)));
  EXPECT_EQ(table.size(), 1u);
}

TEST_F(EndpointTableTest, AnUnchangedEndpointKeepsItsConnections) {
  update(addressAt(8080), true);
  retired = 0;
  EXPECT_FALSE(update(addressAt(8080), true));
  EXPECT_EQ(retired, 0);
}

TEST_F(EndpointTableTest, ConnectionsAreRetiredWhenAnEndpointMovesOrStopsServing) {
  update(addressAt(8080), true);
  retired = 0;
  EXPECT_TRUE(update(addressAt(8081), true));
  EXPECT_EQ(retired, 1);
  EXPECT_FALSE(update(addressAt(8081), false));
  EXPECT_EQ(retired, 2);
  EXPECT_FALSE(table.isServingAt(1, addressAt(8081)));
}

// The endpoint list may name a removed endpoint without its address.
TEST_F(EndpointTableTest, AnUnknownAddressLeavesTheStoredOneUnchanged) {
  update(addressAt(8080), true);
  EXPECT_FALSE(update(tcp::endpoint(), true));
  EXPECT_TRUE(table.isServingAt(1, addressAt(8080)));
}

TEST_F(EndpointTableTest, NoEndpointServesAfterSetNoneServing) {
  update(addressAt(8080), true);
  table.setNoneServing();
  EXPECT_FALSE(table.isServingAt(1, addressAt(8080)));
  ASSERT_NE(table.find(1), nullptr);
  table.erase(1);
  EXPECT_EQ(table.find(1), nullptr);
}

}  // namespace
}  // namespace cairnjunction::testing

// Tests of detecting that a member is isolated.
#include "fleet/isolation_monitor.hpp"

#include "fleet/boot_clock.hpp"
#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;

class IsolationMonitorTest : public LoopTest {};

// No contact with a leader, then contact, then none again.
TEST_F(IsolationMonitorTest, ReportsEachChangeOnce) {
  std::vector<bool> changes;
  const lease::BootTime start = fleet::bootTime();
  fleet::IsolationMonitor monitor(io, 100ms, [&](bool isolated) { changes.push_back(isolated); });
  EXPECT_FALSE(monitor.isIsolated());
  ASSERT_TRUE(until([&] { return monitor.isIsolated(); }));
  EXPECT_GE(fleet::bootTime() - start, 100ms);
  monitor.onLeaderContact();
  EXPECT_FALSE(monitor.isIsolated());
  monitor.onLeaderContact();
  ASSERT_TRUE(until([&] { return monitor.isIsolated(); }));
  EXPECT_EQ(changes, (std::vector<bool>{true, false, true}));
}

}  // namespace
}  // namespace cairnjunction::testing

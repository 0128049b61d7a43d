// When a member knows that it is isolated.
#include "fleet/isolation_monitor.hpp"

#include "fleet/boot_clock.hpp"
#include "net_peers.hpp"

namespace cairnjunction::testing {
namespace {

using namespace std::chrono_literals;

class IsolationMonitorTest : public LoopTest {};

// No leader is heard of, then one is, then none again.
TEST_F(IsolationMonitorTest, ChangesAreReportedOnce) {
  std::vector<bool> changes;
  const lease::BootTime start = fleet::bootTime();
  fleet::IsolationMonitor monitor(io, 100ms, [&](bool isolated) { changes.push_back(isolated); });
  EXPECT_FALSE(monitor.isIsolated());
  ASSERT_TRUE(until([&] { return monitor.isIsolated(); }));
  EXPECT_GE(fleet::bootTime() - start, 100ms);
  monitor.onLeaderHeard();
  EXPECT_FALSE(monitor.isIsolated());
  monitor.onLeaderHeard();
  ASSERT_TRUE(until([&] { return monitor.isIsolated(); }));
  EXPECT_EQ(changes, (std::vector<bool>{true, false, true}));
}

}  // namespace
}  // namespace cairnjunction::testing

#include "fleet/isolation_monitor.hpp"

#include <algorithm>
#include <utility>

#include "fleet/boot_clock.hpp"

namespace cairnjunction::fleet {
namespace {

// Minimum delay between two checks. It avoids a busy loop if the timer fires just before the boot clock
// reaches the timeout.
constexpr lease::Duration kMinCheckDelay{10};

}  // namespace

IsolationMonitor::IsolationMonitor(boost::asio::io_context& io, std::chrono::milliseconds timeout,
                                   std::function<void(bool)> onChange)
    : timeout_(timeout), onChange_(std::move(onChange)), timer_(io), lastContactAt_(bootTime()) {
  scheduleCheck();
}

void IsolationMonitor::onLeaderContact() {
  lastContactAt_ = bootTime();
  if (std::exchange(isolated_, false)) onChange_(false);
}

void IsolationMonitor::scheduleCheck() {
  timer_.expires_after(std::max(lastContactAt_ + timeout_ - bootTime(), kMinCheckDelay));
  timer_.async_wait(lifetime_.guard([this](boost::system::error_code cancelled) {
    if (!cancelled) checkTimeout();
  }));
}

void IsolationMonitor::checkTimeout() {
  if (!isolated_ && bootTime() >= lastContactAt_ + timeout_) {
    isolated_ = true;
    onChange_(true);
  }
  if (isolated_) lastContactAt_ = bootTime();
  scheduleCheck();
}

}  // namespace cairnjunction::fleet

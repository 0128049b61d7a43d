#include "fleet/isolation_monitor.hpp"

#include <algorithm>
#include <utility>

#include "fleet/boot_clock.hpp"

namespace cairnjunction::fleet {
namespace {

// Between two looks, also where the timer comes a moment before the boot clock has reached the bound.
constexpr lease::Duration kMinWait{10};

}  // namespace

IsolationMonitor::IsolationMonitor(boost::asio::io_context& io, std::chrono::milliseconds timeout,
                                   std::function<void(bool)> onChange)
    : timeout_(timeout), onChange_(std::move(onChange)), timer_(io), heardAt_(bootTime()) {
  watch();
}

void IsolationMonitor::onLeaderHeard() {
  heardAt_ = bootTime();
  if (std::exchange(isolated_, false)) onChange_(false);
}

void IsolationMonitor::watch() {
  timer_.expires_after(std::max(heardAt_ + timeout_ - bootTime(), kMinWait));
  timer_.async_wait(lifetime_.guard([this](boost::system::error_code cancelled) {
    if (!cancelled) check();
  }));
}

void IsolationMonitor::check() {
  if (!isolated_ && bootTime() >= heardAt_ + timeout_) {
    isolated_ = true;
    onChange_(true);
  }
  if (isolated_) heardAt_ = bootTime();
  watch();
}

}  // namespace cairnjunction::fleet

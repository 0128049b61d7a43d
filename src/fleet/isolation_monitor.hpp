// Detects that a member is isolated: it had no contact with a leader for the isolation timeout.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>

#include "common/callback_guard.hpp"
#include "lease/lease.hpp"

namespace cairnjunction::fleet {

class IsolationMonitor {
 public:
  // `onChange` is called after each change with the new state, never from within the constructor.
  IsolationMonitor(boost::asio::io_context& io, std::chrono::milliseconds timeout,
                   std::function<void(bool isolated)> onChange);

  // A leader has responded. Ends the isolation, if any.
  void onLeaderContact();
  bool isIsolated() const { return isolated_; }

 private:
  void scheduleCheck();
  void checkTimeout();

  const std::chrono::milliseconds timeout_;
  std::function<void(bool)> onChange_;
  boost::asio::steady_timer timer_;
  // Time of the last response or of construction; while isolated, of the last check.
  lease::BootTime lastContactAt_;
  bool isolated_ = false;
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet

// Whether a member is isolated: no leader was heard of for the isolation timeout.
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
  // `onChange` is called after each change, with whether the member is isolated now. Never within the
  // constructor.
  IsolationMonitor(boost::asio::io_context& io, std::chrono::milliseconds timeout,
                   std::function<void(bool isolated)> onChange);

  // A leader's answer has come.
  void onLeaderHeard();
  bool isIsolated() const { return isolated_; }

 private:
  void watch();
  void check();

  const std::chrono::milliseconds timeout_;
  std::function<void(bool)> onChange_;
  boost::asio::steady_timer timer_;
  lease::BootTime heardAt_;  // the last answer, or the start; while isolated: the last look
  bool isolated_ = false;
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet

// The leader's part in who holds what: grants leases that nobody holds to members that can take them, and
// moves leases from members that hold many to members that hold few.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <set>
#include <vector>

#include "common/callback_guard.hpp"
#include "fleet/connection_table.hpp"
#include "fleet/event_log.hpp"
#include "fleet/lease_log.hpp"
#include "fleet/settings.hpp"

namespace cairnjunction::fleet {

// What came of a request to move a lease.
enum class TransferResult : std::uint8_t {
  requested,          // its holder was asked to release it
  notLeader,          // only the leader can ask
  notHeld,            // nobody holds it
  holderNotConnected  // somebody does, and can't be asked
};

class LeaseGranting {
 public:
  // How often the leader looks for leases that nobody holds: its part in how long there is no holder.
  static constexpr std::chrono::milliseconds kGrantInterval{25};
  // Each move is a moment without a holder, so one lease at a time is moved, and only so often.
  static constexpr lease::Duration kRebalanceInterval{1000};

  LeaseGranting(boost::asio::io_context& io, Settings settings, LeaseLog& log,
                const ConnectionTable& connections, EventLog& events);

  // While this coordinator leads.
  void start();
  void stop();
  // Grants what can be granted now; called by itself each kGrantInterval, and from outside when a lease was
  // released.
  void grantFreeLeases();
  TransferResult transfer(const lease::LeaseKey& key);

 private:
  void run();
  void propose(const lease::LeaseGranted& grant);
  void onGranted(const PeerConnectionPtr& connection, const LeaseGrant& grant,
                 lease::LeaseChangeReason reason);
  lease::LeaseChangeReason whyFree(const lease::LeaseKey& key) const;
  void rebalance();
  void moveOneFrom(const PeerConnection& connection);

  const Settings settings_;
  LeaseLog& log_;
  const ConnectionTable& connections_;
  EventLog& events_;
  boost::asio::steady_timer timer_;
  bool running_ = false;               // between start() and stop()
  std::set<lease::LeaseKey> pending_;  // proposed, and not applied yet; none while it does not run
  lease::LogTime nextRebalance_{};
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet

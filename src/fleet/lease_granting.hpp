// Assignment of leases by the leader: grants free leases to eligible members, and rebalances by transferring
// leases from the member that holds the most.
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

// Result of a request to transfer a lease.
enum class TransferResult : std::uint8_t {
  requested,          // the lease holder was asked to release it
  notLeader,          // this coordinator does not lead
  notHeld,            // there is no lease holder
  holderNotConnected  // there is a lease holder, but it is not connected
};

class LeaseGranting {
 public:
  // How often the leader looks for free leases. Adds up to this much to the time without a lease holder.
  static constexpr std::chrono::milliseconds kGrantInterval{25};
  // Minimum interval between two transfers for rebalancing. Each transfer leaves a lease without a holder for
  // a moment, so only one lease is moved at a time.
  static constexpr lease::Duration kRebalanceInterval{1000};

  LeaseGranting(boost::asio::io_context& io, Settings settings, LeaseLog& log,
                const ConnectionTable& connections, EventLog& events);

  // Called when this coordinator becomes the leader, and when it no longer is.
  void start();
  void stop();
  // Proposes grants for all free leases that can be granted now; none before a new leader's settle time is
  // over. Runs every kGrantInterval between start() and stop(); the coordinator also calls it when a lease is
  // released.
  void grantFreeLeases();
  // Asks the lease holder to release the lease, so that it can be granted to another member.
  TransferResult transfer(const lease::LeaseKey& key);

 private:
  void runCycle();
  void propose(const lease::LeaseGranted& grant);
  void onGranted(const PeerConnectionPtr& connection, const LeaseGrant& grant,
                 lease::LeaseChangeReason reason);
  lease::LeaseChangeReason vacancyReason(const lease::LeaseKey& key) const;
  void rebalance();
  void requestTransferFrom(const PeerConnection& connection);

  const Settings settings_;
  LeaseLog& log_;
  const ConnectionTable& connections_;
  EventLog& events_;
  boost::asio::steady_timer timer_;
  bool running_ = false;               // between start() and stop()
  std::set<lease::LeaseKey> pending_;  // grants proposed but not yet applied; empty unless running_
  lease::LogTime nextRebalance_{};
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet

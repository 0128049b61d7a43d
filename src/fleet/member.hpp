// A gateway's side of the fleet: it joins the leader, holds leases and renews them by heartbeats, sends
// commands as lease holder, and receives those of others. No call waits for the network or the disk.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "common/callback_guard.hpp"
#include "fleet/command_receiver.hpp"
#include "fleet/coordinator_connection.hpp"
#include "fleet/event_log.hpp"
#include "fleet/held_leases.hpp"
#include "fleet/isolation_monitor.hpp"
#include "fleet/settings.hpp"

namespace cairnjunction::fleet {

class Member {
 public:
  // How long leave() waits for the leader's answer.
  static constexpr std::chrono::milliseconds kLeaveTimeout{500};

  struct Events {
    // This member holds the lease from now on (sendCommand works), or no longer.
    std::function<void(const lease::LeaseKey&, bool holds)> onLeaseChange = [](const lease::LeaseKey&, bool) {
    };
    // A command of another member, or one of its own, that passed the fencing gate: its effect is due now.
    std::function<void(const Command&)> onCommand = [](const Command&) {};
    // A leader has admitted it, perhaps another one than before, which was not sent its last commands.
    std::function<void()> onJoined = [] {};
    // isIsolated() has changed.
    std::function<void()> onIsolationChange = [] {};
  };

  // Dials at once. `name` is the same after a restart, and one process at a time has it. Throws
  // std::runtime_error if there are fencing marks on the disk that can't be read.
  Member(boost::asio::io_context& io, const Settings& settings, const std::string& name, Events events,
         EventLog& log);
  ~Member() = default;
  Member(const Member&) = delete;
  Member& operator=(const Member&) = delete;

  // Sends a command to all members, this one among them. False: it does not hold the lease, or has not
  // joined; nobody is sent it then. `retained`: the last one of a key is also sent to members that join
  // later.
  bool sendCommand(const lease::LeaseKey& key, std::string body, bool retained);
  // Whether it holds the lease at this moment.
  bool holds(const lease::LeaseKey& key) const;
  // Gives the lease up; `failed`: because it can't do the task. Nothing happens if it does not hold it.
  void release(const lease::LeaseKey& key, bool failed);
  // Releases all leases for good, and goes on receiving commands. `done` is called once the leader knows, or
  // after kLeaveTimeout; at once if it has not joined.
  void leave(std::function<void()> done);

  // No leader was heard of for Settings::isolatedAfter.
  bool isIsolated() const { return isolation_.isIsolated(); }
  bool hasJoined() const { return connection_.hasJoined(); }
  // By the leader's last answer, at least 1; until there is one, as the settings expect.
  std::uint32_t memberCount() const { return memberCount_; }
  const lease::Member& self() const { return self_; }
  const lease::FencingGate& fencingGate() const { return receiver_.gate(); }
  std::uint64_t rejectedCommands() const { return receiver_.gate().rejectedCount(); }
  // How the last link to a coordinator ended; empty: none has.
  const std::string& lastLinkEnd() const { return connection_.lastLinkEnd(); }

 private:
  CoordinatorConnection::Callbacks connectionCallbacks();
  void onJoin(const JoinResponse& response);
  void onMessage(const Message& message);
  void onHeartbeatResponse(const HeartbeatResponse& response);
  void onTransfer(const TransferLease& transfer);
  void onLinkEnd();
  void onIsolationChange(bool isolated);
  void onLeaseBegin(const lease::LeaseKey& key, lease::Epoch epoch);
  void onLeaseEnd(const lease::LeaseKey& key, lease::Epoch epoch, LeaseEndReason reason);
  void sendHeartbeat();
  void scheduleHeartbeat(lease::BootTime at);
  void scheduleExpiry();
  void finishLeaving();

  const Settings settings_;
  const lease::Member self_;
  Events events_;
  EventLog& log_;
  HeldLeases leases_;
  CommandReceiver receiver_;
  IsolationMonitor isolation_;
  CoordinatorConnection connection_;
  boost::asio::steady_timer heartbeatTimer_;  // runs while it has joined
  boost::asio::steady_timer expiryTimer_;     // runs while a lease is held; for the first to expire
  boost::asio::steady_timer leaveTimer_;      // runs while onLeft_ is due
  bool leaving_ = false;                      // leave() was called: no grant is accepted
  std::function<void()> onLeft_;              // of leave(); empty once it was called
  std::uint32_t memberCount_;
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet

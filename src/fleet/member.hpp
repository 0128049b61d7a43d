// A gateway as a member of the fleet. It joins the leader, holds leases and renews them by heartbeats, sends
// commands as lease holder, and receives those of other members. No call blocks on the network or the disk.
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
  // How long leave() waits for the leader's acknowledgement.
  static constexpr std::chrono::milliseconds kLeaveTimeout{500};

  struct Events {
    // This member begins to hold a lease (sendCommand() works from now on), or no longer holds it.
    std::function<void(const lease::LeaseKey&, bool holds)> onLeaseChange = [](const lease::LeaseKey&, bool) {
    };
    // A command of another member or of this one has passed the fencing gate and must be applied now.
    std::function<void(const Command&)> onCommand = [](const Command&) {};
    // A leader has admitted this member. It may be a new leader that did not receive this member's last
    // commands.
    std::function<void()> onJoined = [] {};
    // isIsolated() has changed.
    std::function<void()> onIsolationChange = [] {};
  };

  // Dials a coordinator at once. `name` must be the same after a restart, and unique among running processes.
  // Throws std::runtime_error if stored fencing marks can't be read.
  Member(boost::asio::io_context& io, const Settings& settings, const std::string& name, Events events,
         EventLog& log);
  ~Member() = default;
  Member(const Member&) = delete;
  Member& operator=(const Member&) = delete;

  // Sends a command to all members, including this one. Returns false, and sends nothing, if this member does
  // not hold the lease or has not joined, or if the body exceeds kMaxCommandBodyBytes. The last `retained`
  // command of each key is also sent to members that join later.
  bool sendCommand(const lease::LeaseKey& key, std::string body, bool retained);
  // Whether this member holds the lease now.
  bool holds(const lease::LeaseKey& key) const;
  // Releases the lease; does nothing if this member does not hold it. `failed`: it can't do the task.
  void release(const lease::LeaseKey& key, bool failed);
  // Releases all leases and accepts none from now on; commands are still received. `done` is called once:
  // when the leader has acknowledged, when the link ends, after kLeaveTimeout, or at once if this member has
  // not joined. Further calls do nothing, and their `done` is not called.
  void leave(std::function<void()> done);

  // Whether there was no contact with a leader for Settings::isolatedAfter.
  bool isIsolated() const { return isolation_.isIsolated(); }
  bool hasJoined() const { return connection_.hasJoined(); }
  // Number of connected members in the leader's last response, at least 1; before the first response,
  // Settings::members.
  std::uint32_t memberCount() const { return memberCount_; }
  const lease::Member& self() const { return self_; }
  const lease::FencingGate& fencingGate() const { return receiver_.gate(); }
  std::uint64_t rejectedCommands() const { return receiver_.gate().rejectedCount(); }
  // How the last link to a coordinator ended; empty if none has ended yet.
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
  void logTooLarge(const lease::LeaseKey& key, std::size_t size);
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
  boost::asio::steady_timer heartbeatTimer_;  // runs while joined
  boost::asio::steady_timer expiryTimer_;     // runs while a lease is held, until the first expiry
  boost::asio::steady_timer leaveTimer_;      // runs while onLeft_ is pending
  bool leaving_ = false;                      // leave() was called: grants are ignored
  std::function<void()> onLeft_;              // the callback of leave(); empty after it was called
  std::uint32_t memberCount_;
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet

// One of the coordinators of a fleet. It answers the handshakes of other coordinators; while it leads it
// admits members, renews and grants their leases by the replicated log, and forwards commands.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <string>

#include "common/callback_guard.hpp"
#include "consensus/replicated_log.hpp"
#include "consensus/voter_identity.hpp"
#include "fleet/connection_table.hpp"
#include "fleet/event_log.hpp"
#include "fleet/lease_granting.hpp"
#include "fleet/lease_log.hpp"
#include "fleet/lease_renewal.hpp"
#include "fleet/lease_state_machine.hpp"
#include "fleet/link.hpp"
#include "fleet/retained_commands.hpp"
#include "fleet/settings.hpp"

namespace cairnjunction::fleet {

class Coordinator {
 public:
  // Listens at once, and answers other coordinators. `number`: of this one, in the settings. Throws
  // boost::system::system_error.
  Coordinator(boost::asio::io_context& io, const Settings& settings, int number,
              consensus::VoterIdentity& identity, const LeaseStateMachine& machine, EventLog& events);
  ~Coordinator();
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  // From now on it serves members while it leads. The log outlives this, or stop() is called before.
  void serve(consensus::ReplicatedLog& log);
  // Sends members to whoever leads next, and accepts nobody any more.
  void stop();

  boost::asio::ip::tcp::endpoint listening() const { return acceptor_.local_endpoint(); }
  bool isLeader() const { return log_.isLeader(); }
  // For operators (coordinator_status.hpp).
  nlohmann::json status() const;
  nlohmann::json leases() const;
  // Asks the holder of a lease to release it.
  TransferResult transfer(const lease::LeaseKey& key) { return granting_.transfer(key); }

 private:
  void accept();
  void acceptLater();
  void addConnection(boost::asio::ip::tcp::socket socket);
  void onMessage(const PeerConnectionPtr& connection, const Message& message);
  void onLinkEnd(const PeerConnectionPtr& connection, LinkEnd end, const std::string& detail);
  void reject(const PeerConnectionPtr& connection, const std::string& reason);
  // Why the sender can't join; empty: it can.
  std::string rejectionOf(const JoinRequest& request) const;

  void on(const PeerConnectionPtr& connection, const VoterHandshakeRequest& request);
  void on(const PeerConnectionPtr& connection, const JoinRequest& request);
  void on(const PeerConnectionPtr& connection, const Heartbeat& heartbeat);
  void on(const PeerConnectionPtr& connection, const ReleaseLease& release);
  void on(const PeerConnectionPtr& connection, const Command& command);
  void on(const PeerConnectionPtr& connection, const Leave& leave);
  void welcome(const PeerConnectionPtr& connection);
  void onLeadershipChange();
  void onPauseChange();

  boost::asio::io_context& io_;
  const Settings settings_;
  const int number_;
  consensus::VoterIdentity& identity_;
  EventLog& events_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer acceptTimer_;  // runs after accepting failed
  ConnectionTable connections_;
  LeaseLog log_;
  LeaseRenewal renewal_;
  LeaseGranting granting_;
  RetainedCommands retained_;  // empty while it does not lead
  bool leading_ = false;       // as of the last change of leadership
  bool stopping_ = false;      // stop() was called
  std::uint64_t forwardedCommands_ = 0;
  std::uint64_t rejectedPeers_ = 0;
  std::uint64_t pauses_ = 0;
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet

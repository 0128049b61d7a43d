// A coordinator of a fleet. It answers the handshakes of other coordinators. While it is the leader, it also
// admits members, grants and renews their leases through the replicated log, and forwards commands.
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
  // Starts to listen, and to answer handshakes. `number` is this coordinator's number in the settings. Throws
  // boost::system::system_error if it can't listen.
  Coordinator(boost::asio::io_context& io, const Settings& settings, int number,
              consensus::VoterIdentity& identity, const LeaseStateMachine& machine, EventLog& events);
  ~Coordinator();
  Coordinator(const Coordinator&) = delete;
  Coordinator& operator=(const Coordinator&) = delete;

  // Serves members from now on, whenever `log` says that this coordinator is the leader. `log` must outlive
  // this object, or stop() must be called before `log` is destroyed.
  void startServing(consensus::ReplicatedLog& log);
  // Stops accepting connections, and ends all links with NotLeader so that members look for the next leader.
  void stop();

  boost::asio::ip::tcp::endpoint listening() const { return acceptor_.local_endpoint(); }
  bool isLeader() const { return log_.isLeader(); }
  // JSON for operators, as in coordinator_status.hpp.
  nlohmann::json status() const;
  nlohmann::json leases() const;
  // Asks the lease holder to release the lease.
  TransferResult transfer(const lease::LeaseKey& key) { return granting_.transfer(key); }

 private:
  void accept();
  void scheduleAccept();
  void addConnection(boost::asio::ip::tcp::socket socket);
  void onMessage(const PeerConnectionPtr& connection, const Message& message);
  void onLinkEnd(const PeerConnectionPtr& connection, LinkEnd end, const std::string& detail);
  void reject(const PeerConnectionPtr& connection, const std::string& reason);
  // Returns why the request can't be accepted; empty if it can.
  std::string rejectionReason(const JoinRequest& request) const;

  void handle(const PeerConnectionPtr& connection, const VoterHandshakeRequest& request);
  void handle(const PeerConnectionPtr& connection, const JoinRequest& request);
  void handle(const PeerConnectionPtr& connection, const Heartbeat& heartbeat);
  void handle(const PeerConnectionPtr& connection, const ReleaseLease& release);
  void handle(const PeerConnectionPtr& connection, const Command& command);
  void handle(const PeerConnectionPtr& connection, const Leave& leave);
  void sendJoinResponse(const PeerConnectionPtr& connection);
  void onLeadershipChange();
  void onPauseChange();

  boost::asio::io_context& io_;
  const Settings settings_;
  const int number_;
  consensus::VoterIdentity& identity_;
  EventLog& events_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer acceptTimer_;  // runs after a failed accept, until the next attempt
  ConnectionTable connections_;
  LeaseLog log_;
  LeaseRenewal renewal_;
  LeaseGranting granting_;
  RetainedCommands retainedCommands_;  // empty unless this coordinator leads
  bool actingAsLeader_ = false;        // isLeader() at the last onLeadershipChange()
  bool stopping_ = false;              // stop() was called
  std::uint64_t forwardedCommands_ = 0;
  std::uint64_t rejectedPeers_ = 0;
  std::uint64_t votingPauses_ = 0;
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet

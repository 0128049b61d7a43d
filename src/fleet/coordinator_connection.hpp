// A member's connection to the leader. It dials the coordinators in turn, follows their hints about which one
// leads, and dials again after a backoff when a link ends.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>

#include "common/callback_guard.hpp"
#include "fleet/dial_backoff.hpp"
#include "fleet/event_log.hpp"
#include "fleet/link.hpp"
#include "fleet/settings.hpp"

namespace cairnjunction::fleet {

class CoordinatorConnection {
 public:
  struct Callbacks {
    std::function<JoinRequest()> makeJoinRequest;  // called when a link is connected
    std::function<void(const JoinResponse&)> onJoin;
    // Any other message that a leader sends to a joined member.
    std::function<void(const Message&)> onMessage;
    std::function<void()> onEnd;  // a link has ended, joined or not; the next dial is scheduled
  };

  CoordinatorConnection(boost::asio::io_context& io, const Settings& settings, EventLog& log,
                        Callbacks callbacks);
  ~CoordinatorConnection();
  CoordinatorConnection(const CoordinatorConnection&) = delete;
  CoordinatorConnection& operator=(const CoordinatorConnection&) = delete;

  // Dials a randomly chosen coordinator. Called once.
  void start();
  // Queues a message on the link. Returns false, and sends nothing, unless this member has joined.
  bool send(const Message& message);
  // Ends the current link, if any, with LinkEnd::stopped and `detail`; another dial follows.
  void closeLink(const std::string& detail);

  bool hasJoined() const { return joined_; }
  // The name of the last link's end, with its detail; empty if no link has ended yet.
  const std::string& lastLinkEnd() const { return lastLinkEnd_; }

 private:
  const CoordinatorAddress& nextCoordinator();
  void dial();
  void scheduleDial(std::chrono::milliseconds maxDelay);
  void onMessage(const Message& message);
  void onLinkEnd(LinkEnd end, const std::string& detail);

  boost::asio::io_context& io_;
  const Settings settings_;
  EventLog& log_;
  Callbacks callbacks_;
  std::shared_ptr<Link> link_;           // null between links
  boost::asio::steady_timer dialTimer_;  // runs between links, until the next dial
  DialBackoff backoff_;
  std::mt19937_64 random_;
  std::size_t nextIndex_ = 0;  // of the coordinator to dial next, in settings_.coordinators, modulo its size
  int coordinatorNumber_ = 0;  // number of the coordinator of the current or last link
  int leaderHint_ = 0;         // number of the leader according to NotLeader; 0 if unknown
  bool joined_ = false;        // false between links
  std::string lastLinkEnd_;
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet

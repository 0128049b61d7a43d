// A member's connection to the coordinator that leads: dials one after the other, follows their hints who
// leads, and dials again with a backoff when a link ends.
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
    std::function<JoinRequest()> makeJoinRequest;  // for each link that is connected
    std::function<void(const JoinResponse&)> onJoin;
    std::function<void(const Message&)>
        onMessage;                // all others that a leader sends once it has admitted the member
    std::function<void()> onEnd;  // of a link, joined or not; the next one is dialled by itself
  };

  CoordinatorConnection(boost::asio::io_context& io, const Settings& settings, EventLog& log,
                        Callbacks callbacks);
  ~CoordinatorConnection();
  CoordinatorConnection(const CoordinatorConnection&) = delete;
  CoordinatorConnection& operator=(const CoordinatorConnection&) = delete;

  // Dials the first coordinator, a random one.
  void start();
  // False, and nothing is sent, unless a leader has admitted this member.
  bool send(const Message& message);
  // Ends the present link, if there is one; another is dialled.
  void drop(const std::string& detail);

  bool hasJoined() const { return joined_; }
  // How the last link ended; empty: none has.
  const std::string& lastLinkEnd() const { return lastEnd_; }

 private:
  const CoordinatorAddress& nextCoordinator();
  void dial();
  void dialAfter(std::chrono::milliseconds longest);
  void onMessage(const Message& message);
  void onLinkEnd(LinkEnd end, const std::string& detail);

  boost::asio::io_context& io_;
  const Settings settings_;
  EventLog& log_;
  Callbacks callbacks_;
  std::shared_ptr<Link> link_;  // null between two links
  boost::asio::steady_timer dialTimer_;
  DialBackoff backoff_;
  std::mt19937_64 random_;
  std::size_t nextIndex_ = 0;  // in settings_.coordinators, modulo their count
  int dialled_ = 0;            // number of the coordinator of the present or last link
  int leaderHint_ = 0;         // number of the leader by another coordinator's word; 0: none
  bool joined_ = false;        // only while there is a link
  std::string lastEnd_;
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet

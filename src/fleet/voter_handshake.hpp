// Before a keeper votes: it tells the other keepers who it is by its disk, and waits for their word.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "common/callback_guard.hpp"
#include "consensus/voter_identity.hpp"
#include "fleet/event_log.hpp"
#include "fleet/link.hpp"
#include "fleet/settings.hpp"

namespace cairnjunction::fleet {

class VoterHandshake {
 public:
  static constexpr std::chrono::milliseconds kAgain{200};

  // `ended` is called once: with nothing as soon as enough others have agreed (with oneself a majority), or
  // with the reason as soon as one of them, or this one of them, has turned the other away. The others go on
  // being told until all have heard, so that each of them can tell an older disk later.
  VoterHandshake(boost::asio::io_context& io, const Settings& settings, int number,
                 consensus::VoterIdentity& identity, EventLog& journal,
                 std::function<void(const std::string& why)> ended);
  ~VoterHandshake();
  VoterHandshake(const VoterHandshake&) = delete;
  VoterHandshake& operator=(const VoterHandshake&) = delete;

 private:
  void ask(int number);
  void askAgain(int number);
  void answered(int number, const VoterHandshakeResponse& answer);
  void settle();

  boost::asio::io_context& io_;
  const Settings settings_;
  const int number_;
  consensus::VoterIdentity& identity_;
  EventLog& journal_;
  std::function<void(const std::string&)> ended_;
  std::map<int, std::shared_ptr<Link>> links_;
  std::map<int, std::unique_ptr<boost::asio::steady_timer>> timers_;
  std::set<int> agreed_;
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet

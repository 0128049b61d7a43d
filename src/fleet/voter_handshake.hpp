// Before a coordinator votes: it tells the other coordinators who it is by its disk, and waits for their
// answers. A voter that lost its disk, or runs on an older copy of it, may have forgotten what it voted for;
// the others remember each disk, and reject it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
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
  // Between two tries with one coordinator.
  static constexpr std::chrono::milliseconds kRetryDelay{200};

  struct Result {
    enum class Outcome : std::uint8_t { admitted, rejected };
    Outcome outcome = Outcome::admitted;
    std::string reason;  // of a rejection
  };

  // `onResult` is called once, perhaps before this returns: `admitted` as soon as a majority has agreed, this
  // coordinator among them, or `rejected` as soon as one of the others has rejected this one, or was rejected
  // by it. After it the handshake goes on until each of the others has answered, so that each can recognise
  // an older copy of this disk later.
  VoterHandshake(boost::asio::io_context& io, Settings settings, int number,
                 consensus::VoterIdentity& identity, EventLog& log,
                 std::function<void(const Result&)> onResult);
  ~VoterHandshake();
  VoterHandshake(const VoterHandshake&) = delete;
  VoterHandshake& operator=(const VoterHandshake&) = delete;

 private:
  void sendRequest(int peer);
  void scheduleRetry(int peer);
  void onMessage(int peer, const Message& message);
  void onResponse(int peer, const VoterHandshakeResponse& response);
  // Why the peer's answer, or the peer itself, makes this handshake fail; empty: it agrees.
  std::string rejectionOf(int peer, const VoterHandshakeResponse& response);
  void reportIfMajority();
  void report(const Result& result);

  boost::asio::io_context& io_;
  const Settings settings_;
  const int number_;  // of this coordinator
  consensus::VoterIdentity& identity_;
  EventLog& log_;
  std::function<void(const Result&)> onResult_;  // empty once it was called
  // By the number of the other coordinator.
  std::map<int, std::shared_ptr<Link>> links_;  // the last one; may have ended
  std::map<int, std::unique_ptr<boost::asio::steady_timer>> retryTimers_;
  std::set<int> agreed_;
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet

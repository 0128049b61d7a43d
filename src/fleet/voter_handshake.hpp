// The handshake of a coordinator before it votes: it sends the identity of its disk to the other coordinators
// and waits for their responses. A voter that lost its disk, or runs on an older copy of it, may have
// forgotten its votes; the others remember each voter's disk and reject it then.
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
  // Delay between two attempts with the same coordinator.
  static constexpr std::chrono::milliseconds kRetryDelay{200};

  struct Result {
    enum class Outcome : std::uint8_t { admitted, rejected };
    Outcome outcome = Outcome::admitted;
    std::string reason;  // why it was rejected; empty if admitted
  };

  // Starts the handshake. `number` is this coordinator's number. `onResult` is called once, possibly before
  // the constructor returns: with `admitted` as soon as a majority, counting this coordinator, has accepted,
  // or with `rejected` as soon as a peer's response rejects this coordinator or this one rejects the peer.
  // The handshake then continues until every peer has accepted, so that each can recognise an older copy of
  // this disk later. A peer that does not respond, or sends JoinRejected, is asked again after kRetryDelay.
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
  // Why the handshake with the peer fails: the peer rejects this coordinator, or this one rejects the peer.
  // Empty if both accept. Throws consensus::LogError if the peer's mark can't be stored.
  std::string rejectionReason(int peer, const VoterHandshakeResponse& response);
  void reportIfMajority();
  void reportResult(const Result& result);

  boost::asio::io_context& io_;
  const Settings settings_;
  const int number_;  // of this coordinator
  consensus::VoterIdentity& identity_;
  EventLog& log_;
  std::function<void(const Result&)> onResult_;  // empty after it was called
  // All by the peer's number:
  std::map<int, std::shared_ptr<Link>> links_;  // the latest link to the peer; may have ended
  std::map<int, std::unique_ptr<boost::asio::steady_timer>> retryTimers_;
  std::set<int> acceptedBy_;
  CallbackGuard lifetime_;
};

}  // namespace cairnjunction::fleet
